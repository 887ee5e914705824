package modelload

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

// ReportTTL is how long a router's report of its load counts.
const ReportTTL = 3 * time.Second

type (
	// Table holds the last report of each router for each model.
	Table struct {
		mu      sync.Mutex
		reports map[ident.Model]map[ident.Router]report
	}

	// Total is the load of a model over the engines whose homes reported lately: all of a small fleet, a sample of a large one.
	Total struct {
		Running int
		Waiting int
		Engines int
		// TokenGap is the median over routers of the time between tokens.
		TokenGap time.Duration
	}

	report struct {
		sum wire.ModelLoad
		// recentMin is the lower of the last two counts of running requests: a sum of peaks of different moments would be above
		// any moment's total.
		recentMin int
		at        time.Time
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{reports: make(map[ident.Model]map[ident.Router]report)}
}

// Update notes what a router reports of its models.
func (t *Table) Update(from ident.Router, list []wire.ModelLoad, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		byRouter, ok := t.reports[s.Model]
		if !ok {
			byRouter = make(map[ident.Router]report)
			t.reports[s.Model] = byRouter
		}
		low := s.Running
		if old, ok := byRouter[from]; ok {
			low = min(low, old.sum.Running)
		}
		byRouter[from] = report{sum: s, recentMin: low, at: now}
	}
}

// Total adds this router's exact load of a model to the fresh reports of the others.
func (t *Table) Total(self ident.Router, own wire.ModelLoad, now time.Time) Total {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := Total{Running: own.Running, Waiting: own.Waiting, Engines: own.Engines}
	var gaps []int64
	if own.TokenGapMicros > 0 {
		gaps = append(gaps, own.TokenGapMicros)
	}
	for from, r := range t.reports[own.Model] {
		if now.Sub(r.at) > ReportTTL {
			delete(t.reports[own.Model], from)
			continue
		}
		if from == self {
			continue
		}
		total.Running += r.recentMin
		total.Waiting += r.sum.Waiting
		total.Engines += r.sum.Engines
		if r.sum.TokenGapMicros > 0 {
			gaps = append(gaps, r.sum.TokenGapMicros)
		}
	}
	if len(gaps) > 0 {
		slices.Sort(gaps)
		total.TokenGap = time.Duration(gaps[(len(gaps)-1)/2]) * time.Microsecond
	}
	return total
}

// RunBound returns how many requests an engine may run when one more is to start; a mean under one counts as one.
func (t Total) RunBound(loadBound, weight float64) int {
	return t.bound(t.Running+1, loadBound, weight)
}

// PlaceBound returns how many requests an engine may hold, the waiting ones included, when one more is to be placed.
func (t Total) PlaceBound(loadBound, weight float64) int {
	return t.bound(t.Running+t.Waiting+1, loadBound, weight)
}

func (t Total) bound(load int, loadBound, weight float64) int {
	mean := max(1, float64(load)/float64(max(t.Engines, 1)))
	return max(1, int(math.Ceil(loadBound*mean*weight)))
}
