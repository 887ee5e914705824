package placing

import (
	"math"
	"time"
)

const (
	// decayTime is the time in which the weight of one request in a heat falls to a third; it spans two rounds of word from all instances.
	decayTime = time.Second
	// minHotCount is the heat below which a subject is not taken to be hot: of the usual ones, two requests are known at once.
	minHotCount = 2
)

// decayingCount counts requests, the late ones more.
type decayingCount struct {
	count float64
	at    time.Time
}

// add counts a request at a time, which may be earlier than that of others.
func (h *decayingCount) add(at time.Time) {
	if h.at.IsZero() || at.After(h.at) {
		h.count, h.at = h.valueAt(at)+1, at
		return
	}
	h.count += math.Exp(-h.at.Sub(at).Seconds() / decayTime.Seconds())
}

// valueAt returns the count as it is at a time.
func (h *decayingCount) valueAt(at time.Time) float64 {
	if h.at.IsZero() {
		return 0
	}
	return h.count * math.Exp(-max(at.Sub(h.at), 0).Seconds()/decayTime.Seconds())
}

// spreadWidth returns among how many engines the requests about a prompt's subject are divided, of which a service has some with a mean
// load, so that each may take one that has a load up to limit. Word of a load takes as long as a burst about one subject to
// bring an engine over its bound, so instances divide a hot subject before they know of the load.
func (t *Table) spreadWidth(parts []Part, engines int, mean, limit float64, now time.Time) int {
	if len(parts) < 2 {
		return 1
	}
	subject, ok := t.parts.Peek(parts[len(parts)-2].ID)
	if !ok || subject.requests.valueAt(now) < minHotCount {
		return 1
	}
	// Each request counts once for each of its shared parts.
	share := min(subject.requests.valueAt(now)/t.requests.valueAt(now)*float64(len(parts)-1), 1)
	running := share * mean * float64(engines)
	// Half of the room is for requests about other subjects that come at the same time.
	room := max((limit-mean)/2, 1)
	return min(max(int(math.Ceil(running/room)), 1), engines)
}
