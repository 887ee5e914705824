package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// In each limitWindow an engine gets at most limitTolerance times the requests that its limit allows, and limitAllowance.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitAllowance = 5
	// notice is the time after which an instance must keep to what an engine's answer says.
	notice = 500 * time.Millisecond
	// minLimit is the lowest limit in requests a second, and limitRange the number of limits from there on.
	minLimit   = 2
	limitRange = 5
	// limitDuration is how long a limit lasts, so that there are windows in which it must hold.
	limitDuration = contact + limitWindow + 2*time.Second
)

// limitSpan is a time in which an engine names a limit.
type limitSpan struct {
	perSecond   float64
	from, until time.Time
	// arrivals are the requests that the engine received meanwhile.
	arrivals []arrival
}

// startLimit makes the engine name a limit, unless it already does.
func (e *engine) startLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit != nil {
		return
	}
	span := &limitSpan{perSecond: perSecond, from: time.Now()}
	e.limit = span
	time.AfterFunc(limitDuration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.limit == span {
			e.endLimit()
		}
	})
}

// endLimit ends and records the limit, if there is one. The caller holds mu.
func (e *engine) endLimit() {
	if e.limit != nil {
		e.limit.until = time.Now()
		e.executions.recordLimit(*e.limit)
		e.limit = nil
	}
}

// nameLimit records the arrival of a request, and returns the limit that its answer names, or "".
func (e *engine) nameLimit(id ident.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit == nil {
		return ""
	}
	e.limit.arrivals = append(e.limit.arrivals, arrival{id, time.Now()})
	return strconv.FormatFloat(e.limit.perSecond, 'f', -1, 64)
}

func (r *executionLog) recordLimit(s limitSpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, s)
}

// checkLimits checks that engines get no more than their limits allow, from contact after they name them, from instances that are in touch and
// have relayed an answer with the limit.
func (r *run) checkLimits() error {
	calls := r.callers.byID()
	for _, s := range r.executions.limits {
		noticed := make(map[string]time.Time)
		var counted []arrival
		for _, a := range s.arrivals {
			c, ok := calls[a.id]
			if !ok {
				continue
			}
			at, relayed := noticed[c.instance]
			if c.status != 0 && (!relayed || c.endedAt.Before(at)) {
				noticed[c.instance] = c.endedAt
			}
			if relayed && a.at.After(at.Add(notice)) && a.at.After(s.from.Add(contact)) && r.instanceAt(c.instance).disturbed.inTouch(a.at.Add(-limitWindow), a.at) {
				counted = append(counted, a)
			}
		}
		bound := limitTolerance*s.perSecond*limitWindow.Seconds() + limitAllowance
		for i, first := range counted {
			end, _ := slices.BinarySearchFunc(counted, first.at.Add(limitWindow), func(a arrival, t time.Time) int { return a.at.Compare(t) })
			if n := end - i; float64(n) > bound {
				return r.violation("limits of engines", calls[counted[end-1].id], fmt.Sprintf("request %d in %s at an engine that names a limit of %g a second", n, limitWindow, s.perSecond))
			}
		}
	}
	return nil
}

// instanceAt returns the instance with an address for callers.
func (r *run) instanceAt(address string) *instance {
	i := slices.IndexFunc(r.instances, func(n *instance) bool { return fmt.Sprintf("%s:%d", n.ip, callersPort) == address })
	return r.instances[i]
}
