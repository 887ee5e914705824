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

// States of an instance.
const (
	// Starting instances do not know the configuration yet.
	Starting State = iota
	// Ready instances take requests.
	Ready
	// Stopping instances finish what they have.
	Stopping
)

const (
	// deadAfter is the silence after which an instance of a small fleet is taken to be gone; it spans four rounds of heartbeats.
	deadAfter = time.Second
	// deadAfterStep is added each time that the fleet is twice as large, since word of an instance takes more rounds, up to deadMost.
	deadAfterStep = 600 * time.Millisecond
	deadAfterMax  = 3 * time.Second
	// smallFleetSize is a size at which every instance hears of every other within deadAfter.
	smallFleetSize = 9
	// forgetAfter is the silence after which an instance is no longer asked.
	forgetAfter = 30 * time.Second
)

type (
	// State says what an instance does with new requests.
	State uint8

	// Member is one instance.
	Member struct {
		// Peer is the address at which other instances reach it.
		Peer string
		// CallerAddress is the address at which callers reach it.
		CallerAddress string
		Domain        ident.Domain
		State         State
		Incarnation   ident.Incarnation
		// StoreLost says that the instance cannot read the platform's store.
		StoreLost bool
		// Warm says that the instance knows what engines hold of prompts.
		Warm      bool
		LastHeard boottime.Instant
	}

	// Observation is what one instance has heard of another.
	Observation struct {
		Peer string
		Age  time.Duration
	}

	// Table is all instances but this one.
	Table struct {
		mu      sync.Mutex
		members map[string]*Member
	}
)

// String returns the name that logs use.
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
func New() *Table { return &Table{members: make(map[string]*Member)} }

// Add adds an address at which an instance may be, without saying that it is alive.
func (t *Table) Add(peer string, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.members[peer]; !ok {
		t.members[peer] = &Member{Peer: peer, LastHeard: now.Add(-2 * deadAfterMax)}
	}
}

// Update notes a message from an instance, and reports whether its state is news.
func (t *Table) Update(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.members[m.Peer]
	if ok && old.Incarnation > m.Incarnation {
		return false
	}
	news := !ok || old.State != m.State || old.Incarnation != m.Incarnation
	t.members[m.Peer] = &m
	return news
}

// MergeObservations notes what another instance has heard.
func (t *Table) MergeObservations(list []Observation, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		m, ok := t.members[r.Peer]
		if !ok {
			t.members[r.Peer] = &Member{Peer: r.Peer, LastHeard: now.Add(-2 * deadAfterMax)}
			continue
		}
		m.LastHeard = max(m.LastHeard, now.Add(-r.Age))
	}
}

// DeadAfter returns the silence after which an instance of a fleet is taken to be gone.
func DeadAfter(size int) time.Duration {
	more := max(math.Log2(float64(size)/smallFleetSize), 0)
	return min(deadAfter+time.Duration(more*float64(deadAfterStep)), deadAfterMax)
}

// Alive returns the instances heard of within DeadAfter, in the order of their addresses.
func (t *Table) Alive(now boottime.Instant) []Member {
	t.mu.Lock()
	silence := DeadAfter(len(t.members) + 1)
	t.mu.Unlock()
	return t.list(func(m *Member) bool { return m.CallerAddress != "" && now.Sub(m.LastHeard) < silence })
}

// Count returns how many instances may be alive, this one included.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) + 1
}

// Latest returns the living instances that were heard of last, at most limit of them.
func (t *Table) Latest(limit int, now boottime.Instant) []Member {
	list := t.Alive(now)
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(b.LastHeard, a.LastHeard) })
	return list[:min(limit, len(list))]
}

// All returns the instances that may be alive, in the order of their addresses, and forgets those silent for long.
func (t *Table) All(now boottime.Instant) []Member {
	t.mu.Lock()
	for peer, m := range t.members {
		if now.Sub(m.LastHeard) > forgetAfter {
			delete(t.members, peer)
		}
	}
	t.mu.Unlock()
	return t.list(func(*Member) bool { return true })
}

func (t *Table) list(take func(*Member) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, m := range t.members {
		if take(m) {
			list = append(list, *m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Peer, b.Peer) })
	return list
}
