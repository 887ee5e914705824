package admission

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/decay"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

const (
	// targetShare is the fraction of a route's target time that answers should take on average, so that most of them take less than the target.
	targetShare = 0.7
	// riseGain and fallGain are how far the admitted rate differs from the rate of answers, relative to how far their time differs from the wanted
	// one, up to maxFall. The counts are about a second old: a higher fallGain makes queues oscillate, a lower riseGain leaves engines idle.
	riseGain, fallGain = 0.7, 0.3
	maxFall            = 0.25
	// minHeard is the number of recent messages of other instances without which no request is refused.
	minHeard = 2
	// maxDemands, maxRoutes and maxOrganisations bound the services that are shared with other instances, and the routes and organisations of each; those
	// with the most requests are.
	maxDemands       = 4
	maxRoutes        = 4
	maxOrganisations = 8
	// overloadSpan is how long routes and organisations are shared with other instances after a service had more requests than it may get.
	overloadSpan = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// forgetCount is the decayed count below which a route or an organisation is forgotten.
	forgetCount = 0.05
)

// Bases of decisions.
const (
	// Unknown means that no answer has been counted.
	Unknown Basis = iota
	// Unheard means that too few instances have sent their counts lately.
	Unheard
	// WithoutTarget means that the route has no target time, or the service no known slots.
	WithoutTarget
	// Idle means that the engines have fewer requests than slots.
	Idle
	// Enough means that the engines can answer all requests.
	Enough
	// Limited means that only a part of the requests is admitted.
	Limited
)

type (
	// Basis says what a decision of Admit is based on.
	Basis uint8

	// ClassID identifies a route or an organisation. Two of them may have the same ClassID; then they share what one would get.
	ClassID uint16

	// Class is the requests of a priority on a route or of an organisation.
	Class struct {
		ID       ClassID
		Priority routing.Priority
	}

	// Request describes a request to a plain service.
	Request struct {
		Service             ident.Service
		Route, Organisation Class
		// Target is the time in which the answer should be complete, or 0 if there is none.
		Target time.Duration
		// Slots is the number of requests that the service's engines run at the same time.
		Slots int
		// Instances is the number of instances of the fleet, including this one.
		Instances int
	}

	// Decision says whether a request is offered to engines.
	Decision struct {
		Admitted bool
		// RetryAfter is the time until the requests that are refused now could be answered if no others arrived. It is 0 for admitted requests.
		RetryAfter time.Duration
		// Probability is the fraction of the requests of the same route and organisation that are admitted.
		Probability float64
		// ExpectedTime is how long recent answers took, on average.
		ExpectedTime time.Duration
		// Basis says why Admit admits all requests, or that it does not, and Arrivals, Answers and Running are the mean counts of an instance and the requests
		// at the engines that this follows from. They are only logged.
		Basis                      Basis
		Arrivals, Answers, Running float64
		// Reason says why AdmitByWork refuses a request, and Backlog is the time in which engines do what goes first.
		Reason  Reason
		Backlog time.Duration
	}

	// Demand is what an instance sees of a service on average, as one instance estimates it. The counts decay as in package decay.
	Demand struct {
		Service           ident.ServiceID
		Arrivals, Answers float64
		// AnswerTime is the sum of the times that the answers took.
		AnswerTime time.Duration
		// Routes and Organisations hold the arrivals by class. They are empty if the service can answer all requests.
		Routes, Organisations []ClassDemand
	}

	// ClassDemand is the arrivals of a class.
	ClassDemand struct {
		Class    Class
		Arrivals float64
	}

	// Controller decides for one instance. It is safe for concurrent use.
	Controller struct {
		mu       sync.Mutex
		services map[ident.ServiceID]*service
		// heard counts the messages of other instances.
		heard decay.Count
		// peers holds when each other instance last sent counts of work.
		peers map[string]time.Time
	}

	service struct {
		// own counts what this instance sees. Each message of another instance replaces it by the mean of both, so that it approaches the mean of all
		// instances, while the requests that have not been averaged yet decay.
		own counts
		// fleet is the mean of the counts in recent messages. Decisions are based on it, because an instance's own requests have too high a weight in own.
		fleet           counts
		overloadedUntil time.Time
		// ownWork and fleetWork are the same in engine time, in units of WorkUnit.
		ownWork, fleetWork  counts
		workOverloadedUntil time.Time
		// sizes holds the mean units of the requests on each route.
		sizes map[Class]float64
	}

	counts struct {
		arrivals, answers, answerSeconds decay.Count
		routes, organisations            classes
	}

	// classes counts requests by class.
	classes map[Class]*decay.Count
)

