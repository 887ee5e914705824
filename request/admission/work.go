package admission

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/request/decay"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

const (
	// WorkUnit is the engine time that counts as 1 in demands of work. Messages hold hundredths of it.
	WorkUnit = 10 * time.Millisecond
	// peerSpan is how long an instance counts as heard after its last message. In a large fleet its messages come each 4 to 5 seconds.
	peerSpan = 10 * time.Second
	// minSize and maxSize bound the factor by which the probability of a request differs from that of its route for the engine time that it takes. minSize
	// keeps the largest requests of a route above 0.7 of its rate.
	minSize, maxSize = 0.75, 1.1
	// sizeSmoothing is the weight of a request in the mean engine time of its route.
	sizeSmoothing = 0.05
	// maxLateness bounds how far an answer counts into its target, so that a few lost ones do not stand for all.
	maxLateness = 4.0
	// returnShare is the fraction of the time that is left to a caller up to which it waits before it comes back.
	returnShare = 1.0 / 3
)

// Reasons for which a request is refused.
const (
	// NotRefused is the reason of an admitted request.
	NotRefused Reason = iota
	// TooLarge means that no engine has memory for the request. The caller finds that before it asks.
	TooLarge
	// CannotFinish means that the request cannot end before its deadline.
	CannotFinish
	// Overloaded means that engines have no capacity for all requests, and that others go first.
	Overloaded
)

type (
	// Reason says why a request is refused.
	Reason uint8

	// Need describes what a request needs and what its service's engines have. Times that are not known are 0.
	Need struct {
		// EngineTime is the time of an engine that the request takes from others.
		EngineTime time.Duration
		// Least is the shortest likely time to the end of the answer on the least loaded engine, and Left the time to the deadline.
		Least, Left time.Duration
		// Free says that an engine at which nothing waits has a slot and memory for the request.
		Free bool
	}
)

// AdmitByWork decides about a request by the engine time that it takes, the same for streams and plain services. The first step that applies decides: what
// cannot finish is refused; nothing else is refused while engines have capacity; each route and each organisation keeps a floor; the rest is ordered
// by priority, and within a priority by fairness in engine time and by size.
func (c *Controller) AdmitByWork(r Request, n Need, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service.ID())
	if n.Least > n.Left {
		return Decision{Reason: CannotFinish}
	}
	size := s.countWork(r, n, now)
	work, counted := &s.fleetWork, &s.fleet
	if r.Instances <= 1 {
		work, counted = &s.ownWork, &s.own
	}
	seconds, expected := counted.answerSeconds.At(now), time.Duration(0)
	if n := counted.answers.At(now); n > 0 {
		expected = time.Duration(seconds / n * float64(time.Second))
	}
	arrivals, answers := work.arrivals.At(now), work.answers.At(now)
	d := Decision{Admitted: true, Probability: 1, ExpectedTime: expected}
	// The counts of running requests are a second old, but no engine must wait for work because a report of its load is.
	running := seconds / decay.TimeConstant.Seconds() * float64(max(r.Instances, 1))
	if n.Free || answers <= 0 || running <= float64(r.Slots) || c.heardPeers(now) < min(minHeard, r.Instances-1) {
		return d
	}
	lateness := work.answerSeconds.At(now) / answers
	allowed := answers * changeFor(lateness)
	if allowed >= arrivals {
		return d
	}
	s.workOverloadedUntil = now.Add(overloadSpan)
	routes := work.routes.at(now)
	d.Probability = workShare(routes, work.organisations.at(now), r.Route, r.Organisation, workAllowance{arrivals, allowed, size})
	if rand.Float64() < d.Probability {
		return d
	}
	ahead := aheadOf(routes, r.Route.Priority)
	backlog := time.Duration(max(ahead-allowed, 0) / answers * float64(time.Second))
	backlog += time.Duration(max(lateness-targetShare, 0) * float64(r.Target))
	return Decision{Reason: Overloaded, Probability: d.Probability, Backlog: backlog, RetryAfter: returnAfter(backlog, n.Left)}
}

// AnsweredByWork counts an answer: the engine time that the request took, how long it took until it met its target or missed it, and how long in all.
func (c *Controller) AnsweredByWork(r Request, engineTime, toTarget, took time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service.ID())
	s.own.answers.Add(1, now)
	s.own.answerSeconds.Add(took.Seconds(), now)
	units := unitsOf(engineTime)
	lateness := float64(targetShare)
	if r.Target > 0 {
		lateness = min(toTarget.Seconds()/r.Target.Seconds(), maxLateness)
	}
	s.ownWork.answers.Add(units, now)
	s.ownWork.answerSeconds.Add(units*lateness, now)
}

// WorkDemands returns the demands in engine time that this instance shares with others. Arrivals and answers are in units of WorkUnit, and AnswerTime is the
// sum of the answers' units times how far each was into its target, in seconds for 1.
func (c *Controller) WorkDemands(now time.Time) []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Demand
	for id, s := range c.services {
		if s.ownWork.arrivals.At(now) >= forgetCount {
			list = append(list, s.ownWork.demand(id, now.Before(s.workOverloadedUntil), now))
		}
	}
	return largest(list, maxDemands, func(d Demand) float64 { return d.Arrivals })
}

