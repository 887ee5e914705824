package placing

import (
	"math/rand/v2"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

const (
	// bornMargin is by how much the clocks of an engine and an instance may differ. With 10 s, an instance that restarted sent nothing for 3 s to half of
	// the engines of a deployment that replaces them all the time.
	bornMargin = 3 * time.Second
	// confirmSpan is the time without confirmation by the store after which an engine may have restarted at its address unnoticed.
	confirmSpan = 3 * time.Second
	// unreachedSpan is how long, beyond its warm-up span, an engine that could not be reached is cold without an answer. Instances that still
	// choose it try it again within a back-off and so renew that time.
	unreachedSpan = 2 * maxBackoff
	// maxTold bounds how long an engine is cold because a peer or the engine itself says so, unless its warm-up takes longer.
	maxTold = time.Minute
)

// Reasons why an engine is cold.
const (
	// ColdRegistered engines have registered, or registered anew.
	ColdRegistered ColdReason = iota
	// ColdAnnounced engines say in their entry or their health answers that they are cold.
	ColdAnnounced
	// ColdUnreached engines could not be reached.
	ColdUnreached
	// ColdEvacuated engines are in a failure domain whose evacuation was withdrawn.
	ColdEvacuated
	// ColdToldByPeer engines could not be reached by another instance.
	ColdToldByPeer
	// ColdUnconfirmed engines may have restarted, since the store has not confirmed the list of engines for a while.
	ColdUnconfirmed
)

type (
	// ColdReason says why an engine is cold.
	ColdReason uint8

	// Cold is an engine that is cold until a time.
	Cold struct {
		Engine engines.Key
		Until  time.Time
		Reason ColdReason
	}

	// EngineUpdate is what an instance has read about the registered engines.
	EngineUpdate struct {
		Engines *engines.List
		// Warmup returns the warm-up of a service, or nil if it has none.
		Warmup func(ident.Service) *routing.Warmup
		// Arrived holds the engines whose entries have just arrived.
		Arrived map[ident.Engine]bool
		// FirstStart says that the whole fleet starts for the first time, so that the first engines listed count as warm.
		FirstStart bool
	}

	// coldTable is what a table knows about all cold engines.
	coldTable struct {
		sharers sharers
		// keys and ids are those of the engines listed last, and listed says that there was a list.
		keys   map[engines.Key]bool
		ids    map[ident.Engine]bool
		listed bool
		// applies says that at least one engine has a warm-up rate.
		applies bool
		// confirmedAt is when the store last confirmed the list of engines.
		confirmedAt time.Time
	}

	// coldState is what a table knows about the warm-up of an engine.
	coldState struct {
		// rate is the warm-up rate, or 0 if the service has none, and span how long the engine is cold after a start.
		rate RequestRate
		span time.Duration
		// until is the time until which the engine is cold, for reason.
		until  time.Time
		reason ColdReason
		// unreachedAt is when the engine could last not be reached, or zero after an answer. ended says that its process had ended.
		unreachedAt time.Time
		ended       bool
		// tellUntil is the time until which other instances are told of until.
		tellUntil time.Time
		// emptySince is when the engine last lost its parts, or zero.
		emptySince time.Time
		// sentAt is when this instance last placed a request at the engine.
		sentAt time.Time
		// since is when the engine became cold, and bucket holds a token for each request that this instance may send since.
		since       time.Time
		bucket      tokenBucket
		refilledAt  time.Time
		fleetNumber int
		// over is the multiple of the rate for which the share was calculated.
		over float64
	}
)

// String returns the name of the reason in logs.
func (r ColdReason) String() string {
	return [...]string{"registered", "announced", "unreached", "evacuated", "toldByPeer", "unconfirmed"}[r]
}

// UpdateEngines records the registered engines and their warm-up rates, and which engines have become cold with their entries.
func (t *Table) UpdateEngines(u EngineUpdate, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.cold
	keys, ids, first := make(map[engines.Key]bool), make(map[ident.Engine]bool), !c.listed
	c.applies = false
	for _, e := range u.Engines.All() {
		keys[e.Key], ids[e.ID] = true, true
		w := u.Warmup(e.Service)
		if w == nil {
			if s, ok := t.engines[e.Key]; ok {
				s.cold = coldState{}
			}
			continue
		}
		c.applies = true
		s := t.engineState(e.Key)
		if rate := max(RequestRate(w.PerSecond), MinLimit); rate != s.cold.rate {
			s.cold.rate, s.cold.fleetNumber = rate, 0
		}
		s.cold.span = w.Span
		isNew := !c.keys[e.Key]
		if first {
			isNew = !u.FirstStart && (e.StartedAtMs == 0 || now.Sub(time.UnixMilli(e.StartedAtMs)) <= w.Span+bornMargin)
		}
		if isNew {
			t.becomeCold(s, now.Add(w.Span), ColdRegistered, now)
			if !first && !c.ids[e.ID] {
				// The engine is not known to have had any request, so its first tokens are spread over the interval between two.
				s.cold.bucket.tokens = rand.Float64()
			}
		}
		if e.ColdFor > 0 && u.Arrived[e.ID] {
			t.becomeCold(s, now.Add(max(e.ColdFor, w.Span)), ColdAnnounced, now)
			s.cold.emptySince = now
		}
	}
	c.keys, c.ids, c.listed = keys, ids, true
}

// SetConfirmed records when the store last confirmed the list of engines.
func (t *Table) SetConfirmed(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.cold.confirmedAt) {
		t.cold.confirmedAt = at
	}
}

