package modelload

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// ReportTTL is how long a router's load report counts.
	ReportTTL = 3 * time.Second
	// sampleTTL is how long a report counts if only a sample of the routers is heard.
	sampleTTL = intervals * interval
	// completeFleet is the highest number of routers of which each is heard by each within sampleTTL: a heartbeat goes to two of them every
	// 250 ms, and they reply.
	completeFleet = 8
	// unnoticedShare is the share of the requests counted as running that may have ended at the engine without being read. A busy process
	// read ends up to 0.3 s late, and 38 requests were counted where at most 36 ran.
	unnoticedShare = 1.0 / 8
)

type (
	// Table holds the last report of each router for each model. It is safe for concurrent use.
	Table struct {
		mu      sync.Mutex
		reports map[ident.Model]map[ident.Router]report
		clocks  map[ident.Router]*clock
	}

	// Total is the load of a model on the engines whose home routers have reported lately. In a small fleet these are all engines, in a large
	// one a sample.
	Total struct {
		// Running is the highest number of requests that certainly ran at once in the time of a history.
		Running int
		Waiting int
		Engines int
		// TokenGap is the median time between tokens over the routers, or 0 if none reported one.
		TokenGap time.Duration
	}

	// Listed counts the live routers, with this one, and the engines of a model in this router's list.
	Listed struct {
		Routers int
		Engines int
	}

	// report is the last load report of a router for a model.
	report struct {
		load wire.ModelLoad
		// recentMin is the lower of the last two counts of running requests of a router of an earlier version, which reports no history.
		recentMin int
		at        time.Time
		clock     *clock
	}

	// span is a history whose latest interval ended between end-uncertainty and end.
	span struct {
		lowest      []int
		end         time.Time
		uncertainty time.Duration
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{reports: make(map[ident.Model]map[ident.Router]report), clocks: make(map[ident.Router]*clock)}
}

// Update records the load report of a router. For a report in the reply to a request, askedAt is when the request was sent; otherwise it is
// zero. A report that is older than the last or of an earlier incarnation is not used. One from the future or with negative numbers also
// removes the last.
func (t *Table) Update(from ident.Router, list []wire.ModelLoad, askedAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, load := range list {
		byRouter, ok := t.reports[load.Model]
		if !ok {
			byRouter = make(map[ident.Router]report)
			t.reports[load.Model] = byRouter
		}
		if !valid(load) {
			delete(byRouter, from)
			continue
		}
		old, ok := byRouter[from]
		if load.Incarnation == 0 {
			recentMin := load.Running
			if ok && old.clock == nil {
				recentMin = min(recentMin, old.load.Running)
			}
			byRouter[from] = report{load: load, recentMin: recentMin, at: now}
			continue
		}
		sent := micros(load.SentMicros)
		c, known := t.clocks[from]
		switch {
		case !known || load.Incarnation > c.incarnation || now.Sub(c.heardAt) > clockTTL:
			c = t.startClock(from, load.Incarnation, now)
		case load.Incarnation < c.incarnation:
			continue
		case c.stoodStill(sent, askedAt, now):
			c = t.startClock(from, load.Incarnation, now)
		case c.fromFuture(sent, now):
			t.startClock(from, load.Incarnation, now)
			continue
		}
		c.update(sent, askedAt, now)
		if !ok || old.clock != c || load.SentMicros > old.load.SentMicros {
			byRouter[from] = report{load: load, at: now, clock: c}
		}
	}
}

// startClock starts a new clock for a router. Reports by an earlier clock do not count any more.
func (t *Table) startClock(from ident.Router, incarnation ident.Incarnation, now time.Time) *clock {
	c := &clock{incarnation: incarnation, heardAt: now}
	t.clocks[from] = c
	return c
}

// Total adds this router's own load of a model to the reports of the other routers, and drops reports older than ReportTTL. A router whose
// history does not cover an instant counts as running nothing then. In a fleet of more than completeFleet routers, the engines are those of
// the routers heard; in a smaller one at least all that are listed, because the mean of some routers may be far above that of all.
func (t *Table) Total(self ident.Router, own wire.ModelLoad, listed Listed, now time.Time) Total {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := t.reports[own.Model]
	for from, r := range reports {
		if now.Sub(r.at) > ReportTTL {
			delete(reports, from)
		}
	}
	total := Total{Waiting: own.Waiting, Engines: own.Engines}
	spans := []span{{lowest: own.Lowest, end: now.Add(-micros(own.LowestAgeMicros))}}
	unsampled := 0
	var tokenGaps []int64
	if own.TokenGapMicros > 0 {
		tokenGaps = append(tokenGaps, own.TokenGapMicros)
	}
	for from, r := range reports {
		if from == self {
			continue
		}
		if r.load.TokenGapMicros > 0 {
			tokenGaps = append(tokenGaps, r.load.TokenGapMicros)
		}
		if listed.Routers > completeFleet && now.Sub(r.at) > sampleTTL {
			continue
		}
		total.Waiting += r.load.Waiting
		total.Engines += r.load.Engines
		if r.clock == nil {
			unsampled += r.recentMin
		} else if u, ok := r.clock.uncertainty(); ok && r.clock == t.clocks[from] {
			sent := r.clock.latest.Add(micros(r.load.SentMicros))
			spans = append(spans, span{r.load.Lowest, sent.Add(-micros(r.load.LowestAgeMicros)), u})
		}
	}
	if listed.Routers <= completeFleet {
		total.Engines = max(total.Engines, listed.Engines)
	}
	total.Running = unsampled + highestSum(spans, now)
	if len(tokenGaps) > 0 {
		slices.Sort(tokenGaps)
		total.TokenGap = time.Duration(tokenGaps[(len(tokenGaps)-1)/2]) * time.Microsecond
	}
	return total
}

// RunBound returns how many requests an engine may run. It is at least 1, and a mean below 1 counts as 1. The request that starts is not
// added, since Running is a past peak; the bound leaves room for it.
func (t Total) RunBound(loadBound, weight float64) int {
	return t.bound(t.running(), loadBound, weight)
}

// PlaceBound returns how many requests, running and waiting, an engine may hold, given that one more is placed.
func (t Total) PlaceBound(loadBound, weight float64) int {
	return t.bound(t.running()+float64(t.Waiting+1), loadBound, weight)
}

// running returns the number of running requests without those that may have ended unnoticed.
func (t Total) running() float64 { return float64(t.Running) * (1 - unnoticedShare) }

// bound returns loadBound times weight times the mean load of an engine, rounded up.
func (t Total) bound(load, loadBound, weight float64) int {
	mean := max(1, load/float64(max(t.Engines, 1)))
	return max(1, int(math.Ceil(loadBound*mean*weight)))
}

// highestSum returns the highest of the sums of the spans at common instants of the last sampleTTL.
func highestSum(spans []span, now time.Time) int {
	highest := 0
	for i := range intervals {
		at := now.Add(-time.Duration(i) * interval)
		sum := 0
		for _, s := range spans {
			sum += s.runningAt(at)
		}
		highest = max(highest, sum)
	}
	return highest
}

// runningAt returns the lowest number of requests that may have run at an instant, or 0 if the span does not cover it.
func (s span) runningAt(at time.Time) int {
	since := s.end.Sub(at)
	first, last := since-s.uncertainty, since
	if first < 0 || int(last/interval) >= len(s.lowest) {
		return 0
	}
	return slices.Min(s.lowest[first/interval : last/interval+1])
}

// valid reports whether a load can be true.
func valid(l wire.ModelLoad) bool {
	negative := l.Running < 0 || l.Waiting < 0 || l.Engines < 0 || l.SentMicros < 0 || l.LowestAgeMicros < 0
	return !negative && len(l.Lowest) <= intervals && !slices.ContainsFunc(l.Lowest, func(n int) bool { return n < 0 })
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
