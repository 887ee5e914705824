package fleet

import (
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

// States of a router. Within an incarnation, a higher state overrides a lower one. The order is also the wire format.
const (
	Alive uint8 = iota
	Suspected
	Leaving
	Dead
)

const (
	// suspicionTimeout is how long a suspected router has to refute before it counts as dead.
	suspicionTimeout = 1500 * time.Millisecond
	// A router that comes back from death flapLimit times within flapWindow gets no new work for flapSuppression.
	flapWindow      = time.Minute
	flapLimit       = 3
	flapSuppression = 10 * time.Second
	// baseRetransmits is how often an update is sent in addition to the binary logarithm of the fleet's size.
	baseRetransmits = 3
)

type (
	// member is the state of one router.
	member struct {
		incarnation ident.Incarnation
		state       uint8
		known       bool
		// since is when state was set.
		since time.Time
		// lastMessageAt is when the last message of the router itself arrived.
		lastMessageAt time.Time
		// returnTimes are the returns from death within flapWindow.
		returnTimes     []time.Time
		suppressedUntil time.Time
		// retransmitsLeft is in how many more messages the state is sent.
		retransmitsLeft int
	}

	// memberTable holds the state of each router as spread by gossip.
	memberTable map[ident.Router]*member
)

// recordMessage records a message of the router itself, which overrides updates of other routers, and reports whether its state changed.
func (ms memberTable) recordMessage(id ident.Router, inc ident.Incarnation, leaving bool, now time.Time) bool {
	m := ms.get(id)
	m.lastMessageAt = now
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

// merge applies an update about a third router, and reports whether it changed anything.
func (ms memberTable) merge(update wire.Member, now time.Time) bool {
	m := ms.get(update.Router)
	switch {
	case m.known && update.Incarnation < m.incarnation:
		return false
	case m.known && update.Incarnation == m.incarnation && update.State <= m.state:
		return false
	}
	ms.setAndBroadcast(m, update.State, update.Incarnation, now)
	return true
}

// suspect records that the router could not be reached, and reports whether its state changed.
func (ms memberTable) suspect(id ident.Router, now time.Time) bool {
	m := ms.get(id)
	if m.known && m.state != Alive {
		return false
	}
	ms.setAndBroadcast(m, Suspected, m.incarnation, now)
	return true
}

// tick declares routers dead whose suspicion was not refuted in time, ends flap suppressions, and reports whether anything changed.
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

// pendingUpdates returns at most limit states with retransmits left, and counts one retransmit of each.
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

// setAndBroadcast sets a new state and schedules enough retransmits for it to reach every router.
func (ms memberTable) setAndBroadcast(m *member, state uint8, inc ident.Incarnation, now time.Time) {
	m.set(state, inc, now)
	m.retransmitsLeft = ms.retransmitLimit()
}

// retransmitLimit returns how often an update is sent; it grows with the logarithm of the fleet's size.
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

// recordReturn counts a return from death, and keeps a flapping router from new work for flapSuppression.
func (m *member) recordReturn(now time.Time) {
	m.returnTimes = slices.DeleteFunc(m.returnTimes, func(t time.Time) bool { return now.Sub(t) >= flapWindow })
	m.returnTimes = append(m.returnTimes, now)
	if len(m.returnTimes) >= flapLimit {
		m.suppressedUntil = now.Add(flapSuppression)
	}
}

func (m *member) reachable() bool { return m.known && m.state != Dead }

// placeable reports whether the router may get new work.
func (m *member) placeable(now time.Time) bool {
	return m.known && (m.state == Alive || m.state == Suspected) && !now.Before(m.suppressedUntil)
}
