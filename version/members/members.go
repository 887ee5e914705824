package members

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
)

// States of an instance. The order is the wire format.
const (
	// Starting instances have no current configuration yet.
	Starting State = iota
	// Ready instances take requests.
	Ready
	// Stopping instances finish the requests in progress.
	Stopping
)

const (
	// deadAfter is the silence after which an instance of a small fleet counts as dead; it spans four rounds of heartbeats.
	deadAfter = time.Second
	// deadAfterStep is added for each doubling of the fleet above smallFleetSize, up to deadAfterMax, since observations need more rounds
	// to spread.
	deadAfterStep = 600 * time.Millisecond
	deadAfterMax  = 3 * time.Second
	// smallFleetSize is a fleet size at which every instance receives an observation of every other within deadAfter.
	smallFleetSize = 9
	// forgetAfter is the silence after which an instance gets no more heartbeats.
	forgetAfter = 30 * time.Second
	// maxUnnamed bounds the members that neither the store nor the settings name. A fleet of 940 instances whose registrations have all ended has 939.
	maxUnnamed = 1024
)

type (
	// State says whether an instance takes new requests.
	State uint8

	// Member is the last known state of one instance.
	Member struct {
		// Peer is the address for other instances.
		Peer string
		// CallerAddress is the address for callers.
		CallerAddress string
		Domain        ident.Domain
		State         State
		Incarnation   ident.Incarnation
		// StoreUnreachable says that the instance cannot read the platform's store.
		StoreUnreachable bool
		// Warm says that the instance knows which parts of prompts the engines have cached.
		Warm bool
		// LastSeen is when the instance was last heard from, directly or through others.
		LastSeen boottime.Instant
	}

	// Observation says how long ago another instance last heard from a peer, directly or through others.
	Observation struct {
		Peer string
		Age  time.Duration
	}

	// Table holds all other instances of the fleet.
	Table struct {
		mu      sync.Mutex
		members map[string]*Member
		// named holds the peer addresses that the store and the settings name.
		named map[string]bool
	}
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Stopping:
		return "stopping"
	}
	return "unknown"
}

// New returns an empty table.
func New() *Table { return &Table{members: make(map[string]*Member), named: make(map[string]bool)} }

// SetNamed replaces the peer addresses that the store and the settings name. These members have no bound, and none of them is removed for another one.
func (t *Table) SetNamed(peers []string) {
	named := make(map[string]bool, len(peers))
	for _, p := range peers {
		named[p] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.named = named
}

// Add adds an address that the store or the settings name, where an instance may run. It does not make the instance alive.
func (t *Table) Add(peer string, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.named[peer] = true
	if _, ok := t.members[peer]; !ok {
		t.members[peer] = &Member{Peer: peer, LastSeen: now.Add(-2 * deadAfterMax)}
	}
}

// Update records a heartbeat of an instance, and reports whether its state or incarnation changed. It ignores earlier incarnations. It returns false as
// member, and records nothing, if the instance is unknown and there is no room for it.
func (t *Table) Update(m Member) (changed, member bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.members[m.Peer]
	if ok && old.Incarnation > m.Incarnation {
		return false, true
	}
	if !ok && !t.named[m.Peer] && !t.makeRoom(m.LastSeen) {
		return false, false
	}
	changed = !ok || old.State != m.State || old.Incarnation != m.Incarnation
	t.members[m.Peer] = &m
	return changed, true
}

// MergeObservations records the observations of another instance, and returns the number of unknown peers for which there is no room. Other unknown peers are
// added as by Add: they get heartbeats, but are not alive before their own first heartbeat, which brings their caller address.
func (t *Table) MergeObservations(list []Observation, now boottime.Instant) (refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	unnamed, _ := t.unnamed()
	for _, o := range list {
		if m, ok := t.members[o.Peer]; ok {
			m.LastSeen = max(m.LastSeen, now.Add(-o.Age))
			continue
		}
		if !t.named[o.Peer] {
			if unnamed >= maxUnnamed {
				refused++
				continue
			}
			unnamed++
		}
		t.members[o.Peer] = &Member{Peer: o.Peer, LastSeen: now.Add(-2 * deadAfterMax)}
	}
	return refused
}

// makeRoom reports whether there is room for another unnamed member. At the bound it removes the one that has been silent for the longest time, unless that
// may still be alive.
func (t *Table) makeRoom(now boottime.Instant) bool {
	count, oldest := t.unnamed()
	if count >= maxUnnamed && now.Sub(oldest.LastSeen) >= deadAfterMax {
		delete(t.members, oldest.Peer)
		count--
	}
	return count < maxUnnamed
}

// unnamed returns the number of members that are not named, and the one that has been silent for the longest time.
func (t *Table) unnamed() (count int, oldest *Member) {
	for _, m := range t.members {
		if t.named[m.Peer] {
			continue
		}
		count++
		if oldest == nil || m.LastSeen < oldest.LastSeen {
			oldest = m
		}
	}
	return count, oldest
}

// DeadAfter returns the silence after which an instance counts as dead in a fleet of that size.
func DeadAfter(size int) time.Duration {
	steps := max(math.Log2(float64(size)/smallFleetSize), 0)
	return min(deadAfter+time.Duration(steps*float64(deadAfterStep)), deadAfterMax)
}

// Alive returns the instances that were last heard from within DeadAfter and whose caller address is known, ordered by peer address.
func (t *Table) Alive(now boottime.Instant) []Member {
	t.mu.Lock()
	silence := DeadAfter(len(t.members) + 1)
	t.mu.Unlock()
	return t.list(func(m *Member) bool { return m.CallerAddress != "" && now.Sub(m.LastSeen) < silence })
}

// Count returns the number of known instances, including this one; some of them may be dead.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) + 1
}

// Unnamed returns the number of members that neither the store nor the settings name.
func (t *Table) Unnamed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count, _ := t.unnamed()
	return count
}

// Latest returns at most limit live instances, the most recently seen first.
func (t *Table) Latest(limit int, now boottime.Instant) []Member {
	list := t.Alive(now)
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(b.LastSeen, a.LastSeen) })
	return list[:min(limit, len(list))]
}

// All returns all known instances ordered by peer address, after it has removed those silent for longer than forgetAfter.
func (t *Table) All(now boottime.Instant) []Member {
	t.mu.Lock()
	for peer, m := range t.members {
		if now.Sub(m.LastSeen) > forgetAfter {
			delete(t.members, peer)
		}
	}
	t.mu.Unlock()
	return t.list(func(*Member) bool { return true })
}

func (t *Table) list(keep func(*Member) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, m := range t.members {
		if keep(m) {
			list = append(list, *m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Peer, b.Peer) })
	return list
}
