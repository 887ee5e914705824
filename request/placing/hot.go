package placing

import (
	"math"
	"time"
)

// minHotCount is the count from which a subject is hot. Ordinary subjects have up to two known requests at a time.
const minHotCount = 2

// spreadWidth returns the number of engines over which the requests for the subject of a prompt are spread, so that each engine stays
// below limit, and at least 1. The service has the given number of engines with the given mean load, and that many instances choose among them. A burst of
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
	engines = max(engines, 1)
	if subject.requests.At(now) < minHotCount {
		return min(width, engines)
	}
	// Each request counts once for each of its shared parts.
	share := min(subject.requests.At(now)/t.requests.At(now)*float64(len(parts)-1), 1)
	running := share * mean * float64(engines)
	// Half of the free capacity is left for concurrent requests for other subjects.
	free := max((limit-mean)/2, 1)
	return min(max(int(math.Ceil(running/free)), width), engines)
}
