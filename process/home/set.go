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
	// FaultPoint is called when a request reaches a step, so that tests can inject a fault there.
	FaultPoint func(step string, id ident.Request)

	// Dependencies are the parts of the router that the homes use.
	Dependencies struct {
		Self ident.Router
		// Incarnation and StartedAt are those of the router's process.
		Incarnation ident.Incarnation
		StartedAt   time.Time
		Policy      settings.Routing
		Fleet       *fleet.Fleet
		ModelLoads  *modelload.Table
		Suspects    *suspects.Table
		Metrics     *metrics.Metrics
		FaultPoint  FaultPoint
	}

	// Set holds the engines whose home this router is. It also keeps those that have moved to another home until their requests have ended.
	// It is safe for concurrent use.
	Set struct {
		self        ident.Router
		incarnation ident.Incarnation
		startedAt   time.Time
		policy      settings.Routing
		fleet       *fleet.Fleet
		modelLoads  *modelload.Table
		suspects    *suspects.Table
		metrics     *metrics.Metrics
		runs        *run.Table
		// completedBodies holds the fingerprints of recent requests with a complete answer.
		completedBodies *lru.Cache[uint64, struct{}]
		faultPoint      FaultPoint
		transport       http.RoundTripper
		ctx             context.Context
		tasks           sync.WaitGroup

		mu      sync.Mutex
		engines map[ident.Engine]*Engine
		// index is read without holding mu, since engines read the load of their model while they hold their own lock. Update takes the
		// locks in the opposite order.
		index atomic.Pointer[modelIndex]

		historyMu sync.Mutex
		histories map[ident.Model]*modelload.History
	}

	// modelIndex holds the engines of each model.
	modelIndex map[ident.Model][]*Engine
)

// NewSet returns an empty set. Its runs and polls end with ctx.
func NewSet(ctx context.Context, deps Dependencies) *Set {
	s := &Set{
		self: deps.Self, incarnation: deps.Incarnation, startedAt: deps.StartedAt, policy: deps.Policy, fleet: deps.Fleet, modelLoads: deps.ModelLoads, suspects: deps.Suspects, metrics: deps.Metrics,
		runs: run.NewTable(), completedBodies: newCache[uint64, struct{}](maxCompletedBodies), faultPoint: deps.FaultPoint, transport: engine.NewTransport(), ctx: ctx,
		engines: make(map[ident.Engine]*Engine), histories: make(map[ident.Model]*modelload.History),
	}
	s.index.Store(&modelIndex{})
	return s
}

// Submit starts the request at its engine, or attaches to its run if this home has one. The returned run has a reader attached.
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
		refusal.Loads = append(slices.Clone(submit.Loads), s.LocalLoad(submit.Model, now))
		return nil, refusal
	}
	return r, nil
}

// RecordLoads records the loads of other routers that a request or answer carried.
func (s *Set) RecordLoads(loads []wire.RouterLoad, now time.Time) {
	for _, l := range loads {
		if l.Router != s.self {
			s.modelLoads.Update(l.Router, []wire.ModelLoad{l.Load}, time.Time{}, now)
		}
	}
}

// LocalLoad returns the load of a model at this router, in the form that requests and answers carry.
func (s *Set) LocalLoad(m ident.Model, now time.Time) wire.RouterLoad {
	return wire.RouterLoad{Router: s.self, Load: s.localLoad(m, now)}
}

// RecordOverflow records the engine that accepted a chat after an engine of this home refused it.
func (s *Set) RecordOverflow(from, to ident.Engine, chat ident.Chat) {
	s.mu.Lock()
	e, ok := s.engines[from]
	s.mu.Unlock()
	if ok {
		e.overflow.put(chat, to)
	}
}

// Update applies a new view. It polls engines that are new to this home, and refuses the queued requests of engines with another home.
func (s *Set) Update(v *fleet.View, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range v.Engines() {
		id := ident.Engine(i.ID)
		if i.Role != fleet.RoleEngine || v.HomeOf(id) != s.self {
			continue
		}
		if e, ok := s.engines[id]; ok {
			e.update(i, now)
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

// Poll requests a report from every engine of this home; it does not wait for the reports.
func (s *Set) Poll() {
	for _, e := range s.allEngines() {
		s.tasks.Go(func() { e.poll(s.ctx) })
	}
}

// Tick dispatches the queue of every engine, which expires late requests, and removes old runs.
func (s *Set) Tick(now time.Time) {
	for _, e := range s.allEngines() {
		e.mu.Lock()
		e.dispatch(now)
		e.mu.Unlock()
	}
	s.runs.Sweep(now)
}

// LocalLoads returns the load of each model at this router.
func (s *Set) LocalLoads(now time.Time) []wire.ModelLoad {
	var list []wire.ModelLoad
	for m := range *s.index.Load() {
		list = append(list, s.localLoad(m, now))
	}
	return list
}

// Status returns the status of every engine of this home.
func (s *Set) Status(now time.Time) []wire.EngineStatus {
	var list []wire.EngineStatus
	for _, e := range s.allEngines() {
		list = append(list, e.status(s.self, now))
	}
	return list
}

// PollBytes returns the number of bytes that Poll sends.
func (s *Set) PollBytes() int {
	sum := 0
	for _, e := range s.allEngines() {
		sum += e.client.LoadRequestBytes()
	}
	return sum
}

// FaultPoint reports that a request has reached a step.
func (s *Set) FaultPoint(step string, id ident.Request) { s.faultPoint(step, id) }

// Active returns the number of runs that have not ended.
func (s *Set) Active() int { return s.runs.Active() }

// Wait blocks until all runs and polls of the homes have ended.
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

// localLoad returns the total load and the median token gap of this home's engines of a model.
func (s *Set) localLoad(m ident.Model, now time.Time) wire.ModelLoad {
	load := wire.ModelLoad{Model: m, Incarnation: s.incarnation, SentMicros: now.Sub(s.startedAt).Microseconds()}
	lowest, age := s.history(m, now).Lowest(now)
	load.Lowest, load.LowestAgeMicros = lowest, age.Microseconds()
	var gaps []int64
	for _, e := range (*s.index.Load())[m] {
		load.Running += int(e.running.Load())
		load.Waiting += int(e.waiting.Load())
		load.Engines++
		if gap := e.gapNanos.Load(); gap > 0 {
			gaps = append(gaps, gap/int64(time.Microsecond))
		}
	}
	if len(gaps) > 0 {
		slices.Sort(gaps)
		load.TokenGapMicros = gaps[(len(gaps)-1)/2]
	}
	return load
}

// fleetLoad returns the load of a model in the whole fleet.
func (s *Set) fleetLoad(m ident.Model, now time.Time) modelload.Total {
	v := s.fleet.View()
	listed := modelload.Listed{Routers: len(v.Routers()), Engines: len(v.EnginesOfModel(m))}
	return s.modelLoads.Total(s.self, s.localLoad(m, now), listed, now)
}

// history returns the running requests of a model at this home's engines.
func (s *Set) history(m ident.Model, now time.Time) *modelload.History {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	h, ok := s.histories[m]
	if !ok {
		h = modelload.NewHistory(now)
		s.histories[m] = h
	}
	return h
}

func (e *Engine) models() []ident.Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.Models
}