// String returns the name of the basis in logs.
func (b Basis) String() string {
	return [...]string{"unknown", "unheard", "withoutTarget", "idle", "enough", "limited"}[b]
}

// New returns a controller that has seen no request.
func New() *Controller {
	return &Controller{services: make(map[ident.ServiceID]*service), peers: make(map[string]time.Time)}
}

// NewClass returns the class of the requests of a priority on a route, or of an organisation, with that name.
func NewClass[T ~string](name T, p routing.Priority) Class {
	return Class{ID: ClassID(xxhash.Sum64String(string(name))), Priority: p}
}

// Admit counts a request and decides whether it is offered to engines. While the service's engines have more requests than slots, all instances
// together admit about as many as were answered lately, and fewer if the answers took too long.
func (c *Controller) Admit(r Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.Service.ID()
	s := c.service(id)
	s.own.arrivals.Add(1, now)
	s.own.routes.count(r.Route).Add(1, now)
	s.own.organisations.count(r.Organisation).Add(1, now)
	fleet := &s.fleet
	if r.Instances <= 1 {
		fleet = &s.own
	}
	arrivals, answers, seconds := fleet.arrivals.At(now), fleet.answers.At(now), fleet.answerSeconds.At(now)
	d := Decision{Admitted: true, Probability: 1, Arrivals: arrivals, Answers: answers}
	if answers <= 0 {
		return d
	}
	d.ExpectedTime = time.Duration(seconds / answers * float64(time.Second))
	d.Running = seconds / decay.TimeConstant.Seconds() * float64(r.Instances)
	switch {
	case c.heard.At(now) < min(minHeard, float64(r.Instances-1)):
		d.Basis = Unheard
		return d
	case r.Target <= 0 || r.Slots <= 0:
		d.Basis = WithoutTarget
		return d
	case d.Running <= float64(r.Slots):
		d.Basis = Idle
		return d
	}
	wanted := targetShare * r.Target.Seconds()
	change := (wanted - d.ExpectedTime.Seconds()) / wanted
	allowed := answers * (1 + max(riseGain*max(change, 0)+fallGain*min(change, 0), -maxFall))
	if allowed >= arrivals {
		d.Basis = Enough
		return d
	}
	d.Basis = Limited
	s.overloadedUntil = now.Add(overloadSpan)
	d.Probability = admittedShare(fleet.routes.at(now), fleet.organisations.at(now), r.Route, r.Organisation, arrivals, allowed)
	if rand.Float64() < d.Probability {
		return d
	}
	d.Admitted = false
	backlog := (arrivals - allowed) / answers * decay.TimeConstant.Seconds()
	d.RetryAfter = min(max(time.Duration(backlog*float64(time.Second)), minRetryAfter), maxRetryAfter)
	return d
}

// Answered counts an answer of a service's engine and the time that it took.
func (c *Controller) Answered(name ident.Service, took time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name.ID())
	s.own.answers.Add(1, now)
	s.own.answerSeconds.Add(took.Seconds(), now)
}

// Demands returns what this instance shares with others, with routes and organisations only for the overloaded services.
func (c *Controller) Demands(now time.Time) []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Demand
	for id, s := range c.services {
		if s.own.arrivals.At(now) >= forgetCount {
			list = append(list, s.own.demand(id, now.Before(s.overloadedUntil), now))
		}
	}
	return largest(list, maxDemands, func(d Demand) float64 { return d.Arrivals })
}

// Merge averages this instance's counts with those that another one has sent.
func (c *Controller) Merge(list []Demand, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard.Add(1, now)
	c.average(list, now, func(s *service) []*counts { return []*counts{&s.own, &s.fleet} })
}

// average averages counts of each service with those that another instance has sent. The caller holds mu.
func (c *Controller) average(list []Demand, now time.Time, of func(*service) []*counts) {
	sent := make(map[ident.ServiceID]Demand, len(list))
	for _, d := range list {
		sent[d.Service] = d
		c.service(d.Service)
	}
	for id, s := range c.services {
		d, ok := sent[id]
		if !ok && len(list) >= maxDemands {
			// It may have been left out.
			continue
		}
		for _, each := range of(s) {
			each.average(d, now)
		}
	}
}