// RecordUnreached records that an engine could not be reached. ended says that its process has ended, which is told to other instances; an engine that
// only this instance cannot reach may be warm.
func (t *Table) RecordUnreached(k engines.Key, ended bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.engines[k]
	if !ok || s.cold.rate == 0 {
		return
	}
	t.beginCold(s, now)
	s.cold.unreachedAt, s.cold.ended = now, s.cold.ended || ended
}

// RecordEvacuationEnd records that the evacuation of a failure domain was withdrawn: its engines may have lost their parts meanwhile.
func (t *Table) RecordEvacuationEnd(all *engines.List, d ident.Domain, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range all.All() {
		if s := t.engineState(e.Key); e.Domain == d && s.cold.rate > 0 {
			t.becomeCold(s, now.Add(s.cold.span), ColdEvacuated, now)
			s.cold.emptySince = now
		}
	}
}

// RecordCold records that an engine has said that it stays cold for a time.
func (t *Table) RecordCold(k engines.Key, remaining time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.engines[k]
	if !ok || s.cold.rate == 0 || remaining <= 0 {
		return
	}
	if !t.isCold(s, now) {
		s.cold.emptySince = now
	}
	until := now.Add(min(remaining, max(maxTold, s.cold.span)))
	t.becomeCold(s, until, ColdAnnounced, now)
	s.cold.tellUntil = until
}

// MergeColds records engines that other instances know to be cold.
func (t *Table) MergeColds(list []Cold, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range list {
		if s, ok := t.engines[c.Engine]; ok && s.cold.rate > 0 {
			last := now.Add(max(maxTold, s.cold.span))
			if c.Until.After(last) {
				c.Until = last
			}
			t.becomeCold(s, c.Until, ColdToldByPeer, now)
		}
	}
}

// LocalColds returns up to limit engines, in random order, that this instance itself found to have ended or that told it that they are cold.
func (t *Table) LocalColds(limit int, now time.Time) []Cold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Cold
	for k, s := range t.engines {
		switch c := &s.cold; {
		case c.ended && c.awaitsAnswer(now):
			list = append(list, Cold{Engine: k, Until: now.Add(c.span), Reason: ColdUnreached})
		case now.Before(c.tellUntil):
			list = append(list, Cold{Engine: k, Until: c.tellUntil, Reason: c.reason})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(limit, len(list))]
}

// Colds returns the engines that are cold now, in no particular order.
func (t *Table) Colds(now time.Time) []Cold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Cold
	for k, s := range t.engines {
		if !t.cold.keys[k] || !t.isCold(s, now) {
			continue
		}
		c := Cold{Engine: k, Until: s.cold.until, Reason: s.cold.reason}
		switch {
		case s.cold.awaitsAnswer(now):
			c.Until, c.Reason = s.cold.unreachedAt.Add(s.cold.span+unreachedSpan), ColdUnreached
		case !now.Before(c.Until):
			c.Reason = ColdUnconfirmed
		}
		list = append(list, c)
	}
	return list
}

// becomeCold records that an engine is cold until a time, unless it is known to be cold for longer.
func (t *Table) becomeCold(s *engineState, until time.Time, reason ColdReason, now time.Time) {
	if until.After(now) && until.After(s.cold.until) {
		t.beginCold(s, now)
		s.cold.until, s.cold.reason = until, reason
	}
}

// beginCold empties the bucket of an engine that becomes cold now: what this instance has sent before does not count in it.
func (t *Table) beginCold(s *engineState, now time.Time) {
	if !t.isCold(s, now) {
		s.cold.startBucket(now)
	}
}

// isCold reports whether the warm-up rate of an engine applies.
func (t *Table) isCold(s *engineState, now time.Time) bool {
	return s.cold.rate > 0 && (s.cold.isKnown(now) || now.Sub(t.cold.confirmedAt) > confirmSpan)
}

