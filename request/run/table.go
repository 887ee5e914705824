package run

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// AbandonedRunTimeout is how long a run goes on without a reader before it is cancelled.
	AbandonedRunTimeout = 5 * time.Second
	// Retention is how long a whole answer is kept for a reader that lost its connection.
	Retention = 15 * time.Second
	// MaxBytes bounds the events that ended runs keep.
	MaxBytes = 32 << 20
)

// Table holds the runs of a home router by request.
type Table struct {
	mu   sync.Mutex
	runs map[ident.Request]*Run
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{runs: make(map[ident.Request]*Run)}
}

// Find returns the run of a request if it still holds the events from an offset on.
func (t *Table) Find(id ident.Request, from int) (*Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.runs[id]
	if !ok || !r.HasEventsFrom(from) {
		return nil, false
	}
	return r, true
}

// Put holds a run, in place of an earlier one of the same request.
func (t *Table) Put(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.Submit.Request] = r
}

// Remove forgets a run unless another has taken its place.
func (t *Table) Remove(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[r.Submit.Request] == r {
		delete(t.runs, r.Submit.Request)
	}
}

// Active returns how many runs have not ended.
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

// Sweep cancels the runs that lost their reader, and forgets ended ones past retention or memory.
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

// evict forgets the ended runs of longest ago until the rest fit.
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
