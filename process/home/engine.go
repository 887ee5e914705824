package home

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/queue"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/modelload"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// gapSmoothing is the weight of one gap between tokens in the smoothed one.
	gapSmoothing = 0.1
	// slowTolerance is the multiple of the median token gap up to which an engine has the full weight.
	slowTolerance = 1.5
	minWeight     = 0.1
	// defaultSlots is the number of slots of an engine if neither its report nor the list of instances states it.
	defaultSlots    = 8
	overflowEntries = 4096
	chatEntries     = 4096
	// slowWeightThreshold is the weight below which an engine only gets probe requests.
	slowWeightThreshold = 0.5
	// probePeriod is the minimum time between two probe requests.
	probePeriod = 2 * time.Second
)

type (
	// Engine is the state of one engine at its home router.
	Engine struct {
		id     ident.Engine
		set    *Set
		client *engine.Client

		mu       sync.Mutex
		instance fleet.Instance
		queue    *queue.Queue[*run.Run]
		active   map[*run.Run]*attempt
		// deferredCopies are copies of requests that may have crashed the engine. They are not started until it is known whether it
		// crashed.
		deferredCopies []queue.Item[*run.Run]
		overflow       *overflowCache
		chats          *chatCache
		// cacheWaiting are the queued requests that wait for their cached prefix for up to CacheWait.
		cacheWaiting map[*run.Run]bool
		lastProbeAt  time.Time
		lengths      *lengthEstimator
		report       engine.Report
		reported     bool
		// takeoverDone is set once a report shows no requests of an earlier home.
		takeoverDone bool
		leaving      bool

		// running, waiting and gapNanos are read by the other engines of this home without holding mu.
		running  atomic.Int64
		waiting  atomic.Int64
		gapNanos atomic.Int64
	}

	// attempt is a run that uses a slot of the engine.
	attempt struct {
		item        queue.Item[*run.Run]
		long        bool
		startedAt   time.Time
		lastEventAt time.Time
		// truncatedAt is when the stream was truncated, or zero if it was not or an event has arrived since.
		truncatedAt time.Time
		// crashRecorded reports that a crash of this engine has already been recorded for the request.
		crashRecorded bool
	}
)

func newEngine(set *Set, instance fleet.Instance) *Engine {
	return &Engine{
		id:           ident.Engine(instance.ID),
		set:          set,
		client:       engine.New(instance.Address, set.transport),
		instance:     instance,
		queue:        queue.New[*run.Run](set.policy.QueueLimit, set.policy.LongShare),
		active:       make(map[*run.Run]*attempt),
		overflow:     newOverflowCache(overflowEntries),
		chats:        newChatCache(chatEntries),
		cacheWaiting: make(map[*run.Run]bool),
		lengths:      newLengthEstimator(),
	}
}

// dispatch removes expired and cancelled requests from the queue and starts others while slots are free. The caller holds mu.
func (e *Engine) dispatch(now time.Time) {
	defer e.publishLoad(now)
	e.requeue(now)
	for _, late := range e.queue.Expire(now) {
		e.drop(late.Value, e.timeoutRefusal(late.Value), now)
	}
	for _, gone := range e.queue.Remove(func(r *run.Run) bool { return r.Context().Err() != nil }) {
		e.drop(gone.Value, e.cancelRefusal(), now)
	}
	for {
		item, ok := e.queue.Pop(e.slots(now), now)
		if !ok {
			return
		}
		if e.isCrashUnconfirmed(item.Value.Fingerprint, now) {
			e.deferredCopies = append(e.deferredCopies, item)
			continue
		}
		if refusal := e.ineligibleRefusal(item.Value, now); refusal != nil {
			e.drop(item.Value, refusal, now)
			continue
		}
		delete(e.cacheWaiting, item.Value)
		e.set.metrics.QueueTime(item.Organisation, item.Value.Submit.Class, now.Sub(item.Queued))
		e.active[item.Value] = &attempt{item: item, long: item.Long, startedAt: now, lastEventAt: now}
		e.publishLoad(now)
		e.set.tasks.Go(func() { e.run(item.Value) })
	}
}

