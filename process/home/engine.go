package home

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/connection/wire"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/suspects"
	"github.com/vanillaroute/vanillaroute/request/queue"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/version/fleet"
)

const (
	smoothing     = 0.1
	slowTolerance = 1.5
	minWeight     = 0.1
	defaultSlots  = 8
	spillEntries  = 4096
)

type (
	// Engine is one engine at its home router.
	Engine struct {
		id     ident.Engine
		set    *Set
		client *engine.Client

		mu       sync.Mutex
		instance fleet.Instance
		queue    *queue.Queue[*run.Run]
		active   map[*run.Run]*attempt
		spilled  *spills
		lengths  *lengths
		report   engine.Report
		reported bool
		settled  bool
		leaving  bool

		// assigned and gapNanos are read by the other engines of this home without the lock.
		assigned atomic.Int64
		gapNanos atomic.Int64
	}

	// attempt is a run that the engine holds a slot for.
	attempt struct {
		long    bool
		started time.Time
		last    time.Time
	}
)

func newEngine(set *Set, instance fleet.Instance) *Engine {
	return &Engine{
		id:       ident.Engine(instance.ID),
		set:      set,
		client:   engine.New(instance.Address, set.transport),
		instance: instance,
		queue:    queue.New[*run.Run](set.policy.QueueLimit, set.policy.LongShare),
		active:   make(map[*run.Run]*attempt),
		spilled:  newSpills(spillEntries),
		lengths:  newLengths(),
	}
}

// admit takes the run into the queue, or says why not; a refusal means that nothing was handed over.
func (e *Engine) admit(r *run.Run, now time.Time) *wire.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.unfit(r, now); refusal != nil {
		return refusal
	}
	class := e.set.policy.Class(r.Submit.Class)
	repeats := e.holdsFingerprint(r.Fingerprint)
	if to := e.spilled.get(r.Submit.Chat); to != "" && !r.Submit.SpillTried && !r.Submit.LastChoice {
		refusal := wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverBound, "the chat was moved from engine %s", e.id)
		refusal.Spilled = to
		return refusal
	}
	if !r.Submit.LastChoice && !repeats && e.load() >= e.bound(now) {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverBound, "engine %s is at its bound", e.id)
	}
	expected := e.lengths.expect(r.Submit.Organisation, r.Submit.Class)
	wait := e.expectedWait(class.Long)
	if limit := class.MaxWait.Std() - r.Submit.Waited; wait > limit {
		refusal := wire.Refuse(http.StatusTooManyRequests, wire.CodeOverloaded, "expected wait of %s is over the class's limit", wait.Round(time.Millisecond))
		refusal.RetryAfter = wait - limit
		return refusal
	}
	item := queue.Item[*run.Run]{
		Value:        r,
		Organisation: r.Submit.Organisation,
		Long:         class.Long,
		Cost:         expected,
		Deadline:     now.Add(class.MaxWait.Std() - r.Submit.Waited),
	}
	pushed := e.queue.Push(item, now)
	e.count()
	if !pushed {
		refusal := wire.Refuse(http.StatusTooManyRequests, wire.CodeOverloaded, "queue of engine %s is full", e.id)
		refusal.RetryAfter = wait
		return refusal
	}
	e.spilled.remove(r.Submit.Chat)
	e.set.runs.Put(r)
	e.set.point("queued", r.Submit.Request)
	e.dispatch(now)
	return nil
}

// unfit returns why the engine may not take the run at all; that it is a suspect counts first, since another copy of it
// may be why the engine is down.
func (e *Engine) unfit(r *run.Run, now time.Time) *wire.Refusal {
	crashed := e.set.suspects.Engines(r.Fingerprint)
	if len(crashed) >= suspects.MaxEngines {
		refusal := wire.Refuse(http.StatusUnprocessableEntity, wire.CodeSuspect, "the request crashed %d engines", len(crashed))
		refusal.Outcome = wire.Failed
		refusal.Crashed = crashed
		return refusal
	}
	known := !slices.ContainsFunc(crashed, func(c ident.Engine) bool { return !slices.Contains(r.Submit.Crashed, c) })
	if !known {
		refusal := wire.Refuse(http.StatusServiceUnavailable, wire.CodeSuspect, "the request crashed an engine")
		refusal.Crashed = crashed
		return refusal
	}
	if e.leaving || e.instance.State == fleet.StateLeaving {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeLeaving, "engine %s is leaving", e.id)
	}
	if e.set.fleet.IsDown(e.id, now) {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeNoEngine, "engine %s is down", e.id)
	}
	return nil
}

