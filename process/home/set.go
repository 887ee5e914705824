package home

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/modelload"
	"github.com/vanillaroute/vanillaroute/wire"
)

const maxCompletedBodies = 16_384

type (
	// FaultPoint is called where a request passes a step, so that tests can cause a fault there.
	FaultPoint func(step string, id ident.Request)

	// Dependencies are what the homes of a router share with the rest of it.
	Dependencies struct {
		Self       ident.Router
		Policy     settings.Routing
		Fleet      *fleet.Fleet
		Sums       *modelload.Table
		Suspects   *suspects.Table
		Metrics    *metrics.Metrics
		FaultPoint FaultPoint
	}

	// Set holds the engines whose home this router is, and those that it was the home of until their work ends.
	Set struct {
		self       ident.Router
		policy     settings.Routing
		fleet      *fleet.Fleet
		modelLoads *modelload.Table
		suspects   *suspects.Table
		metrics    *metrics.Metrics
		runs       *run.Table
		// completedBodies remembers the bodies that were answered whole lately.
		completedBodies *lru.Cache[uint64, struct{}]
		faultPoint      FaultPoint
		transport       http.RoundTripper
		ctx             context.Context
		tasks           sync.WaitGroup

		mu      sync.Mutex
		engines map[ident.Engine]*Engine
		// index is read without a lock, since an engine asks for its model's load under its own lock.
		index atomic.Pointer[modelIndex]
	}

	modelIndex map[ident.Model][]*Engine
)

// NewSet returns an empty set whose work ends with ctx.
func NewSet(ctx context.Context, p Dependencies) *Set {
	s := &Set{
		self: p.Self, policy: p.Policy, fleet: p.Fleet, modelLoads: p.Sums, suspects: p.Suspects, metrics: p.Metrics,
		runs: run.NewTable(), completedBodies: newCache[uint64, struct{}](maxCompletedBodies), faultPoint: p.FaultPoint, transport: engine.NewTransport(), ctx: ctx,
		engines: make(map[ident.Engine]*Engine),
	}
	s.index.Store(&modelIndex{})
	return s
}

// Submit takes a request for an engine, or attaches to the run that this home has of it.
func (s *Set) Submit(submit wire.Submit, now time.Time) (*run.Run, *wire.Refusal) {
	if r, ok := s.runs.Find(submit.Request, submit.FirstOffset); ok && r.Submit.Organisation == submit.Organisation {
		r.Attach()
		return r, nil
	}
	e, refusal := s.homeEngine(submit.Engine)
	if refusal != nil {
		return nil, refusal
	}
	s.RecordLoads(submit.Loads, now)
	fingerprint := suspects.Fingerprint(submit.Organisation, submit.Body)
	for _, c := range submit.Crashed {
		s.suspects.RecordCrash(fingerprint, c, now)
	}
	r := run.New(s.ctx, submit, fingerprint, now)
	r.Attach()
	if refusal := e.admit(r, now); refusal != nil {
		r.Cancel()
		refusal.Load = append(slices.Clone(submit.Loads), s.LocalLoad(submit.Model))
		return nil, refusal
	}
	return r, nil
}

// RecordLoads takes the loads of other routers that came with a request or its answer.
func (s *Set) RecordLoads(loads []wire.RouterLoad, now time.Time) {
	for _, l := range loads {
		if l.Router != s.self {
			s.modelLoads.Update(l.Router, []wire.ModelLoad{l.Load}, now)
		}
	}
}

// LocalLoad returns this router's own load of a model, as it travels with requests and answers.
func (s *Set) LocalLoad(m ident.Model) wire.RouterLoad {
	return wire.RouterLoad{Router: s.self, Load: s.localLoad(m)}
}

// RecordOverflow remembers where a chat went that an engine of this home refused.
func (s *Set) RecordOverflow(from, to ident.Engine, chat ident.Chat) {
	s.mu.Lock()
	e, ok := s.engines[from]
	s.mu.Unlock()
	if ok {
		e.overflow.put(chat, to)
	}
}

