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

// admit adds the run to the queue or returns a refusal. After a refusal nothing has been sent to the engine.
func (e *Engine) admit(r *run.Run, now time.Time) *wire.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.ineligibleRefusal(r, now); refusal != nil {
		return refusal
	}
	if refusal := e.overflowRefusal(r); refusal != nil {
		return refusal
	}
	forCache, refusal := e.checkBound(r, now)
	if refusal != nil {
		return refusal
	}
	class := e.set.policy.Class(r.Submit.Class)
	limit := class.MaxWait.Std() - r.Submit.Waited
	wait := e.expectedWait(class.Long)
	if wait > limit && r.Submit.FirstOffset == 0 {
		return e.overloadedRefusal(wait - limit)
	}
	if forCache {
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
	e.recordAccepted(r, forCache)
	e.publishLoad(now)
	e.dispatch(now)
	return nil
}

// recordAccepted records that the engine will hold the prefix of the chat. If the request waits for its cached prefix, it also schedules a
// dispatch for the end of CacheWait.
func (e *Engine) recordAccepted(r *run.Run, forCache bool) {
	e.overflow.remove(r.Submit.Chat)
	e.chats.add(r.Submit.Chat)
	e.set.runs.Put(r)
	e.set.faultPoint("queued", r.Submit.Request)
	if !forCache {
		return
	}
	e.cacheWaiting[r] = true
	time.AfterFunc(e.set.policy.CacheWait.Std()+time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.dispatch(time.Now())
	})
}

// overflowRefusal refuses a chat that has overflowed to another engine and names that engine; it returns nil for other chats.
func (e *Engine) overflowRefusal(r *run.Run) *wire.Refusal {
	to := e.overflow.get(r.Submit.Chat)
	if to == "" || r.Submit.OverflowTried || r.Submit.MustQueue {
		return nil
	}
	refusal := wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverBound, "the chat was moved from engine %s", e.id)
	refusal.OverflowEngine = to
	return refusal
}

// checkBound refuses a request that would bring the engine over its bound. Requests with MustQueue, and copies of a running body that has
// not succeeded yet, are accepted in spite of the bound. If the engine may hold the prefix of the chat, the request may wait for up to
// CacheWait, and forCache is true. A slow engine only accepts one probe request every probePeriod, while it has no other request.
func (e *Engine) checkBound(r *run.Run, now time.Time) (forCache bool, refusal *wire.Refusal) {
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

// isSlow reports whether the engine is so much slower than the median of its model that it only gets one probe request every
// probePeriod.
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

// timeoutRefusal returns the refusal of a request whose deadline passed in the queue. A request that waited for its cached prefix is
// refused as over the bound, so that it goes to another engine.
func (e *Engine) timeoutRefusal(r *run.Run) *wire.Refusal {
	if e.cacheWaiting[r] {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverBound, "engine %s stayed at its bound", e.id)
	}
	return e.overloadedRefusal(time.Second)
}

// ineligibleRefusal returns a refusal if the engine may not run the request at all, and nil otherwise. It checks for suspects first,
// because another copy of a suspect may be the reason why the engine is down.
func (e *Engine) ineligibleRefusal(r *run.Run, now time.Time) *wire.Refusal {
	crashed := e.set.suspects.CrashedEngines(r.Fingerprint)
	if len(crashed) >= suspects.MaxEngines {
		refusal := wire.Refuse(http.StatusUnprocessableEntity, wire.CodeSuspect, "the request crashed %d engines", len(crashed))
		refusal.Outcome = wire.OutcomeFailed
		refusal.Crashed = crashed
		return refusal
	}
	allKnown := !slices.ContainsFunc(crashed, func(c ident.Engine) bool { return !slices.Contains(r.Submit.Crashed, c) })
	if !allKnown {
		refusal := wire.Refuse(http.StatusServiceUnavailable, wire.CodeSuspect, "the request crashed an engine")
		refusal.Crashed = crashed
		return refusal
	}
	if e.leaving || e.instance.State == fleet.StateLeaving {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeLeaving, "engine %s is leaving", e.id)
	}
	if e.set.fleet.IsDown(e.id, now) && !e.isCrashUnconfirmed(r.Fingerprint, now) {
		return wire.Refuse(http.StatusServiceUnavailable, wire.CodeNoEngine, "engine %s is down", e.id)
	}
	return nil
}