// MergeWork averages this instance's counts of work with those that the instance at a peer address has sent. Instances that count no work send none.
func (c *Controller) MergeWork(peer string, list []Demand, now time.Time) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = now
	c.average(list, now, func(s *service) []*counts { return []*counts{&s.ownWork, &s.fleetWork} })
}

// heardPeers returns the number of other instances that have sent counts of work lately.
func (c *Controller) heardPeers(now time.Time) int {
	heard := 0
	for _, at := range c.peers {
		if now.Sub(at) < peerSpan {
			heard++
		}
	}
	return heard
}

func (c *Controller) prunePeers(now time.Time) {
	maps.DeleteFunc(c.peers, func(_ string, at time.Time) bool { return now.Sub(at) >= peerSpan })
}

// countWork counts a request and returns its size factor.
func (s *service) countWork(r Request, n Need, now time.Time) float64 {
	s.own.arrivals.Add(1, now)
	units := unitsOf(n.EngineTime)
	s.ownWork.arrivals.Add(units, now)
	s.ownWork.routes.count(r.Route).Add(units, now)
	s.ownWork.organisations.count(r.Organisation).Add(units, now)
	mean, ok := s.sizes[r.Route]
	if !ok {
		mean = units
	}
	s.sizes[r.Route] = mean + sizeSmoothing*(units-mean)
	return min(max(mean/units, minSize), maxSize)
}

// changeFor returns the factor between the rate of answers and that of requests to admit, by how far answers are into their targets on average.
func changeFor(lateness float64) float64 {
	change := (targetShare - lateness) / targetShare
	return 1 + max(riseGain*max(change, 0)+fallGain*min(change, 0), -maxFall)
}

// aheadOf returns the work of a priority and of the more urgent ones.
func aheadOf(routes map[Class]float64, p routing.Priority) float64 {
	sum := 0.0
	for class, n := range routes {
		if class.Priority <= p {
			sum += n
		}
	}
	return sum
}

// returnAfter draws the time after which a refused caller may come back, between the end of the backlog and the latest time at which callers come back. It
// returns 0 if the backlog lasts longer.
func returnAfter(backlog, left time.Duration) time.Duration {
	latest := time.Duration(returnShare * float64(left))
	if backlog >= latest {
		return 0
	}
	return backlog + time.Duration(rand.Float64()*float64(latest-backlog))
}

func unitsOf(d time.Duration) float64 { return max(float64(d)/float64(WorkUnit), 1.0/10) }

// workAllowance is the work that arrives, the part of it that engines can do, and the size factor of the request.
type workAllowance struct{ arrivals, allowed, size float64 }

// workShare returns the probability with which a request of an organisation on a route is admitted. Half of what can be done is divided in proportion to
// demand: that is the floor of each route and organisation. The other half goes to the more urgent priorities first.
func workShare(routes, organisations map[Class]float64, route, org Class, a workAllowance) float64 {
	byPriority := make(map[routing.Priority]float64)
	for class, n := range routes {
		byPriority[class.Priority] += n
	}
	known, all := total(byPriority), byPriority[route.Priority]
	if all <= 0 || routes[route] <= 0 {
		// Its route is not among the largest, or not known yet.
		return 1
	}
	floor := commonShare * min(a.allowed/a.arrivals, 1)
	rest := 1 - floor
	left := a.allowed*min(known/a.arrivals, 1) - floor*known
	for _, urgent := range slices.Sorted(maps.Keys(byPriority)) {
		if urgent == route.Priority {
			break
		}
		left -= min(left, rest*byPriority[urgent])
	}
	left /= rest
	if left >= all {
		return 1
	}
	ordered := flowShare(workClassShare, routes, organisations, route, org, all, left)
	// The size decides less the more of its flow is admitted, and nothing if all of it is.
	return floor + rest*(1-math.Pow(1-ordered, a.size))
}

// workClassShare divides the work of a priority max-min fairly among its classes, and returns the share of one. Those that are not known form one class: each
// is small, but together they are not.
func workClassShare(classes map[Class]float64, of Class, all, allowed float64) float64 {
	demands := make(map[Class]float64)
	for class, n := range classes {
		if class.Priority == of.Priority && n > 0 {
			demands[class] = n
		}
	}
	known := total(demands)
	scale := min(all/known, 1)
	_, isKnown := demands[of]
	others := Class{Priority: of.Priority}
	if all > known {
		demands[others] += all - known
	}
	if !isKnown {
		of = others
	}
	each := make([]demand, 0, len(demands))
	for _, n := range demands {
		each = append(each, demand{n, 1})
	}
	level := fairLevel(each, allowed/scale)
	return min(level/max(demands[of], 1e-9), 1)
}