// dispatch starts requests while slots are free for them.
func (e *Engine) dispatch(now time.Time) {
	defer e.count()
	for _, late := range e.queue.Expire(now) {
		refusal := wire.Refuse(http.StatusTooManyRequests, wire.CodeOverloaded, "waited too long for engine %s", e.id)
		refusal.RetryAfter = time.Second
		e.drop(late.Value, refusal, now)
	}
	for _, gone := range e.queue.Remove(func(r *run.Run) bool { return r.Context().Err() != nil }) {
		e.drop(gone.Value, wire.Refuse(statusClosed, wire.CodeBadRequest, "the caller left"), now)
	}
	for {
		item, ok := e.queue.Pop(e.slots(now), now)
		if !ok {
			return
		}
		if refusal := e.unfit(item.Value, now); refusal != nil {
			e.drop(item.Value, refusal, now)
			continue
		}
		e.set.metrics.QueueTime(item.Organisation, item.Value.Submit.Class, now.Sub(item.Queued))
		e.active[item.Value] = &attempt{long: item.Long, started: now, last: now}
		e.set.tasks.Go(func() { e.run(item.Value) })
	}
}

func (e *Engine) drop(r *run.Run, refusal *wire.Refusal, now time.Time) {
	r.Finish(wire.End{Refusal: refusal}, now)
	e.set.runs.Remove(r)
}

// slots returns the places that may be taken now.
func (e *Engine) slots(now time.Time) queue.Slots {
	s := queue.Slots{Total: min(e.capacity(), e.bound(now)) - e.foreign(), Running: len(e.active)}
	for _, a := range e.active {
		if a.long {
			s.RunningLong++
		}
	}
	return s
}

// foreign returns how many requests the engine holds for an earlier home, until its report shows none.
func (e *Engine) foreign() int {
	if e.settled {
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

// count publishes the load to the other engines of this home.
func (e *Engine) count() { e.assigned.Store(int64(e.load())) }

// load counts all that this home has assigned to the engine.
func (e *Engine) load() int { return len(e.active) + e.queue.Len() }

// bound returns how many requests the engine may hold.
func (e *Engine) bound(now time.Time) int {
	bound := 1
	for _, m := range e.instance.Models {
		total := e.set.total(m, now)
		bound = max(bound, total.Bound(e.set.policy.LoadBound, e.weight(total.Gap)))
	}
	return bound
}

// weight lowers the bound of an engine that is slower than the model's median.
func (e *Engine) weight(median time.Duration) float64 {
	gap := time.Duration(e.gapNanos.Load())
	if median <= 0 || gap <= time.Duration(slowTolerance*float64(median)) {
		return 1
	}
	return max(minWeight, float64(median)/float64(gap))
}

// expectedWait estimates how long a new request waits for a slot.
func (e *Engine) expectedWait(long bool) time.Duration {
	capacity := max(e.capacity(), 1)
	if e.queue.Len() == 0 || len(e.active) < capacity {
		return 0
	}
	tokens := e.queue.Ahead(long)
	return time.Duration(tokens * float64(e.gapNanos.Load()) / float64(capacity))
}

func (e *Engine) holdsFingerprint(fingerprint uint64) bool {
	for r := range e.active {
		if r.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// applyReport takes the engine's own report.
func (e *Engine) applyReport(report engine.Report, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = report
	e.reported = true
	if report.Running+report.Waiting <= len(e.active) {
		e.settled = true
	}
	e.leaving = report.Leaving
	e.dispatch(now)
}

// update takes the engine's entry of the list.
func (e *Engine) update(instance fleet.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance = instance
}

// yield refuses what still waits, since another router is the engine's home now.
func (e *Engine) yield(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.count()
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
		weight = min(weight, e.weight(e.set.total(m, now).Gap))
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

// poll asks the engine for its report and tells the fleet what it sees.
func (e *Engine) poll(ctx context.Context) {
	report, err := e.client.Load(ctx)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			e.set.fleet.EngineDown(e.id, now)
		}
		return
	}
	e.set.fleet.EngineUp(e.id)
	e.set.fleet.MarkEngine(e.id, report.Leaving, now, now)
	e.applyReport(report, now)
}
