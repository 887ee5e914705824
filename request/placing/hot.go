package placing

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the weight of a request in a decayingCount (factor 1/e). It covers two rounds of heartbeats from
	// all instances.
	decayTime = time.Second
	// minHotCount is the count from which a subject is hot. Ordinary subjects have up to two known requests at a time.
	minHotCount = 2
)

// decayingCount counts requests with exponentially decaying weight.
type decayingCount struct {
	count float64
	at    time.Time
}

// add counts a request at a time, which may be earlier than that of requests already counted.
func (c *decayingCount) add(at time.Time) {
	if c.at.IsZero() || at.After(c.at) {
		c.count, c.at = c.valueAt(at)+1, at
		return
	}
	c.count += math.Exp(-c.at.Sub(at).Seconds() / decayTime.Seconds())
}

// valueAt returns the decayed count at a time.
func (c *decayingCount) valueAt(at time.Time) float64 {
	if c.at.IsZero() {
		return 0
	}
	return c.count * math.Exp(-max(at.Sub(c.at), 0).Seconds()/decayTime.Seconds())
}

// spreadWidth returns the number of engines over which the requests for the subject of a prompt are spread, so that each engine stays
// below limit. The service has the given number of engines with the given mean load, and that many instances choose among them. A burst of
// requests for one subject can bring an engine over its bound before other instances receive its load, so a hot or surging subject is
// spread before the load is known.
func (t *Table) spreadWidth(parts []Part, instances, engines int, mean, limit float64, now time.Time) int {
	if len(parts) < 2 {
		return 1
	}
	subject, ok := t.parts.Peek(parts[len(parts)-2].ID)
	if !ok {
		return 1
	}
	width := 1
	if now.Before(subject.surge.until) {
		width = surgeWidth(instances)
	}
	if subject.requests.valueAt(now) < minHotCount {
		return min(width, engines)
	}
	// Each request counts once for each of its shared parts.
	share := min(subject.requests.valueAt(now)/t.requests.valueAt(now)*float64(len(parts)-1), 1)
	running := share * mean * float64(engines)
	// Half of the free capacity is left for concurrent requests for other subjects.
	free := max((limit-mean)/2, 1)
	return min(max(int(math.Ceil(running/free)), width), engines)
}