// Prune forgets services, routes and organisations without recent requests.
func (c *Controller) Prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prunePeers(now)
	for id, s := range c.services {
		for _, list := range []classes{
			s.own.routes, s.own.organisations, s.fleet.routes, s.fleet.organisations,
			s.ownWork.routes, s.ownWork.organisations, s.fleetWork.routes, s.fleetWork.organisations,
		} {
			maps.DeleteFunc(list, func(_ Class, n *decay.Count) bool { return n.At(now) < forgetCount })
		}
		maps.DeleteFunc(s.sizes, func(route Class, _ float64) bool { return s.ownWork.routes[route] == nil })
		if s.own.arrivals.At(now)+s.own.answers.At(now)+s.fleet.arrivals.At(now) < forgetCount {
			delete(c.services, id)
		}
	}
}

func (c *Controller) service(id ident.ServiceID) *service {
	s, ok := c.services[id]
	if !ok {
		s = &service{own: newCounts(), fleet: newCounts(), ownWork: newCounts(), fleetWork: newCounts(), sizes: make(map[Class]float64)}
		c.services[id] = s
	}
	return s
}

func newCounts() counts { return counts{routes: make(classes), organisations: make(classes)} }

// demand returns the counts as they are shared, with routes and organisations if these are wanted.
func (c *counts) demand(id ident.ServiceID, withClasses bool, now time.Time) Demand {
	d := Demand{
		Service: id, Arrivals: c.arrivals.At(now), Answers: c.answers.At(now), AnswerTime: time.Duration(c.answerSeconds.At(now) * float64(time.Second)),
	}
	if withClasses {
		d.Routes, d.Organisations = c.routes.largest(maxRoutes, now), c.organisations.largest(maxOrganisations, now)
	}
	return d
}

// average averages the counts with those that another instance has sent.
func (c *counts) average(d Demand, now time.Time) {
	before := c.arrivals.At(now)
	c.arrivals.Average(d.Arrivals, now)
	if len(d.Routes) == 0 && before > 0 {
		// The message says nothing of classes, for want of room or need, so they keep their shares. Counts that only decay would soon take nearly all
		// requests for those of small classes.
		c.routes.scale(c.arrivals.At(now) / before)
		c.organisations.scale(c.arrivals.At(now) / before)
	}
	c.answers.Average(d.Answers, now)
	c.answerSeconds.Average(d.AnswerTime.Seconds(), now)
	c.routes.average(d.Routes, maxRoutes, now)
	c.organisations.average(d.Organisations, maxOrganisations, now)
}

func (c classes) count(of Class) *decay.Count {
	n, ok := c[of]
	if !ok {
		n = &decay.Count{}
		c[of] = n
	}
	return n
}

// scale multiplies all counts by a factor.
func (c classes) scale(factor float64) {
	for _, n := range c {
		n.Scale(factor)
	}
}

func (c classes) at(now time.Time) map[Class]float64 {
	counts := make(map[Class]float64, len(c))
	for class, n := range c {
		counts[class] = n.At(now)
	}
	return counts
}

// largest returns the count classes with the most requests.
func (c classes) largest(count int, now time.Time) []ClassDemand {
	list := make([]ClassDemand, 0, len(c))
	for class, n := range c {
		list = append(list, ClassDemand{class, n.At(now)})
	}
	return largest(list, count, func(d ClassDemand) float64 { return d.Arrivals })
}

// average averages the counts with those that another instance has sent, at most a number of classes, or none if the service is not overloaded there. A class
// that has been left out has at most the least count that was sent.
func (c classes) average(list []ClassDemand, most int, now time.Time) {
	if len(list) == 0 {
		return
	}
	sent := make(map[Class]float64, len(list))
	least := list[0].Arrivals
	for _, d := range list {
		sent[d.Class] = d.Arrivals
		least = min(least, d.Arrivals)
		c.count(d.Class)
	}
	for class, n := range c {
		arrivals, ok := sent[class]
		if !ok && len(list) >= most {
			arrivals = min(n.At(now), least)
		}
		n.Average(arrivals, now)
	}
}

// largest returns the count elements with the highest values.
func largest[T any](list []T, count int, value func(T) float64) []T {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(value(b), value(a)) })
	return list[:min(count, len(list))]
}