// Update follows a new view: new homes start with the engine's report, lost ones give up what waits.
func (s *Set) Update(v *fleet.View, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range v.Engines() {
		id := ident.Engine(i.ID)
		if i.Role != fleet.RoleEngine || v.HomeOf(id) != s.self {
			continue
		}
		if e, ok := s.engines[id]; ok {
			e.update(i)
			continue
		}
		e := newEngine(s, i)
		s.engines[id] = e
		s.tasks.Go(func() { e.poll(s.ctx) })
	}
	for id, e := range s.engines {
		if v.HomeOf(id) == s.self {
			continue
		}
		e.refuseQueued(now)
		if e.idle() {
			delete(s.engines, id)
		}
	}
	s.reindex()
}

// Poll asks every engine of this home for its report.
func (s *Set) Poll() {
	for _, e := range s.allEngines() {
		s.tasks.Go(func() { e.poll(s.ctx) })
	}
}

// Tick lets waiting requests run out of time and forgets old runs.
func (s *Set) Tick(now time.Time) {
	for _, e := range s.allEngines() {
		e.mu.Lock()
		e.dispatch(now)
		e.mu.Unlock()
	}
	s.runs.Sweep(now)
}

// LocalLoads returns this router's own load of each model.
func (s *Set) LocalLoads() []wire.ModelLoad {
	var list []wire.ModelLoad
	for m := range *s.index.Load() {
		list = append(list, s.localLoad(m))
	}
	return list
}

// Status returns what this home knows of its engines.
func (s *Set) Status(now time.Time) []wire.EngineStatus {
	var list []wire.EngineStatus
	for _, e := range s.allEngines() {
		list = append(list, e.status(s.self, now))
	}
	return list
}

// PollBytes returns how many bytes Poll sends.
func (s *Set) PollBytes() int {
	sum := 0
	for _, e := range s.allEngines() {
		sum += e.client.LoadRequestBytes()
	}
	return sum
}

// FaultPoint marks that a request passes a step.
func (s *Set) FaultPoint(step string, id ident.Request) { s.faultPoint(step, id) }

// Active returns how many requests this home still holds.
func (s *Set) Active() int { return s.runs.Active() }

// Wait returns once every task of the homes has ended.
func (s *Set) Wait() { s.tasks.Wait() }

func (s *Set) homeEngine(id ident.Engine) (*Engine, *wire.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.engines[id]
	if !ok || s.fleet.View().HomeOf(id) != s.self {
		return nil, wire.Refuse(http.StatusServiceUnavailable, wire.CodeNotHome, "engine %s has another home", id)
	}
	return e, nil
}

func (s *Set) allEngines() []*Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*Engine, 0, len(s.engines))
	for _, e := range s.engines {
		list = append(list, e)
	}
	return list
}

func (s *Set) reindex() {
	index := make(modelIndex)
	for _, e := range s.engines {
		for _, m := range e.models() {
			index[m] = append(index[m], e)
		}
	}
	s.index.Store(&index)
}

// localLoad adds up the load of this home's engines of a model.
func (s *Set) localLoad(m ident.Model) wire.ModelLoad {
	sum := wire.ModelLoad{Model: m}
	var gaps []int64
	for _, e := range (*s.index.Load())[m] {
		sum.Running += int(e.running.Load())
		sum.Waiting += int(e.waiting.Load())
		sum.Engines++
		if gap := e.gapNanos.Load(); gap > 0 {
			gaps = append(gaps, gap/int64(time.Microsecond))
		}
	}
	if len(gaps) > 0 {
		slices.Sort(gaps)
		sum.TokenGapMicros = gaps[(len(gaps)-1)/2]
	}
	return sum
}

// fleetLoad returns the load of a model over the fleet.
func (s *Set) fleetLoad(m ident.Model, now time.Time) modelload.Total {
	return s.modelLoads.Total(s.self, s.localLoad(m), now)
}

func (e *Engine) models() []ident.Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.Models
}
