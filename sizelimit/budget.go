package sizelimit

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

const (
	// GrantedBytes is what each holder of a budget gets, whatever the others hold, so that ordinary messages are never refused.
	GrantedBytes = 16 << 10
	// firstReadBytes is the size of the first buffer for a message of unknown length.
	firstReadBytes = 4 << 10
	// nextBytes is how much is read beyond a full buffer before a larger one is needed.
	nextBytes = 64
	// optionalShare is the share of a budget that ResizeOptional may use up.
	optionalShare = 0.5
)

type (
	// Budget bounds the bytes that many holders keep in memory together. It is safe for concurrent use.
	Budget struct {
		mu             sync.Mutex
		maxBytes, used int64
		// free are released buffers of more than GrantedBytes, and freeBytes is their size. They yield to holders, and go when nothing is held.
		free      [][]byte
		freeBytes int64
	}

	// Holder keeps bytes of a budget. It is not safe for concurrent use.
	Holder struct {
		budget *Budget
		held   int64
	}

	// BudgetError is returned if a holder wants to keep more bytes than the budget leaves it.
	BudgetError struct{ Bytes int64 }
)

// Error returns the message with the bytes that were asked for.
func (e *BudgetError) Error() string { return fmt.Sprintf("no memory for %d bytes", e.Bytes) }

// NewBudget returns a budget of maxBytes.
func NewBudget(maxBytes int64) *Budget { return &Budget{maxBytes: maxBytes} }

// SetMax changes the size of the budget. What is held stays.
func (b *Budget) SetMax(maxBytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBytes = maxBytes
}

// Max returns the size of the budget in bytes.
func (b *Budget) Max() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxBytes
}

// NewHolder returns a holder without bytes.
func (b *Budget) NewHolder() *Holder { return &Holder{budget: b} }

// Resize changes the bytes that the holder keeps. Above GrantedBytes it fails with *BudgetError if less than that many bytes would then be free, so that
// a few large holders never use up the budget.
func (h *Holder) Resize(bytes int64) error { return h.resize(bytes, 1) }

// ResizeOptional is Resize for bytes whose sender can wait. Above GrantedBytes it fails unless half of the budget stays free for messages that cannot.
func (h *Holder) ResizeOptional(bytes int64) error { return h.resize(bytes, optionalShare) }

// resize changes the bytes that the holder keeps, as if the budget were a share of its size.
func (h *Holder) resize(bytes int64, share float64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.used + bytes - h.held
	if bytes > h.held && bytes > GrantedBytes && bytes > int64(share*float64(b.maxBytes))-used {
		return &BudgetError{Bytes: bytes}
	}
	b.used, h.held = used, bytes
	b.dropFree()
	return nil
}

// Release returns all bytes to the budget.
func (h *Holder) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= h.held
	h.held = 0
	b.dropFree()
}

// Recycle releases all bytes to the budget and lets a later message use the buffer, which the caller must not use any more. Callers that repeat requests for
// large answers otherwise create garbage faster than a process that gets little processor time collects it.
func (h *Holder) Recycle(buffer []byte) {
	h.Release()
	h.budget.reuse(buffer)
}

// buffer returns an empty buffer of at least the capacity and holds it. It fails with *BudgetError.
func (h *Holder) buffer(capacity int64) ([]byte, error) {
	reused := h.budget.reusable(capacity)
	if err := h.Resize(max(int64(cap(reused)), capacity)); err != nil {
		h.budget.reuse(reused)
		return nil, err
	}
	if reused != nil {
		return reused, nil
	}
	return make([]byte, 0, capacity), nil
}

// reusable returns a released buffer of about the capacity, or nil.
func (b *Budget) reusable(capacity int64) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.IndexFunc(b.free, func(buffer []byte) bool {
		size := int64(cap(buffer))
		return size >= capacity && size <= capacity+capacity/8
	})
	if i < 0 {
		return nil
	}
	buffer := b.free[i]
	b.free = slices.Delete(b.free, i, i+1)
	b.freeBytes -= int64(cap(buffer))
	return buffer
}

// reuse keeps a buffer for later messages while others hold bytes and the budget has room for it.
func (b *Budget) reuse(buffer []byte) {
	size := int64(cap(buffer))
	if size <= GrantedBytes {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > 0 && b.used+b.freeBytes+size <= b.maxBytes {
		b.free = append(b.free, buffer[:0])
		b.freeBytes += size
	}
}

// dropFree drops released buffers for which there is no room beside what is held. The caller holds mu.
func (b *Budget) dropFree() {
	for len(b.free) > 0 && (b.used == 0 || b.used+b.freeBytes > b.maxBytes) {
		last := len(b.free) - 1
		b.freeBytes -= int64(cap(b.free[last]))
		b.free[last] = nil
		b.free = b.free[:last]
	}
}

// ReadAll reads a message of a given length, or -1 if it is unknown, to its end, and holds the buffer's capacity. It fails with *Error if the message is
// longer than maxBytes, and with *BudgetError if the budget has no room. After an error nothing of the message is held.
func (h *Holder) ReadAll(from io.Reader, length, maxBytes int64) ([]byte, error) {
	data, err := h.readAll(from, length, maxBytes)
	if err != nil {
		h.Recycle(data)
		return nil, err
	}
	return data, nil
}

// readAll also returns what it has read before an error.
func (h *Holder) readAll(from io.Reader, length, maxBytes int64) ([]byte, error) {
	if length > maxBytes {
		return nil, &Error{MaxBytes: maxBytes}
	}
	// One byte more than the message lets the last read find its end.
	capacity := length + 1
	if length < 0 {
		capacity = min(firstReadBytes, maxBytes+1)
	}
	var data []byte
	if length >= 0 {
		var err error
		if data, err = h.buffer(capacity); err != nil {
			return nil, err
		}
	}
	// next receives what follows a full buffer, so that a message that fills its buffer does not need one of twice the size.
	next := make([]byte, nextBytes)
	for {
		if int64(len(data)) > maxBytes {
			return data, &Error{MaxBytes: maxBytes}
		}
		room := data[len(data):cap(data)]
		isFull := len(room) == 0
		if isFull {
			room = next[:min(nextBytes, capacity-int64(len(data)))]
		}
		n, err := from.Read(room)
		switch {
		case !isFull:
			data = data[:len(data)+n]
		case n > 0:
			grown, growErr := h.buffer(capacity)
			if growErr != nil {
				return data, growErr
			}
			grown = append(append(grown, data...), next[:n]...)
			h.budget.reuse(data)
			data = grown
			capacity = min(2*capacity, maxBytes+1)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
