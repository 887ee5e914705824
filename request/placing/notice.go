package placing

import (
	"math"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// leavingRetention is how long the state of an engine that is leaving is kept after its last answer, although it is no longer registered: its entry may
// return while the engine still serves.
const leavingRetention = 10 * time.Minute

// Notice is what an answer of an engine says about the engine.
type Notice struct {
	// Load is the load of the engine, or nil if the answer does not tell.
	Load *Report
	// Limit is the number of requests a second that the engine takes from all instances together, and 0 if it has no limit. It is nil if the answer
	// does not tell.
	Limit *RequestRate
	// Leaving says that the engine is about to stop and takes no new requests.
	Leaving bool
	// PausedFor is how long the engine takes no requests from this instance, or 0.
	PausedFor time.Duration
}

// RecordNotice records what an answer of an engine says about the engine.
func (t *Table) RecordNotice(k engines.Key, n Notice, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.engineState(k)
	if n.Load != nil {
		s.report, s.reportedAt = *n.Load, now
		s.setLatestLoad(n.Load.Running+n.Load.Waiting, now)
	}
	if n.Limit != nil {
		t.setLimit(Limit{Engine: k, Rate: *n.Limit, At: now})
	}
	t.recordAnswer(s, now)
	if n.Leaving {
		s.leavingAt = now
	}
	if until := now.Add(n.PausedFor); n.PausedFor > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// UntilAccepted returns the time until an engine of a service that is not evacuated, and that names a limit or a pause or is cold, accepts a request from
// this instance, tried ones included: the caller may come back. It returns false if no engine is kept from it by these.
func (t *Table) UntilAccepted(all *engines.List, r Request, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := time.Duration(math.MaxInt64)
	waits := false
	for _, e := range r.candidates(all) {
		s := t.engineState(e.Key)
		if s.isLeaving() {
			continue
		}
		paused := max(s.pausedUntil.Sub(now), 0)
		cold, known := t.untilColdRoom(e.Key, s, now)
		paused = max(paused, cold)
		limited := t.limitRoomAt(e.Key, s, now) == noRoom
		if paused == 0 && !limited && known {
			continue
		}
		waits = true
		switch b := s.limit.tolerated; {
		case !known:
		case !limited:
			shortest = min(shortest, paused)
		case b.perSecond > 0:
			shortest = min(shortest, max(paused, time.Duration((1-b.tokens)/b.perSecond*float64(time.Second))))
		}
	}
	return shortest, waits
}

// LeftOut counts the engines of a service that are not chosen for a request, by the first reason that applies.
type LeftOut struct {
	// Registered counts all engines of the service that are not draining, and the other fields some of them.
	Registered, Evacuated, Tried, Leaving, Paused, Cold, Limited, Backoff int
}

// CountLeftOut counts the engines that are not chosen for a request. Those in back-off are chosen last.
func (t *Table) CountLeftOut(all *engines.List, r Request, now time.Time) LeftOut {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n LeftOut
	for _, e := range all.OfService(r.Service) {
		n.Registered++
		switch s := t.engineState(e.Key); {
		case r.Evacuated.Contains(e.Domain):
			n.Evacuated++
		case slices.Contains(r.Tried, e.ID):
			n.Tried++
		case s.isLeaving():
			n.Leaving++
		case !s.accepts(now):
			n.Paused++
		case !t.hasColdRoom(e.Key, s, now):
			n.Cold++
		case t.roomAt(e.Key, s, now) == noRoom:
			n.Limited++
		case now.Before(s.backoffUntil):
			n.Backoff++
		}
	}
	return n
}

// IsLeaving reports whether an engine has said that it is about to stop.
func (t *Table) IsLeaving(k engines.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engineState(k).isLeaving()
}

// AnsweredAfter reports whether an engine has answered this instance successfully after a time.
func (t *Table) AnsweredAfter(k engines.Key, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engineState(k).answeredAt.After(at)
}

// accepts reports whether the engine, by its own answers, takes requests from this instance, limits aside.
func (s *engineState) accepts(now time.Time) bool {
	return !s.isLeaving() && !now.Before(s.pausedUntil)
}

func (s *engineState) isLeaving() bool { return !s.leavingAt.IsZero() }

// mustOutliveEntry reports whether the engine has said something that still holds when its entry returns.
func (s *engineState) mustOutliveEntry(now time.Time) bool {
	return now.Before(s.pausedUntil) || now.Sub(s.leavingAt) < leavingRetention || s.limit.inForce(now)
}
