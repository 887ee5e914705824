package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// coldSpan is how long an engine is cold that has started during a run. In each coldWindow all instances together may then send it coldOver times
	// warmupRate and coldSlack requests.
	coldSpan   = 2 * time.Second
	coldWindow = time.Second
	warmupRate = 20
	coldOver   = 1.5
	coldSlack  = 5
)

// coldStart is an engine, under an id, that starts cold at a time.
type coldStart struct {
	id ident.Engine
	at time.Time
}

func (r *executionLog) recordColdStart(id ident.Engine, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldStarts = append(r.coldStarts, coldStart{id, at})
}

// allColdAt reports whether all engines were cold at a time: those that had started within coldSpan, and those whose failure domain was evacuated until
// then, which may have become cold meanwhile.
func (r *executionLog) allColdAt(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isCold := func(since time.Time) bool { return !since.After(at) && at.Sub(since) < coldSpan }
	cold := make(map[ident.Domain]bool)
	for _, s := range r.coldStarts {
		if isCold(s.at) {
			// A mark is added to the id at each start, and each engine has a domain of its own.
			cold[ident.Domain("of-"+strings.TrimRight(string(s.id), "'"))] = true
		}
	}
	for _, s := range r.evacuations {
		if isCold(s.until) {
			cold[s.domain] = true
		}
	}
	return len(cold) >= engineCount
}

// checkColdEngines checks that engines that have just started get no more requests in a second than they bear, from instances in touch or not. Requests
// that a disturbed connection has held back were sent earlier and do not count.
func (r *run) checkColdEngines() error {
	calls := r.callers.byID()
	for _, s := range r.executions.coldStarts {
		var counted []visit
		for _, v := range r.executions.visits {
			if v.engineID == s.id && v.at.Sub(s.at) < coldSpan && v.engine.disturbed.inTouch(s.at, v.at) {
				counted = append(counted, v)
			}
		}
		slices.SortFunc(counted, func(a, b visit) int { return a.at.Compare(b.at) })
		for i, first := range counted {
			end, _ := slices.BinarySearchFunc(counted, first.at.Add(coldWindow), func(v visit, t time.Time) int { return v.at.Compare(t) })
			r.mostAtCold = max(r.mostAtCold, end-i)
			if n := end - i; float64(n) > coldOver*warmupRate+coldSlack {
				return r.violation("warm-up of engines", calls[counted[end-1].id], fmt.Sprintf("request %d within %s at engine %s, which started %s earlier", n, coldWindow, s.id, first.at.Sub(s.at)))
			}
		}
	}
	return nil
}
