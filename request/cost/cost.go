package cost

import (
	"maps"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// minSamples is the number of samples from which what a route or a service has shown is relied on.
	minSamples = 8
	// lowProbability is the fraction of answers that stay below a low quantile.
	lowProbability = 0.1
	// rateProbability is the quantile of the measured prefill rates that counts as the rate: queueing that no report shows only lowers them.
	rateProbability = 0.75
	// largestProbability is the fraction of requests that are smaller than the largest usual one.
	largestProbability = 0.95
	// minReadTokens is the least number of tokens read from which an answer is a sample of the prefill rate, and minEvents the least number of events from
	// which it is one of their pace.
	minReadTokens = 1000
	minEvents     = 4
	// meanDecay is the factor by which each sample reduces the weight of earlier ones in a mean.
	meanDecay = 0.98
	// priorSamples is the number of samples of an engine at which its own deviation counts half, and maxDeviation bounds the deviation.
	priorSamples = 8
	maxDeviation = 2
	// routeTTL is how long a route is remembered without answers, and maxRoutes the number of routes that are.
	routeTTL  = 10 * time.Minute
	maxRoutes = 4096
)

type (
	// Route is a route to a service.
	Route struct {
		Service ident.ServiceID
		Name    string
	}

	// Request is what is known of a request before it is sent. Counts that the caller does not state are 0.
	Request struct {
		Route Route
		// Prompt and Output are the prompt tokens and the most output tokens that the caller states, and Hint the output tokens that it expects.
		Prompt, Output, Hint int
		// Parts is the number of tokens of the prompt's parts, and Cached that of the tokens that the engine holds.
		Parts, Cached int
	}

	// Answer is a whole answer of an engine to a request.
	Answer struct {
		Request Request
		Engine  engines.Key
		// First and Last are the times from sending to the first event and to the end, and Events the number of events, 0 for a plain service.
		First, Last time.Duration
		Events      int
		// Waited says that requests waited at the engine, so that its times are no measure of speed.
		Waited bool
		// Slowness is the engine's own report, or 0.
		Slowness float64
	}

	// Estimator learns from answers. It is safe for concurrent use.
	Estimator struct {
		mu       sync.Mutex
		routes   map[Route]*route
		services map[ident.ServiceID]*service
	}

	route struct {
		// events is the number of events of answers, and plain the seconds of those of plain services.
		events, plain spread
		// memory is the mean number of tokens of requests, for those that name none.
		memory weightedMean
		usedAt time.Time
	}

	service struct {
		// tokensPerMs is the prefill rate, eventTime the milliseconds between events, and tokensPerEvent the tokens that an event holds: the least of
		// the stated output over events, as an answer may end before it.
		tokensPerMs, tokensPerEvent quantile
		eventTime                   spread
		// memory is the mean over the requests that run at a time.
		memory weightedMean
		// largest is a high quantile of the tokens of requests.
		largest quantile
		engines map[engines.Key]*deviation
		usedAt  time.Time
	}

	// deviation is the duration of an engine's work relative to that of its service.
	deviation struct {
		mean    weightedMean
		samples int
	}
)

// New returns an estimator that has seen no answer.
func New() *Estimator {
	return &Estimator{routes: make(map[Route]*route), services: make(map[ident.ServiceID]*service)}
}

// Estimate returns what a request needs.
func (e *Estimator) Estimate(r Request) Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	shown, ok := e.routes[r.Route]
	if !ok {
		shown = &route{}
	}
	tokens := e.tokensPerEvent(r.Route.Service)
	prompt := max(r.Prompt, r.Parts)
	w := Work{Read: max(prompt-r.Cached, 0), Write: float64(r.Output)}
	if r.Hint > 0 {
		w.Write = float64(r.Hint)
	}
	most := float64(r.Output)
	if shown.events.known() {
		low, high := shown.events.low.value*tokens, shown.events.high.value*tokens
		w.Write, w.LeastWrite = shown.events.median.value*tokens, low
		if r.Hint > 0 {
			w.Write = min(max(float64(r.Hint), low), high)
		}
		most = max(most, high)
	}
	if r.Output > 0 {
		w.Write, w.LeastWrite = min(w.Write, float64(r.Output)), min(w.LeastWrite, float64(r.Output))
	}
	if shown.plain.known() {
		w.Plain, w.LeastPlain = seconds(shown.plain.median.value), seconds(shown.plain.low.value)
	}
	switch {
	case prompt > 0:
		w.Memory = prompt + int(most)
	case shown.memory.weight > 0:
		w.Memory = int(max(shown.memory.value(), most))
	default:
		w.Memory = int(most)
	}
	return w
}

