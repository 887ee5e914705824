package placing

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// unknownShare is the fraction of an engine's memory that counts as taken by others until the engine has reported a load.
const unknownShare = 0.5

type (
	// Held is what a request holds of its engine.
	Held struct {
		// Tokens is the memory, and Unread the time that the engine needs to read the prompt.
		Tokens   int
		Unread   time.Duration
		Priority routing.Priority
	}

	// Holds is what the requests of one instance hold of engines. It is safe for concurrent use.
	Holds struct {
		mu       sync.Mutex
		byEngine map[engines.Key]map[*Hold]bool
	}

	// Hold is what one request holds until End.
	Hold struct {
		of    *Holds
		key   engines.Key
		held  Held
		since time.Time
	}
)

// NewHolds returns holds of no request.
func NewHolds() *Holds { return &Holds{byEngine: make(map[engines.Key]map[*Hold]bool)} }

// Add records what a request holds of an engine from now on.
func (h *Holds) Add(k engines.Key, held Held, now time.Time) *Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byEngine[k] == nil {
		h.byEngine[k] = make(map[*Hold]bool)
	}
	hold := &Hold{of: h, key: k, held: held, since: now}
	h.byEngine[k][hold] = true
	return hold
}

// Read records that the engine has read the prompt.
func (h *Hold) Read() {
	h.of.mu.Lock()
	defer h.of.mu.Unlock()
	h.held.Unread = 0
}

// End records that the request holds nothing any more. Only the first call has an effect.
func (h *Hold) End() {
	h.of.mu.Lock()
	defer h.of.mu.Unlock()
	delete(h.of.byEngine[h.key], h)
	if len(h.of.byEngine[h.key]) == 0 {
		delete(h.of.byEngine, h.key)
	}
}

// LeastUnread returns the time that the engine with the least of it needs to read the prompts of this instance's requests of a priority or a more urgent
// one.
func (h *Holds) LeastUnread(list []engines.Engine, p routing.Priority) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	least := time.Duration(math.MaxInt64)
	for _, e := range list {
		sum := time.Duration(0)
		for hold := range h.byEngine[e.Key] {
			if hold.held.Priority <= p {
				sum += hold.held.Unread
			}
		}
		if least = min(least, sum); least == 0 {
			return 0
		}
	}
	if len(list) == 0 {
		return 0
	}
	return least
}

// tokensAt returns the memory that the instance's requests hold of an engine, and the part of it that is held since a report.
func (h *Holds) tokensAt(k engines.Key, report time.Time) (all, unreported int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for hold := range h.byEngine[k] {
		all += hold.held.Tokens
		if !hold.since.Before(report) {
			unreported += hold.held.Tokens
		}
	}
	return all, unreported
}

// WithoutMemory returns the engines of a service that have no memory for a request of so many tokens from this instance. This instance's requests count by
// what they hold, and those of others as so many mean requests. Since all instances decide on the same reports, the memory that is free at an engine's
// report is divided into units of the largest usual request, and these are dealt to the instances in an order that differs for each engine. An instance
// sends no more than its units until the next report, so all together stay within the memory.
func (t *Table) WithoutMemory(all *engines.List, r Request, c Capacity, tokens int, holds *Holds, now time.Time) []ident.Engine {
	if c.MemoryTokens <= 0 || tokens <= 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := r.candidates(all)
	usualOfOthers := t.usualLoad(r, len(list), now)
	size, position := max(len(t.fleet.names), 1), t.fleet.position()
	unit := max(c.LargestTokens, tokens)
	var without []ident.Engine
	for _, e := range list {
		s := t.engineState(e.Key)
		own, unreported := holds.tokensAt(e.Key, s.latestLoadAt)
		rank := (position + int(e.Key)) % size
		taken := own - unreported + int(s.memoryOfOthers(c, usualOfOthers, now))
		free := int(MemoryShare*float64(c.MemoryTokens)) - taken
		if tokens > free && own == 0 && (taken == 0 || (rank == 0 && s.latestLoadAt.IsZero())) {
			// An empty engine runs a request of up to all its memory. Without the second case, no load of an idle engine would become known.
			free = c.MemoryTokens
		}
		// Units rank, rank + size and so on are this instance's.
		dealt := (max(free/unit-rank, 0) + size - 1) / size
		if unreported+tokens > dealt*unit {
			without = append(without, e.ID)
		}
	}
	return without
}

// RecordSurge does for a placed request what Choose does if no engine was tried: it starts a surge if this instance has placed two requests for the
// subject in quick succession.
func (t *Table) RecordSurge(r Request, now time.Time) {
	if len(r.Parts) < 2 || surgeWidth(r.Instances) <= 1 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordPlaced(r.Parts[len(r.Parts)-2].ID, now)
}

// memoryOfOthers estimates the tokens that the requests of other instances hold of an engine.
func (s *engineState) memoryOfOthers(c Capacity, usualOfOthers float64, now time.Time) float64 {
	switch {
	case s.latestLoadAt.IsZero():
		return unknownShare * MemoryShare * float64(c.MemoryTokens)
	case now.Sub(s.latestLoadAt) >= reportTTL:
		return usualOfOthers * c.MeanTokens
	}
	reportedOwn := max(s.running-s.sentSinceLatest, 0)
	return float64(max(s.latestLoad-reportedOwn, 0)) * c.MeanTokens
}

// position returns the position of this instance among the names in order, which is the same at all instances that know the same ones.
func (f fleet) position() int {
	before := 0
	for _, name := range f.names {
		if name < f.self {
			before++
		}
	}
	return before
}

// Holds reports whether a request of so many tokens has room in an engine that runs nothing else.
func (c Capacity) Holds(tokens int) bool {
	return c.MemoryTokens <= 0 || tokens <= c.MemoryTokens
}

// WithTried returns a request that also counts other engines as tried.
func (r Request) WithTried(others []ident.Engine) Request {
	if len(others) > 0 {
		r.Tried = slices.Concat(r.Tried, others)
	}
	return r
}
