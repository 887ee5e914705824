package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/platform/standin"
)

const (
	// meanNoticeInterval is the mean time between two notices of engines, and meanNoticeDuration the mean duration of one. They overlap.
	meanNoticeInterval = 700 * time.Millisecond
	meanNoticeDuration = 2 * time.Second
	// minRetryAfter is the shortest time for which an engine wants no requests, and retryAfterRange the range of such times.
	minRetryAfter   = 500 * time.Millisecond
	retryAfterRange = 2500 * time.Millisecond
	// quietRetryAfter is the time that an engine names while all instances are in touch.
	quietRetryAfter = 1500 * time.Millisecond
	// maxSendsInPause is the number of requests that an engine may get from an instance between notice after a refusal and the end of the time
	// that it names.
	maxSendsInPause = 2
)

type (
	// notices is what an engine says of itself in its answers.
	notices struct {
		// The engine refuses requests until refusesUntil, and wants none for retryAfter after each refusal. wantedAt is when that time ends.
		refusesUntil, wantedAt time.Time
		retryAfter             time.Duration
		leaving                bool
	}

	// visit is a request that reached an engine under an id, and the time for which the engine wanted no more if it refused the request.
	visit struct {
		arrival
		engine     *engine
		engineID   ident.Engine
		retryAfter time.Duration
	}

	// pair is an instance and an engine, under an id, to which it sends requests.
	pair struct {
		instance string
		engine   *engine
		engineID ident.Engine
	}
)

// injectNotices makes engines refuse requests for a time, or leave, for Options.Duration, in addition to the other faults. It has its own
// random numbers, so the other faults of a seed stay the same.
func (r *run) injectNotices(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, r.Seed+3))
	for end := time.Now().Add(r.Duration); time.Now().Before(end) && pause.For(ctx, randomAround(rng, meanNoticeInterval)); {
		kind, duration, retryAfter := rng.IntN(4), randomAround(rng, meanNoticeDuration), minRetryAfter+time.Duration(rng.Int64N(int64(retryAfterRange)))
		r.mu.Lock()
		e := r.engines[rng.IntN(len(r.engines))]
		r.mu.Unlock()
		name := fmt.Sprintf("engine %s refuses requests and wants none for %s", e.currentID(), retryAfter)
		switch kind {
		case 0, 1:
			e.refuse(duration, retryAfter)
		default:
			name = fmt.Sprintf("engine %s is leaving, its entry is removed: %t", e.currentID(), kind == 2)
			e.leave(duration, kind == 2)
		}
		r.recordFault(fmt.Sprintf("%s for %s", name, duration))
	}
}

// noticeInTouch waits until all instances are in touch, and makes an engine refuse requests then: amid faults, few instances are.
func (r *run) noticeInTouch(ctx context.Context) {
	pause.For(ctx, contact)
	e := r.engines[0]
	r.recordFault(fmt.Sprintf("engine %s refuses requests and wants none for %s", e.currentID(), quietRetryAfter))
	e.refuse(quietRetryAfter, quietRetryAfter)
	pause.For(ctx, quietRetryAfter)
}

// endNotices ends all refusals, and all engines that are leaving, and waits for the end of the times that engines have named.
func (r *run) endNotices() {
	for _, e := range r.engines {
		e.endLeaving()
		e.mu.Lock()
		e.notices.refusesUntil = time.Time{}
		wantedAt := e.notices.wantedAt
		e.mu.Unlock()
		time.Sleep(time.Until(wantedAt.Add(notice)))
	}
}

func (e *engine) refuse(duration, retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notices.refusesUntil, e.notices.retryAfter = time.Now().Add(duration), retryAfter
}

// leave makes the engine say that it is leaving, unless it does, and end after a duration. Its entry may be removed at once.
func (e *engine) leave(duration time.Duration, removed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notices.leaving || e.restarting {
		return
	}
	e.notices.leaving = true
	if removed {
		standin.RemoveEngine(e.store, e.id)
	}
	time.AfterFunc(duration, e.endLeaving)
}

// endLeaving ends the engine if it is leaving. A new one starts in its place.
func (e *engine) endLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notices.leaving {
		e.restart()
	}
}

// giveNotice records the arrival of a request and writes the header of the answer. If the engine refuses requests, it refuses this one and
// returns true.
func (e *engine) giveNotice(w http.ResponseWriter, id ident.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	v := visit{arrival{id, now}, e, e.id, 0}
	refused := now.Before(e.notices.refusesUntil)
	if e.notices.leaving {
		w.Header().Set(e.names.Leaving, "1")
	}
	if refused {
		v.retryAfter = e.notices.retryAfter
		e.notices.wantedAt = now.Add(v.retryAfter)
		w.Header().Set(e.names.NotRun, "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(v.retryAfter.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		w.Header().Set(e.names.ResponseSeal, string(e.id))
	}
	e.executions.recordVisit(v)
	return refused
}

func (r *executionLog) recordVisit(v visit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.visits = append(r.visits, v)
}

// checkNotices checks that engines get no requests from instances that they have told that they are leaving, and at most maxSendsInPause in the
// times for which they want none.
func (r *run) checkNotices() error {
	calls := r.callers.byID()
	visits := make(map[pair][]visit)
	for _, v := range r.executions.visits {
		if c, ok := calls[v.id]; ok {
			p := pair{c.instance, v.engine, v.engineID}
			visits[p] = append(visits[p], v)
		}
	}
	for p, list := range visits {
		if err := r.checkLeaving(p, list, calls); err != nil {
			return err
		}
		if err := r.checkPauses(p, list, calls); err != nil {
			return err
		}
	}
	return nil
}

// checkLeaving checks one pair. Only a pause or restart of the instance since the notice excuses a request.
func (r *run) checkLeaving(p pair, visits []visit, calls map[ident.Request]call) error {
	var told time.Time
	for _, v := range visits {
		if c := calls[v.id]; c.leaving && c.engine == p.engineID && (told.IsZero() || c.endedAt.Before(told)) {
			told = c.endedAt
		}
	}
	for _, v := range visits {
		if c := calls[v.id]; !told.IsZero() && c.sentAt.After(told.Add(notice)) && !r.instanceAt(p.instance).halted.between(told, v.at) {
			return r.violation("engines that are leaving", c, fmt.Sprintf("reaches engine %s, sent %s after the instance had passed on that it is leaving", p.engineID, c.sentAt.Sub(told)))
		}
	}
	return nil
}

// checkPauses checks one pair, as long as the instance is in touch and its connections to the engine are not harmed.
func (r *run) checkPauses(p pair, visits []visit, calls map[ident.Request]call) error {
	for _, refused := range visits {
		sent := 0
		for _, v := range visits {
			after := v.at.Sub(refused.at)
			if after <= notice || after >= refused.retryAfter || !p.engine.disturbed.inTouch(refused.at, v.at) || !r.instanceAt(p.instance).disturbed.inTouch(refused.at, v.at) {
				continue
			}
			if sent++; sent > maxSendsInPause {
				return r.violation("engines that want no requests", calls[v.id], fmt.Sprintf("request %d that reaches engine %s from %s to %s after a refusal, which named %s",
					sent, p.engineID, notice, after, refused.retryAfter))
			}
		}
	}
	return nil
}
