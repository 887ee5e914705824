package modelload

import (
	"sync"
	"time"
)

const (
	// interval is the length of the intervals of a history. Shorter ones make reports longer, longer ones count fewer of the requests
	// that start and end within them.
	interval = 25 * time.Millisecond
	// intervals is the number of intervals in a history. Their 0.8 s leave 0.2 s of the second within which a total counts, for the time
	// from the decision to the start at the engine.
	intervals = 32
)

// History records the lowest number of running requests in each of the last intervals. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	origin  time.Time
	running int
	// lowest is a ring, in which newest is the number of the interval in progress since origin.
	lowest [intervals + 1]int
	newest int
}

// NewHistory returns a history in which nothing has run before now.
func NewHistory(now time.Time) *History { return &History{origin: now} }

// Add changes the number of running requests.
func (h *History) Add(delta int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	h.running += delta
	h.lowest[h.newest%len(h.lowest)] = min(h.lowest[h.newest%len(h.lowest)], h.running)
}

// Lowest returns the lowest number of running requests in each complete interval, the latest first, and the time since the end of the
// latest.
func (h *History) Lowest(now time.Time) (lowest []int, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	lowest = make([]int, intervals)
	for i := range lowest {
		if n := h.newest - 1 - i; n >= 0 {
			lowest[i] = h.lowest[n%len(h.lowest)]
		}
	}
	return lowest, max(0, now.Sub(h.origin)-time.Duration(h.newest)*interval)
}

// advance begins the interval of now, and those before it that nothing changed in.
func (h *History) advance(now time.Time) {
	number := int(now.Sub(h.origin) / interval)
	for h.newest < number {
		h.newest = max(h.newest+1, number-intervals)
		h.lowest[h.newest%len(h.lowest)] = h.running
	}
}
