package forward

import (
	"time"

	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/request/placing"
)

// enginePriority returns the order of the request at the chosen engine. It is fixed when the request is sent.
func (x *exchange) enginePriority(choice placing.Choice, now time.Time) admission.EnginePriority {
	c := x.snapshot.Configuration
	p := admission.NewEnginePriority(c.Priority(x.route, x.org), c.ServicePriorities(x.service), x.leftToTarget(now), x.ownDuration(choice))
	if p.IsLate() {
		x.Metrics.Add("sentLate", 1)
	}
	return p
}

// leftToTarget returns the time left until the answer misses a target of its route: the next event of a stream that has begun, else the first event or
// the whole answer. Without a target it is the time left to the deadline.
func (x *exchange) leftToTarget(now time.Time) time.Duration {
	switch {
	case x.stream != nil && x.route.TargetEventGap > 0:
		return x.stream.lastAt.Add(x.route.TargetEventGap).Sub(now)
	case x.stream == nil && x.route.TargetFirstByte > 0:
		return x.arrived.Add(x.route.TargetFirstByte).Sub(now)
	}
	return x.deadline.Sub(now)
}

// ownDuration returns the time that the chosen engine needs to meet the target if nothing waits there, or 0 if it is not known.
func (x *exchange) ownDuration(choice placing.Choice) time.Duration {
	if own := x.placement.work.FirstAt(x.Costs.SpeedOf(x.needs.Route.Service, choice.Engine.Key)); own > 0 || len(x.parts) == 0 {
		return own
	}
	return x.Table.PrefillTime(choice)
}