// Observe learns from a whole answer.
func (e *Estimator) Observe(a Answer, now time.Time) {
	memory := float64(e.Estimate(a.Request).Memory)
	e.mu.Lock()
	defer e.mu.Unlock()
	shown, ok := e.routes[a.Request.Route]
	if !ok {
		if len(e.routes) >= maxRoutes {
			return
		}
		shown = &route{}
		e.routes[a.Request.Route] = shown
	}
	s := e.service(a.Request.Route.Service)
	shown.usedAt, s.usedAt = now, now
	slowness := max(a.Slowness, 1)
	if memory > 0 {
		s.memory.add(memory, a.Last.Seconds())
		s.largest.add(memory, largestProbability)
		if a.Request.Prompt+a.Request.Parts > 0 {
			shown.memory.add(memory, 1)
		}
	}
	if a.Events == 0 {
		if !a.Waited {
			shown.plain.add(a.Last.Seconds() / slowness)
		}
		return
	}
	shown.events.add(float64(a.Events))
	if a.Request.Output > 0 {
		s.tokensPerEvent.add(float64(a.Request.Output)/float64(a.Events), lowProbability)
	}
	if a.Waited {
		return
	}
	read := max(a.Request.Prompt, a.Request.Parts) - a.Request.Cached
	if ms := a.First.Seconds() * 1000; read >= minReadTokens && ms > 0 {
		s.tokensPerMs.add(float64(read)/ms*slowness, rateProbability)
	}
	if pause := (a.Last - a.First).Seconds() * 1000 / max(float64(a.Events-1), 1); a.Events >= minEvents && pause > 0 {
		s.eventTime.add(pause / slowness)
		s.deviation(a.Engine).add(pause / slowness / s.eventTime.median.value)
	}
}

// SpeedOf returns the speed of an engine at its usual slowness. A key without samples has the speed of its service.
func (e *Estimator) SpeedOf(id ident.ServiceID, engine engines.Key) Speed {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[id]
	if !ok {
		return Speed{}
	}
	factor := 1.0
	if d, ok := s.engines[engine]; ok {
		factor = d.factor()
	}
	var speed Speed
	if s.tokensPerMs.samples >= minSamples {
		speed.TokensPerMs = s.tokensPerMs.value / factor
	}
	if s.eventTime.known() {
		perToken := factor / 1000 / e.tokensPerEvent(id)
		speed.TokenTime, speed.LeastTokenTime = seconds(s.eventTime.median.value*perToken), seconds(s.eventTime.low.value*perToken)
	}
	return speed
}

// Memory returns the mean number of tokens that the requests at a service's engines hold, and that of the largest usual request, or 0 for what is not known.
func (e *Estimator) Memory(id ident.ServiceID) (mean float64, largest int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.services[id]; ok {
		return s.memory.value(), int(s.largest.value)
	}
	return 0, 0
}

// Prune forgets routes and services without recent answers, and engines that are not known.
func (e *Estimator) Prune(known func(engines.Key) bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.routes, func(_ Route, r *route) bool { return now.Sub(r.usedAt) > routeTTL })
	maps.DeleteFunc(e.services, func(_ ident.ServiceID, s *service) bool { return now.Sub(s.usedAt) > routeTTL })
	for _, s := range e.services {
		maps.DeleteFunc(s.engines, func(k engines.Key, _ *deviation) bool { return !known(k) })
	}
}

func (e *Estimator) service(id ident.ServiceID) *service {
	s, ok := e.services[id]
	if !ok {
		s = &service{engines: make(map[engines.Key]*deviation)}
		e.services[id] = s
	}
	return s
}

// tokensPerEvent returns the tokens that an event of a service holds, at least 1.
func (e *Estimator) tokensPerEvent(id ident.ServiceID) float64 {
	if s, ok := e.services[id]; ok {
		return max(s.tokensPerEvent.value, 1)
	}
	return 1
}

func (s *service) deviation(k engines.Key) *deviation {
	d, ok := s.engines[k]
	if !ok {
		d = &deviation{}
		s.engines[k] = d
	}
	return d
}

func (d *deviation) add(ratio float64) {
	d.samples++
	d.mean.add(min(max(ratio, 1.0/maxDeviation), maxDeviation), 1)
}

// factor returns the deviation, which counts the more the more samples there are.
func (d *deviation) factor() float64 {
	return 1 + (d.mean.value()-1)*float64(d.samples)/float64(d.samples+priorSamples)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
