package members

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
)

// RosterRetention is how long an instance stays on a roster after its registration has ended. Halves of a partition keep the same roster for that long.
const RosterRetention = 10 * time.Minute

// Roster is the list of instances among which budgets are divided that must hold without contact. It outlives the registrations in the store, which
// end after seconds on the other side of a partition. It is not safe for concurrent use.
type Roster struct {
	self string
	// registeredAt is when each other instance was last known to be registered.
	registeredAt map[string]boottime.Instant
	names        []string
	changedAt    boottime.Instant
}

// NewRoster returns a roster of one instance alone, which has not been listed yet.
func NewRoster(self string) *Roster {
	return &Roster{self: self, registeredAt: make(map[string]boottime.Instant)}
}

// Update adds the registered instances, and removes those that have not been registered for RosterRetention. Nothing is removed, and that time starts
// again, while the store does not confirm the registrations.
func (r *Roster) Update(registered []string, confirmed bool, now boottime.Instant) {
	for _, name := range registered {
		r.registeredAt[name] = now
	}
	delete(r.registeredAt, r.self)
	for name, at := range r.registeredAt {
		switch {
		case !confirmed:
			r.registeredAt[name] = now
		case now.Sub(at) > RosterRetention:
			delete(r.registeredAt, name)
		}
	}
	names := append(slices.Collect(maps.Keys(r.registeredAt)), r.self)
	slices.Sort(names)
	if !slices.Equal(names, r.names) {
		r.names, r.changedAt = names, now
	}
}

// Names returns the peer addresses of the instances, this one included, in order.
func (r *Roster) Names() []string { return r.names }

// UnchangedFor returns the time since the names last changed.
func (r *Roster) UnchangedFor(now boottime.Instant) time.Duration { return now.Sub(r.changedAt) }
