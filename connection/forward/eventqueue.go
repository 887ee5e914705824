package forward

import (
	"sync"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

// queuedEventBytes is what a queued event takes beside its buffer: its place in the queue and the rounding of allocations.
const queuedEventBytes = 48

// errQueueFull is returned if an event has to wait until others are written or the budget has more room.
var errQueueFull = errors.New("no memory for further events before the caller reads")

type (
	// eventQueue holds the complete events of a stream that are read while a write to the caller is blocked. It charges them, together with the event
	// that is being read, to a memory budget. One goroutine reads events and one writes them; until the first blocked write both are the same and
	// nothing is queued.
	eventQueue struct {
		mu   sync.Mutex
		kept *sizelimit.Holder
		// writing is the event that is being written to the caller, or nil, and ahead says that events are read meanwhile from now on.
		writing []byte
		ahead   bool
		// incomplete is what is charged for the event that is being read, queued for the events in the queue, and peak the most that queued was.
		incomplete, queued, peak int64
		// events are not yet written completely, oldest first.
		events []queuedEvent
		// ended says that no event follows, and closed that the caller reads none any more.
		ended, closed bool
		// arrived and written are signalled after each change at the reading and the writing side. They are nil until events are read ahead.
		arrived, written chan struct{}
	}

	queuedEvent struct {
		data    []byte
		charged int64
	}
)

// Resize charges the buffer of the event that is being read. It fails with *sizelimit.BudgetError if the budget has no room for it. While events are
// queued, it fails with errQueueFull unless the budget has room to spare: further events can wait at the engine, which other messages cannot.
func (q *eventQueue) Resize(bytes int64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) > 0 {
		bytes += queuedEventBytes
		if q.kept.ResizeOptional(q.queued+bytes) != nil {
			return errQueueFull
		}
	} else if err := q.kept.Resize(bytes); err != nil {
		return err
	}
	q.incomplete = bytes
	return nil
}

// Release returns the bytes of the event that is being read.
func (q *eventQueue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.incomplete = 0
	q.recharge()
}

// startWrite records the event that is about to be written to the caller.
func (q *eventQueue) startWrite(event []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = event
}

// endWrite records the end of a write and reports whether events are read ahead. The event is then still the first one in the queue.
func (q *eventQueue) endWrite() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = nil
	return q.ahead
}

// begin begins to read ahead with the event that is being written as the first one in the queue, which owns its buffer from now on. It returns false
// if no write is blocked.
func (q *eventQueue) begin() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.writing == nil || q.ahead {
		return false
	}
	q.ahead, q.arrived, q.written = true, make(chan struct{}, 1), make(chan struct{}, 1)
	q.add(q.writing)
	return true
}

// push queues the event that was read last. The queue owns its buffer from now on. The bytes are already charged.
func (q *eventQueue) push(event []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		q.incomplete = 0
		q.recharge()
		return
	}
	q.add(event)
	signal(q.arrived)
}

// add appends an event. The caller holds mu.
func (q *eventQueue) add(event []byte) {
	q.events = append(q.events, queuedEvent{event, q.incomplete})
	q.queued += q.incomplete
	q.incomplete = 0
	q.peak = max(q.peak, q.queued)
}

// end records that no event follows.
func (q *eventQueue) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
	signal(q.arrived)
}

// first returns the oldest event, or nil if none is queued. ended says that none follows either.
func (q *eventQueue) first() (event []byte, ended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return nil, q.ended
	}
	return q.events[0].data, false
}

// removeFirst removes the oldest event, which was written, and returns its bytes to the budget.
func (q *eventQueue) removeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return
	}
	q.queued -= q.events[0].charged
	q.events[0].data = nil
	q.events = q.events[1:]
	q.recharge()
	signal(q.written)
}

// close drops all events and returns their bytes to the budget, since the caller reads none any more.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed, q.events, q.queued = true, nil, 0
	q.recharge()
	signal(q.arrived)
	signal(q.written)
}

func (q *eventQueue) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

// recharge adapts what is charged after something was removed. The caller holds mu.
func (q *eventQueue) recharge() { _ = q.kept.Resize(q.queued + q.incomplete) }

// signal wakes the goroutine that waits for a channel, or the next one to wait.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
