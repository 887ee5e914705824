package fleet

import (
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

// States of a router in the order in which they override one another within an incarnation.
const (
	Alive uint8 = iota
	Suspected
	Leaving
	Dead
)

const (
	suspicionTimeout = 1500 * time.Millisecond
	flapWindow       = time.Minute
	flapLimit        = 3
	flapSuppression  = 10 * time.Second
	baseRetransmits  = 3
)

type (
	member struct {
		incarnation     ident.Incarnation
		state           uint8
		known           bool
		since           time.Time
		heard           time.Time
		returnTimes     []time.Time
		suppressedUntil time.Time
		retransmitsLeft int
	}

	// memberTable is the routers' own knowledge of one another, spread by gossip.
	memberTable map[ident.Router]*member
)

// heard notes a message from the router itself, which overrides what others say of it.
func (ms memberTable) heard(id ident.Router, inc ident.Incarnation, leaving bool, now time.Time) bool {
	m := ms.get(id)
	m.heard = now
	state := Alive
	if leaving {
		state = Leaving
	}
	if m.known && m.incarnation == inc && m.state == state {
		return false
	}
	if m.known && inc < m.incarnation {
		return false
	}
	if m.known && m.incarnation == inc && m.state == Leaving {
		return false
	}
	ms.setAndBroadcast(m, state, inc, now)
	return true
}

// merge applies what another router says of a third, and reports whether it was news.
func (ms memberTable) merge(news wire.Member, now time.Time) bool {
	m := ms.get(news.Router)
	switch {
	case m.known && news.Incarnation < m.incarnation:
		return false
	case m.known && news.Incarnation == m.incarnation && news.State <= m.state:
		return false
	}
	ms.setAndBroadcast(m, news.State, news.Incarnation, now)
	return true
}

// suspect notes that the router could not be reached.
func (ms memberTable) suspect(id ident.Router, now time.Time) bool {
	m := ms.get(id)
	if m.known && m.state != Alive {
		return false
	}
	ms.setAndBroadcast(m, Suspected, m.incarnation, now)
	return true
}

// tick turns suspicions that nobody refuted into deaths.
func (ms memberTable) tick(now time.Time) bool {
	changed := false
	for _, m := range ms {
		if m.state == Suspected && now.Sub(m.since) >= suspicionTimeout {
			ms.setAndBroadcast(m, Dead, m.incarnation, now)
			changed = true
		}
		if !m.suppressedUntil.IsZero() && !now.Before(m.suppressedUntil) {
			m.suppressedUntil = time.Time{}
			changed = true
		}
	}
	return changed
}

// pendingUpdates returns what is still worth repeating, at most limit, and counts each as repeated once.
func (ms memberTable) pendingUpdates(limit int) []wire.Member {
	var out []wire.Member
	for id, m := range ms {
		if m.retransmitsLeft <= 0 || len(out) >= limit {
			continue
		}
		m.retransmitsLeft--
		out = append(out, wire.Member{Router: id, Incarnation: m.incarnation, State: m.state})
	}
	return out
}

func (ms memberTable) get(id ident.Router) *member {
	m, ok := ms[id]
	if !ok {
		m = &member{}
		ms[id] = m
	}
	return m
}

// setAndBroadcast notes a new state, to be repeated often enough to reach every router.
func (ms memberTable) setAndBroadcast(m *member, state uint8, inc ident.Incarnation, now time.Time) {
	m.set(state, inc, now)
	m.retransmitsLeft = ms.retransmitLimit()
}

// retransmitLimit returns how often news is repeated, by the logarithm of the fleet's size.
func (ms memberTable) retransmitLimit() int {
	n := baseRetransmits
	for size := len(ms); size > 0; size /= 2 {
		n++
	}
	return n
}

func (m *member) set(state uint8, inc ident.Incarnation, now time.Time) {
	if m.known && m.state == Dead && state == Alive {
		m.recordReturn(now)
	}
	m.known = true
	m.state = state
	m.incarnation = inc
	m.since = now
}

// recordReturn holds a router that keeps returning from death back from new work for a while.
func (m *member) recordReturn(now time.Time) {
	m.returnTimes = slices.DeleteFunc(m.returnTimes, func(t time.Time) bool { return now.Sub(t) >= flapWindow })
	m.returnTimes = append(m.returnTimes, now)
	if len(m.returnTimes) >= flapLimit {
		m.suppressedUntil = now.Add(flapSuppression)
	}
}

func (m *member) reachable() bool { return m.known && m.state != Dead }

func (m *member) placeable(now time.Time) bool {
	return m.known && (m.state == Alive || m.state == Suspected) && !now.Before(m.suppressedUntil)
}
