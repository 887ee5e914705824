package run

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/wire"
)

type (
	// Run is one request at its home router, with all events of its answer.
	Run struct {
		Submit wire.Submit
		// Fingerprint identifies the request's organisation and body.
		Fingerprint uint64

		mu         sync.Mutex
		baseOffset int
		events     [][]byte
		bytes      int
		end        *wire.End
		changed    chan struct{}
		readers    int
		detachedAt time.Time
		endedAt    time.Time
		cancel     context.CancelFunc
		ctx        context.Context
	}
)

// New returns a run without events whose context ends with Cancel.
func New(ctx context.Context, submit wire.Submit, fingerprint uint64, now time.Time) *Run {
	ctx, cancel := context.WithCancel(ctx)
	return &Run{Submit: submit, Fingerprint: fingerprint, baseOffset: submit.FirstOffset, detachedAt: now, ctx: ctx, cancel: cancel}
}

// Context is done when the run is cancelled.
func (r *Run) Context() context.Context { return r.ctx }

// Cancel stops the run.
func (r *Run) Cancel() { r.cancel() }

// Append adds an event to the answer.
func (r *Run) Append(event []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	r.bytes += len(event)
	r.notifyReaders()
}

// Finish ends the answer; only the first call counts.
func (r *Run) Finish(end wire.End, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	end.Total = r.baseOffset + len(r.events)
	r.end = &end
	r.endedAt = now
	r.notifyReaders()
}

// Ended reports whether the answer has ended.
func (r *Run) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end != nil
}

// NextOffset returns the offset after the last event.
func (r *Run) NextOffset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.baseOffset + len(r.events)
}

// HasEventsFrom reports whether the run has the events from an offset on, and did not fail.
func (r *Run) HasEventsFrom(from int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return from >= r.baseOffset && (r.end == nil || r.end.Refusal == nil)
}

// Wait returns the events from an offset on, at most limit, or the end once all were returned.
func (r *Run) Wait(ctx context.Context, from, limit int) ([][]byte, *wire.End, error) {
	for {
		r.mu.Lock()
		have := r.events[min(max(from-r.baseOffset, 0), len(r.events)):]
		end := r.end
		changed := r.changeSignal()
		r.mu.Unlock()
		if len(have) > 0 {
			return have[:min(len(have), limit)], nil, nil
		}
		if end != nil {
			return nil, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// Attach counts a reader.
func (r *Run) Attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// Detach counts a reader less.
func (r *Run) Detach(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.detachedAt = now
}

// isAbandoned reports whether no reader came back within the grace.
func (r *Run) isAbandoned(grace time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.end == nil && now.Sub(r.detachedAt) >= grace
}

func (r *Run) expired(retention time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.end != nil && now.Sub(r.endedAt) >= retention
}

func (r *Run) size() (bytes int, ended time.Time, evictable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes + len(r.Submit.Body), r.endedAt, r.end != nil && r.readers == 0
}

func (r *Run) changeSignal() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

func (r *Run) notifyReaders() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