// cancelRefusal returns the refusal of a run that was cancelled in the queue. A home that stops cancels all runs, although their callers are
// still connected.
func (e *Engine) cancelRefusal() *wire.Refusal {
	if e.set.ctx.Err() != nil {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeNotHome, "the home of engine %s has stopped", e.id)
	}
	return wire.Refuse(statusClientClosedRequest, wire.CodeBadRequest, "the caller left")
}

// requeue returns the deferred copies to the queue, since the state of the engine may be known now. They keep their deadlines.
func (e *Engine) requeue(now time.Time) {
	deferred := e.deferredCopies
	e.deferredCopies = nil
	for _, item := range deferred {
		if !e.queue.Push(item, now) {
			e.drop(item.Value, e.overloadedRefusal(0), now)
		}
	}
}

// isCrashUnconfirmed reports whether a copy of the body runs here and may have crashed the engine: its answer was truncated, or the engine
// is down.
func (e *Engine) isCrashUnconfirmed(fingerprint uint64, now time.Time) bool {
	return e.hasCopy(fingerprint, func(_ *run.Run, a *attempt) bool { return !a.truncatedAt.IsZero() || e.set.fleet.IsDown(e.id, now) })
}

// hasCopy reports whether a request with the same body runs here for which match returns true.
func (e *Engine) hasCopy(fingerprint uint64, match func(*run.Run, *attempt) bool) bool {
	for r, a := range e.active {
		if r.Fingerprint == fingerprint && match(r, a) {
			return true
		}
	}
	return false
}

func (e *Engine) drop(r *run.Run, refusal *wire.Refusal, now time.Time) {
	delete(e.cacheWaiting, r)
	r.Finish(wire.End{Refusal: refusal}, now)
	e.set.runs.Remove(r)
}

// slots returns the slots of the engine that may be used now and those in use.
func (e *Engine) slots(now time.Time) queue.Slots {
	s := queue.Slots{Total: min(e.capacity(), e.bound(now, modelload.Total.RunBound)) - e.inheritedRequests(), Running: len(e.active)}
	for _, a := range e.active {
		if a.long {
			s.RunningLong++
		}
	}
	return s
}

// inheritedRequests returns the number of requests that the engine still runs for an earlier home. Before the first report it assumes that
// they use all slots. It is 0 once a report has shown none.
func (e *Engine) inheritedRequests() int {
	if e.takeoverDone {
		return 0
	}
	if !e.reported {
		return e.capacity()
	}
	return max(0, e.report.Running+e.report.Waiting-len(e.active))
}

func (e *Engine) capacity() int {
	switch {
	case e.report.Slots > 0:
		return e.report.Slots
	case e.instance.Slots > 0:
		return e.instance.Slots
	default:
		return defaultSlots
	}
}

// publishLoad publishes the load for the other engines of this home. Requests that wait for their cached prefix are left out, because they
// may still go to another engine.
func (e *Engine) publishLoad(now time.Time) {
	if change := len(e.active) - int(e.running.Swap(int64(len(e.active)))); change != 0 {
		e.addToHistories(change, now)
	}
	e.waiting.Store(int64(e.queue.Len() - len(e.cacheWaiting)))
}

// addToHistories adds a number of running requests to the histories of the engine's models.
func (e *Engine) addToHistories(n int, now time.Time) {
	for _, m := range e.instance.Models {
		e.set.history(m, now).Add(n, now)
	}
}

// load returns the number of requests that this home has assigned to the engine.
func (e *Engine) load() int { return len(e.active) + e.queue.Len() + len(e.deferredCopies) }

