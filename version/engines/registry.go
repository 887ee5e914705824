package engines

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/vanillaroute/vanillaroute/boottime"
)

const (
	// maxReports bounds the keys whose last reports are remembered, also after their removal.
	maxReports = 4096
	// lateWriteSpan is the longest time after a removal at which a write from before it may still be executed.
	lateWriteSpan = 30 * time.Second
)

type (
	// Registry decides which entries of the store are those of engines. The store may execute a write seconds after the engine has sent it, when it has
	// executed later ones. An entry that may be such a write is held back for a while: an engine that still runs writes its entry again, and the entry of
	// one that has ended is removed. It is not safe for concurrent use.
	Registry struct {
		// engines and held are the accepted entries and those that are held back, by key.
		engines map[string]Engine
		held    map[string]heldEntry
		reports *simplelru.LRU[string, lastReport]
	}

	heldEntry struct {
		engine Engine
		until  boottime.Instant
	}

	// lastReport is what is known of the last accepted entry of a key.
	lastReport struct {
		startedAtMs int64
		sequence    float64
		// removedAt is when the entry was removed, or 0. It stays 0 if the entry may only have lapsed.
		removedAt boottime.Instant
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	reports, err := simplelru.NewLRU[string, lastReport](maxReports, nil)
	if err != nil {
		panic(err)
	}
	return &Registry{engines: make(map[string]Engine), held: make(map[string]heldEntry), reports: reports}
}

// Put applies an entry and reports whether it is accepted. One that may be outdated is held back for a time, and the earlier entry stays in force.
func (r *Registry) Put(key string, e Engine, hold time.Duration, now boottime.Instant) bool {
	if r.mayBeOutdated(key, e, now) {
		r.held[key] = heldEntry{engine: e, until: now.Add(hold)}
		return false
	}
	r.accept(key, e)
	return true
}

// Reject applies an entry that names no engine. The engine may write it again.
func (r *Registry) Reject(key string) {
	delete(r.engines, key)
	delete(r.held, key)
}

// Remove applies the removal of an entry. mayHaveLapsed says that the store may have removed it because it could not be reached.
func (r *Registry) Remove(key string, mayHaveLapsed bool, now boottime.Instant) {
	r.Reject(key)
	if last, ok := r.reports.Peek(key); ok && !mayHaveLapsed {
		last.removedAt = now
		r.reports.Add(key, last)
	}
}

// AcceptDue accepts the entries that still stand after they were held back, and returns their engines.
func (r *Registry) AcceptDue(now boottime.Instant) []Engine {
	var accepted []Engine
	for key, h := range r.held {
		if now >= h.until {
			r.accept(key, h.engine)
			accepted = append(accepted, h.engine)
		}
	}
	return accepted
}

// All returns the engines of the accepted entries, ordered by id.
func (r *Registry) All() []Engine {
	return slices.SortedFunc(maps.Values(r.engines), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
}

func (r *Registry) accept(key string, e Engine) {
	delete(r.held, key)
	r.engines[key] = e
	r.reports.Add(key, lastReport{startedAtMs: e.StartedAtMs, sequence: e.Sequence})
}

// mayBeOutdated reports whether an entry may have been written before the last accepted one, or before its removal. Sequences count from each start of an
// engine.
func (r *Registry) mayBeOutdated(key string, e Engine, now boottime.Instant) bool {
	last, ok := r.reports.Peek(key)
	switch {
	case !ok || e.StartedAtMs == 0 || last.startedAtMs == 0:
		return false
	case e.StartedAtMs != last.startedAtMs:
		return e.StartedAtMs < last.startedAtMs
	case e.Sequence < last.sequence:
		return true
	}
	return last.removedAt > 0 && now.Sub(last.removedAt) < lateWriteSpan
}