// hasColdRoom reports whether an engine takes a request from this instance within its warm-up rate.
func (t *Table) hasColdRoom(k engines.Key, s *engineState, now time.Time) bool {
	c := &s.cold
	if !t.isCold(s, now) {
		return true
	}
	if unconfirmed := t.cold.confirmedAt.Add(confirmSpan); !c.isKnown(now) && c.since.Before(unconfirmed) {
		// All engines become cold at once, so that empty buckets would leave no engine to choose.
		c.startBucket(unconfirmed)
		c.refilledAt = c.sentAt
	}
	if c.fleetNumber != t.cold.sharers.number || c.fleetNumber == 0 || c.over != t.policy.Cold.Over {
		c.fleetNumber, c.over = t.cold.sharers.number, t.policy.Cold.Over
		tokens := c.bucket.tokens
		c.bucket = t.cold.sharers.share(k, c.rate, t.policy.Cold)
		c.bucket.tokens = min(tokens, c.bucket.most)
	}
	c.bucket.refill(max(now.Sub(c.refilledAt), 0))
	c.refilledAt = now
	return c.bucket.tokens >= 1 && t.cold.sharers.areSettled(t.cold.confirmedAt, t.policy.Cold.Slack, now)
}

// untilColdRoom returns the time until an engine takes a request from this instance: with the next token, or when it is warm, if that is known.
func (t *Table) untilColdRoom(k engines.Key, s *engineState, now time.Time) (time.Duration, bool) {
	if t.hasColdRoom(k, s, now) {
		return 0, true
	}
	c := &s.cold
	if c.bucket.perSecond > 0 {
		wait := max(time.Duration((1-c.bucket.tokens)/c.bucket.perSecond*float64(time.Second)), t.cold.sharers.changedAt.Add(settleTime).Sub(now), 0)
		if t.cold.sharers.areSettled(t.cold.confirmedAt, t.policy.Cold.Slack, now.Add(wait)) {
			return wait, true
		}
	}
	return max(c.until.Sub(now), 0), c.until.After(now) && !c.awaitsAnswer(now)
}

// takeColdToken takes the token of a request that is placed at an engine.
func (t *Table) takeColdToken(s *engineState, now time.Time) {
	s.cold.sentAt = now
	if t.isCold(s, now) {
		s.cold.bucket.tokens--
	}
}

// isLimited reports whether an engine takes a bounded number of requests a second.
func (t *Table) isLimited(s *engineState, now time.Time) bool {
	return s.limit.inForce(now) || t.isCold(s, now)
}

// isKnown reports whether the engine itself is known to be cold, apart from the state of the store.
func (c *coldState) isKnown(now time.Time) bool { return now.Before(c.until) || c.awaitsAnswer(now) }

// awaitsAnswer reports whether the engine could not be reached and has not answered since.
func (c *coldState) awaitsAnswer(now time.Time) bool {
	return !c.unreachedAt.IsZero() && now.Sub(c.unreachedAt) < c.span+unreachedSpan
}

// recordAnswer records an answer of the engine. The first one after it could not be reached begins its warm-up.
func (t *Table) recordAnswer(s *engineState, now time.Time) {
	c := &s.cold
	if c.unreachedAt.IsZero() {
		return
	}
	awaited, ended := c.awaitsAnswer(now), c.ended
	if awaited {
		t.becomeCold(s, now.Add(c.span), ColdUnreached, now)
	}
	if awaited && ended {
		c.emptySince, c.tellUntil = now, c.until
	}
	c.unreachedAt, c.ended = time.Time{}, false
}

// holds reports whether a recorded read of a part still holds, that is, whether the engine has kept its parts since.
func (t *Table) holds(h Holder) bool {
	s, ok := t.engines[h.Engine]
	return !ok || !h.At.Before(s.cold.emptySince)
}

// withCold says whether the chosen engine is cold, and removes the source of a choice if that is known to be cold: it holds no parts.
func (t *Table) withCold(c Choice, now time.Time) Choice {
	c.Cold = t.isCold(t.engineState(c.Engine.Key), now)
	if s, ok := t.engines[c.Source]; ok && s.cold.rate > 0 && s.cold.isKnown(now) {
		c.Source, c.SourceGuessed, c.FetchedTokens, c.PrefillTokens = 0, false, 0, c.PrefillTokens+c.FetchedTokens
	}
	return c
}

// startBucket empties the bucket at a time, from which tokens come.
func (c *coldState) startBucket(at time.Time) {
	c.since, c.bucket.tokens, c.refilledAt = at, 0, at
}
