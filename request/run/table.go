package run

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// AbandonedRunTimeout is how long a run continues without a reader before it is cancelled.
	AbandonedRunTimeout = 5 * time.Second
	// Retention is how long a complete answer is kept for a reader that lost its connection.
	Retention = 15 * time.Second
	// MaxBytes is the maximum size in bytes of the ended runs without readers, with their events and request bodies.
	MaxBytes = 32 << 20
)

// Table holds the runs of a home router by request ID. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	runs map[ident.Request]*Run
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{runs: make(map[ident.Request]*Run)}
}

// Find returns the run of a request if it holds the events from an offset on; otherwise it returns false.
func (t *Table) Find(id ident.Request, from int) (*Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.runs[id]
	if !ok || !r.HasEventsFrom(from) {
		return nil, false
	}
	return r, true
}

// Put adds a run and replaces an earlier run of the same request.
func (t *Table) Put(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.Submit.Request] = r
}

// Remove removes a run unless another one has replaced it.
func (t *Table) Remove(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[r.Submit.Request] == r {
		delete(t.runs, r.Submit.Request)
	}
}

// Active returns the number of runs that have not ended.
func (t *Table) Active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.runs {
		if !r.Ended() {
			n++
		}
	}
	return n
}

// Sweep cancels abandoned runs, and removes ended ones after Retention or if they take more than MaxBytes.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.runs {
		if r.isAbandoned(AbandonedRunTimeout, now) {
			r.Cancel()
		}
		if r.expired(Retention, now) {
			delete(t.runs, id)
		}
	}
	t.evict()
}

// evict removes the runs that ended first until the other ended runs take at most MaxBytes.
func (t *Table) evict() {
	type ended struct {
		id    ident.Request
		at    time.Time
		bytes int
	}
	var candidates []ended
	total := 0
	for id, r := range t.runs {
		bytes, at, evictable := r.size()
		if evictable {
			total += bytes
			candidates = append(candidates, ended{id: id, at: at, bytes: bytes})
		}
	}
	if total <= MaxBytes {
		return
	}
	slices.SortFunc(candidates, func(a, b ended) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
	for _, c := range candidates {
		if total <= MaxBytes {
			return
		}
		total -= c.bytes
		delete(t.runs, c.id)
	}
}
