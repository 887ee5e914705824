package placing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// MemoryShare is the fraction of an engine's memory that is used. The rest is for what instances estimate too low.
const MemoryShare = 0.9

// Capacity is what the engines of a service have memory for. Counts that are not known are 0.
type Capacity struct {
	// MemoryTokens is the memory of each engine, MeanTokens that of the mean request, and LargestTokens that of the largest usual one.
	MemoryTokens  int
	MeanTokens    float64
	LargestTokens int
}

// MaxRunning returns the number of requests that an engine runs at a time: it is bounded by slots, and by memory for so many mean requests.
func (c Capacity) MaxRunning(slots int) int {
	if c.MemoryTokens <= 0 || c.MeanTokens <= 0 {
		return slots
	}
	fitting := max(int(MemoryShare*float64(c.MemoryTokens)/c.MeanTokens), 1)
	if slots <= 0 {
		return fitting
	}
	return min(slots, fitting)
}

// HasFree reports whether an engine at which nothing waits has a slot and, by the mean request, memory for a request. Engines that name no slots always have.
// It looks at engines in an order that differs for each call, so while most are free it is fast.
func (t *Table) HasFree(all *engines.List, r Request, c Capacity, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := r.candidates(all)
	if len(list) == 0 {
		return false
	}
	usualOfOthers := t.usualLoad(r, len(list), now)
	first := rand.IntN(len(list))
	for i := range list {
		if t.isFree(list[(first+i)%len(list)], c, usualOfOthers, now) {
			return true
		}
	}
	return false
}

// SlotsFor returns the number of requests that the engines of a service run at the same time with that capacity, without those that take none now.
func (t *Table) SlotsFor(all *engines.List, r Request, c Capacity, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0
	for _, e := range r.candidates(all) {
		if s := t.engineState(e.Key); s.accepts(now) && !now.Before(s.backoffUntil) {
			slots += c.MaxRunning(e.Slots)
		}
	}
	return slots
}

// LongestCached returns the number of tokens of a request's prompt that the engine with the most of it is assumed to hold.
func (t *Table) LongestCached(all *engines.List, r Request, now time.Time) int {
	if len(r.Parts) == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefixHolders(all, r, now).longestTokens()
}

// isFree reports whether an engine that takes requests has capacity for another one. Without a recent report it runs about as many of others as is usual.
func (t *Table) isFree(e engines.Engine, c Capacity, usualOfOthers float64, now time.Time) bool {
	s := t.engineState(e.Key)
	if !s.accepts(now) || now.Before(s.backoffUntil) || t.roomAt(e.Key, s, now) == noRoom {
		return false
	}
	most := c.MaxRunning(e.Slots)
	if most <= 0 {
		return true
	}
	if now.Sub(s.latestLoadAt) >= reportTTL {
		return s.running+int(math.Round(usualOfOthers)) < most
	}
	waits := s.report.Waiting > 0 && now.Sub(s.reportedAt) < reportTTL && !s.reportedAt.Before(s.latestLoadAt)
	return !waits && s.latestLoad+s.sentSinceLatest < most
}
