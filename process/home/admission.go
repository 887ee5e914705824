package home

import (
	"net/http"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/queue"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/modelload"
	"github.com/vanillaroute/vanillaroute/wire"
)

// admit takes the run into the queue, or says why not; a refusal means that nothing was handed over.
func (e *Engine) admit(r *run.Run, now time.Time) *wire.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.ineligibleRefusal(r, now); refusal != nil {
		return refusal
	}
	if refusal := e.overflowRefusal(r); refusal != nil {
		return refusal
	}
	patient, refusal := e.checkBound(r, now)
	if refusal != nil {
		return refusal
	}
	class := e.set.policy.Class(r.Submit.Class)
	limit := class.MaxWait.Std() - r.Submit.Waited
	wait := e.expectedWait(class.Long)
	if wait > limit && r.Submit.FirstOffset == 0 {
		return e.overloadedRefusal(wait - limit)
	}
	if patient {
		limit = min(limit, e.set.policy.CacheWait.Std())
	}
	item := queue.Item[*run.Run]{
		Value:        r,
		Organisation: r.Submit.Organisation,
		Long:         class.Long,
		Cost:         e.lengths.estimate(r.Submit.Organisation, r.Submit.Class),
		Deadline:     now.Add(limit),
	}
	if !e.queue.Push(item, now) {
		return e.overloadedRefusal(wait)
	}
	e.recordAccepted(r, patient)
	e.publishLoad()
	e.dispatch(now)
	return nil
}

// recordAccepted notes that the chat's prefix will be on this engine, and wakes the queue when a patient request has waited enough.
func (e *Engine) recordAccepted(r *run.Run, patient bool) {
	e.overflow.remove(r.Submit.Chat)
	e.chats.add(r.Submit.Chat)
	e.set.runs.Put(r)
	e.set.faultPoint("queued", r.Submit.Request)
	if !patient {
		return
	}
	e.cacheWaiting[r] = true
	time.AfterFunc(e.set.policy.CacheWait.Std()+time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.dispatch(time.Now())
	})
}

// overflowRefusal sends a chat to the engine that took it when this one was at its bound.
func (e *Engine) overflowRefusal(r *run.Run) *wire.Refusal {
	to := e.overflow.get(r.Submit.Chat)
	if to == "" || r.Submit.OverflowTried || r.Submit.MustQueue {
		return nil
	}
	refusal := wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverBound, "the chat was moved from engine %s", e.id)
	refusal.OverflowEngine = to
	return refusal
}

// checkBound refuses what would bring the engine over its bound; a chat whose prefix is here may wait a little for room.
func (e *Engine) checkBound(r *run.Run, now time.Time) (patient bool, refusal *wire.Refusal) {
	over := wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverBound, "engine %s is at its bound", e.id)
	if e.isSlow(now) {
		if e.load() > 0 || now.Sub(e.lastProbeAt) < probePeriod {
			return false, over
		}
		e.lastProbeAt = now
		return false, nil
	}
	bound := e.bound(now, modelload.Total.PlaceBound)
	if r.Submit.MustQueue || e.hasUnprovenCopy(r.Fingerprint) || e.load() < bound {
		return false, nil
	}
	if e.chats.has(r.Submit.Chat) && e.queue.Len() < bound {
		return true, nil
	}
	return false, over
}

// isSlow reports whether the engine is so much slower than its model's median that it gets only trials.
func (e *Engine) isSlow(now time.Time) bool {
	for _, m := range e.instance.Models {
		if e.weight(e.set.fleetLoad(m, now).TokenGap) < slowWeightThreshold {
			return true
		}
	}
	return false
}

func (e *Engine) overloadedRefusal(retryAfter time.Duration) *wire.Refusal {
	refusal := wire.Refuse(http.StatusTooManyRequests, wire.CodeOverloaded, "the queue of engine %s is too long", e.id)
	refusal.RetryAfter = max(retryAfter, time.Second)
	return refusal
}

// timeoutRefusal says why a request left the queue: one that waited for its prefix goes on to another engine.
func (e *Engine) timeoutRefusal(r *run.Run) *wire.Refusal {
	if e.cacheWaiting[r] {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverBound, "engine %s stayed at its bound", e.id)
	}
	return e.overloadedRefusal(time.Second)
}

// ineligibleRefusal returns why the engine may not take the run at all; that it is a suspect counts first, since another copy of it
// may be why the engine is down.
func (e *Engine) ineligibleRefusal(r *run.Run, now time.Time) *wire.Refusal {
	crashed := e.set.suspects.CrashedEngines(r.Fingerprint)
	if len(crashed) >= suspects.MaxEngines {
		refusal := wire.Refuse(http.StatusUnprocessableEntity, wire.CodeSuspect, "the request crashed %d engines", len(crashed))
		refusal.Outcome = wire.OutcomeFailed
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
	if e.set.fleet.IsDown(e.id, now) && !e.isCrashUndecided(r.Fingerprint, now) {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeNoEngine, "engine %s is down", e.id)
	}
	return nil
}
