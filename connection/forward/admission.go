package forward

import (
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/request/cost"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// assumedSpeed is the speed of engines until it has been measured. Engine times only have to be in proportion to each other.
var assumedSpeed = cost.Speed{TokensPerMs: 20, TokenTime: 2 * time.Millisecond}

// ruled is a request that one rule has decided about, for streams and plain services alike.
type ruled struct {
	request  admission.Request
	decision admission.Decision
	// engineTime is the time that the request takes from others at its engine.
	engineTime time.Duration
}

// admitted counts a request and reports whether it is offered to engines. It sets verdict if not. Without the switch, streams are admitted: their engines
// run many requests together, so a request's time is not the time that it waits.
func (x *exchange) admitted(r placing.Request, now time.Time) bool {
	if !x.fitsAnyEngine() {
		return false
	}
	if x.overload.Admission {
		return x.admittedByWork(r, now)
	}
	if x.route.Kind == routing.Stream {
		return true
	}
	request := x.admissionRequest()
	request.Slots = x.Table.Slots(x.snapshot.Engines, r, now)
	decision := x.Admission.Admit(request, now)
	x.admission = &decision
	if decision.Admitted {
		x.expectedTime = decision.ExpectedTime
		return true
	}
	x.acceptedIn, x.verdict = decision.RetryAfter, "the service has more requests than it can answer in time"
	x.reason = "admitted with a probability of " + strconv.FormatFloat(decision.Probability, 'f', 2, 64) + ", answers take " + decision.ExpectedTime.String()
	x.Metrics.Add("overloadRefused", 1)
	return false
}

func (x *exchange) admissionRequest() admission.Request {
	priority := x.priority()
	return admission.Request{
		Service: x.service, Route: admission.NewClass(x.route.Name, priority), Organisation: admission.NewClass(x.org, priority),
		Target: x.route.TargetFirstByte, Instances: x.snapshot.Instances,
	}
}

// admittedByWork does the same as admitted by the work that requests need.
func (x *exchange) admittedByWork(r placing.Request, now time.Time) bool {
	capacity := x.capacity()
	// The prompt counts as cached as far as any engine holds it: the least time is at that engine.
	needs := x.needs
	needs.Cached = x.Table.LongestCached(x.snapshot.Engines, r, now)
	work, speed := x.Costs.Estimate(needs), x.Costs.SpeedOf(needs.Route.Service, 0)
	need := admission.Need{
		Left: x.deadline.Sub(now), Free: x.Table.HasFree(x.snapshot.Engines, r, capacity, now),
		EngineTime: work.EngineTimeAt(orAssumed(speed), float64(capacity.MaxRunning(slotsOf(x.snapshot.Engines.OfService(x.service))))),
	}
	if work.LeastTimeAt(speed) > 0 {
		need.Least = work.LeastTimeAt(speed) + x.Holds.LeastUnread(x.snapshot.Engines.OfService(x.service), x.priority())
	}
	x.ruled = &ruled{request: x.admissionRequest(), engineTime: need.EngineTime}
	if !need.Free {
		x.ruled.request.Slots = x.Table.SlotsFor(x.snapshot.Engines, r, capacity, now)
	}
	x.ruled.decision = x.Admission.AdmitByWork(x.ruled.request, need, now)
	switch d := x.ruled.decision; d.Reason {
	case admission.NotRefused:
		x.expectedTime = d.ExpectedTime
		return true
	case admission.CannotFinish:
		x.verdict = "the request cannot end before its deadline"
		x.reason = "it takes at least " + need.Least.String() + " of " + need.Left.String() + " left"
		x.Metrics.Add("cannotFinishRefused", 1)
	case admission.TooLarge:
		// fitsAnyEngine has refused it before.
	case admission.Overloaded:
		x.verdict = "the service has more work than its engines can do in time"
		x.reason = "admitted with a probability of " + strconv.FormatFloat(d.Probability, 'f', 2, 64) + ", more urgent and equal work takes " + d.Backlog.String()
		x.Metrics.Add("overloadRefused", 1)
	}
	return false
}

// priority returns the priority of the request, as operators name it.
func (x *exchange) priority() routing.Priority {
	return x.snapshot.Configuration.Priority(x.route, x.org)
}

// isTurnedAway reports whether the rule has refused the request; its decision then says when the caller may come back.
func (x *exchange) isTurnedAway() bool {
	return x.ruled != nil && x.ruled.decision.Reason != admission.NotRefused
}

// countCompleted counts an attempt that its engine has completed, also if the answer was lost. One that was abandoned or whose caller has left may not have
// run to its end.
func (x *exchange) countCompleted(r result) {
	if r == resultNotRun || x.retryReserved.Load() || x.r.Context().Err() != nil {
		return
	}
	now := time.Now()
	took := now.Sub(x.placement.at)
	switch {
	case x.ruled != nil:
		toTarget := took
		if x.route.Kind == routing.Stream && !x.progress.firstAt.IsZero() {
			toTarget = x.progress.firstAt.Sub(x.progress.sentAt)
		}
		x.Admission.AnsweredByWork(x.ruled.request, x.ruled.engineTime, toTarget, took, now)
	case x.route.Kind != routing.Stream:
		x.Admission.Answered(x.service, took, now)
	}
}

// orAssumed returns the speed with assumed figures for those that are not known.
func orAssumed(s cost.Speed) cost.Speed {
	if s.TokensPerMs <= 0 {
		s.TokensPerMs = assumedSpeed.TokensPerMs
	}
	if s.TokenTime <= 0 {
		s.TokenTime = assumedSpeed.TokenTime
	}
	return s
}

// slotsOf returns the slots of an engine of a service: all have as many, as far as they are named.
func slotsOf(list []engines.Engine) int {
	if len(list) == 0 {
		return 0
	}
	return list[0].Slots
}