// bound returns the largest bound of the given kind over the models of the engine, at least 1.
func (e *Engine) bound(now time.Time, kind func(t modelload.Total, loadBound, weight float64) int) int {
	bound := 1
	for _, m := range e.instance.Models {
		total := e.set.fleetLoad(m, now)
		bound = max(bound, kind(total, e.set.policy.LoadBound, e.weight(total.TokenGap)))
	}
	return bound
}

// weight returns the factor for the bound of the engine. It is 1 for a token gap of up to slowTolerance times the median of the model. For a
// larger gap it is the median divided by the gap, at least minWeight.
func (e *Engine) weight(median time.Duration) float64 {
	gap := time.Duration(e.gapNanos.Load())
	if median <= 0 || gap <= time.Duration(slowTolerance*float64(median)) {
		return 1
	}
	return max(minWeight, float64(median)/float64(gap))
}

// expectedWait returns the estimated time that a new request waits for a slot.
func (e *Engine) expectedWait(long bool) time.Duration {
	capacity := max(e.capacity(), 1)
	if e.queue.Len() == 0 || len(e.active) < capacity {
		return 0
	}
	tokens := e.queue.CostAhead(long)
	return time.Duration(tokens * float64(e.gapNanos.Load()) / float64(capacity))
}

// hasUnprovenCopy reports whether a copy of the body runs here and none has succeeded yet, so that the body may be one that crashes engines.
func (e *Engine) hasUnprovenCopy(fingerprint uint64) bool {
	return !e.set.completedBodies.Contains(fingerprint) && e.hasCopy(fingerprint, func(*run.Run, *attempt) bool { return true })
}

// applyReport applies a load report of the engine.
func (e *Engine) applyReport(report engine.Report, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = report
	e.reported = true
	if report.Running+report.Waiting <= len(e.active) {
		e.takeoverDone = true
	}
	e.leaving = report.Leaving
	e.dispatch(now)
}

// update replaces the engine's entry from the list of instances.
func (e *Engine) update(instance fleet.Instance, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if running := int(e.running.Load()); running > 0 && !slices.Equal(e.instance.Models, instance.Models) {
		e.addToHistories(-running, now)
		defer e.addToHistories(running, now)
	}
	e.instance = instance
}

// refuseQueued refuses all queued requests, because another router is the home of the engine now.
func (e *Engine) refuseQueued(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.publishLoad(now)
	e.requeue(now)
	waiting := e.queue.Remove(func(*run.Run) bool { return true })
	for _, item := range waiting {
		e.drop(item.Value, wire.Refuse(http.StatusServiceUnavailable, wire.CodeNotHome, "engine %s has another home", e.id), now)
	}
}

func (e *Engine) status(home ident.Router, now time.Time) wire.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	weight := 1.0
	for _, m := range e.instance.Models {
		weight = min(weight, e.weight(e.set.fleetLoad(m, now).TokenGap))
	}
	return wire.EngineStatus{
		Engine: e.id, Home: home, Running: len(e.active), Queued: e.queue.Len(), Weight: weight,
		Leaving: e.leaving || e.instance.State == fleet.StateLeaving,
	}
}

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load() == 0
}

// poll requests a report from the engine and updates its state in the fleet. An engine that sends no report but events of answers in the
// meantime does not count as down.
func (e *Engine) poll(ctx context.Context) {
	askedAt := time.Now()
	report, err := e.client.Load(ctx)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil && !e.answeredSince(askedAt) {
			e.set.fleet.EngineDown(e.id, now)
		}
		return
	}
	e.set.fleet.EngineUp(e.id)
	e.set.fleet.MarkEngine(e.id, report.Leaving, now, now)
	e.applyReport(report, now)
}

// answeredSince reports whether the engine has sent an event of any answer after a time.
func (e *Engine) answeredSince(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.active {
		if a.lastEventAt.After(t) && a.lastEventAt.After(a.startedAt) {
			return true
		}
	}
	return false
}
