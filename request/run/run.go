package run

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/wire"
)

// ErrSilent is returned to a reader if the engine is silent for too long. The run goes on.
var ErrSilent = errors.New("the engine is silent")

type (
	// Silences is the number of silences of an engine that a reader of a run knows of.
	Silences int

	// Run is one request at its home router with the events of its answer. It is safe for concurrent use.
	Run struct {
		Submit wire.Submit
		// Fingerprint identifies the organisation and body of the request.
		Fingerprint uint64

		mu         sync.Mutex
		baseOffset int
		events     [][]byte
		bytes      int
		end        *wire.End
		changed    chan struct{}
		// silences counts the times at which the engine was silent for too long.
		silences   int
		readers    int
		detachedAt time.Time
		endedAt    time.Time
		cancel     context.CancelFunc
		ctx        context.Context
	}
)

// New returns a run without events. Its context is derived from ctx and ends with Cancel.
func New(ctx context.Context, submit wire.Submit, fingerprint uint64, now time.Time) *Run {
	ctx, cancel := context.WithCancel(ctx)
	return &Run{Submit: submit, Fingerprint: fingerprint, baseOffset: submit.FirstOffset, detachedAt: now, ctx: ctx, cancel: cancel}
}

// Context returns the context of the run, which is done when the run is cancelled.
func (r *Run) Context() context.Context { return r.ctx }

// Cancel cancels the run.
func (r *Run) Cancel() { r.cancel() }

// Append adds an event to the answer.
func (r *Run) Append(event []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	r.bytes += len(event)
	r.notifyReaders()
}

// RecordSilence records that the engine has been silent for too long, which readers learn.
func (r *Run) RecordSilence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silences++
	r.notifyReaders()
}

// Finish ends the answer. Only the first call has an effect.
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

// NextOffset returns the offset of the event that follows the last one so far.
func (r *Run) NextOffset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.baseOffset + len(r.events)
}

// HasEventsFrom reports whether the run holds the events from an offset on and has not failed.
func (r *Run) HasEventsFrom(from int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return from >= r.baseOffset && (r.end == nil || r.end.Refusal == nil)
}

// Wait waits for events from an offset on and returns up to limit of them, or the end after the last event. It returns ErrSilent if the engine is silent for
// too long once more than the reader knows, and another error if ctx ends first.
func (r *Run) Wait(ctx context.Context, from, limit int, known *Silences) ([][]byte, *wire.End, error) {
	for {
		r.mu.Lock()
		available := r.events[min(max(from-r.baseOffset, 0), len(r.events)):]
		end, silences := r.end, Silences(r.silences)
		changed := r.changeSignal()
		r.mu.Unlock()
		switch {
		case len(available) > 0:
			*known = silences
			return available[:min(len(available), limit)], nil, nil
		case end != nil:
			return nil, end, nil
		case silences > *known:
			*known = silences
			return nil, nil, ErrSilent
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// Attach adds a reader.
func (r *Run) Attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// Detach removes a reader.
func (r *Run) Detach(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.detachedAt = now
}

// isAbandoned reports whether the run is in progress and has had no reader for the grace period.
func (r *Run) isAbandoned(grace time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.end == nil && now.Sub(r.detachedAt) >= grace
}

// expired reports whether the run ended at least the retention time ago and has no reader.
func (r *Run) expired(retention time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.end != nil && now.Sub(r.endedAt) >= retention
}

// size returns the memory that the run takes in bytes, when it ended, and whether it has ended and has no reader.
func (r *Run) size() (bytes int, ended time.Time, evictable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes + len(r.Submit.Body), r.endedAt, r.end != nil && r.readers == 0
}

// changeSignal returns a channel that is closed on the next change of the run.
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
