package members

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/boottime"
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
	// DeadAfter is the silence after which an instance is taken to be gone; it spans four heartbeats.
	DeadAfter = time.Second
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
		// Callers is the address at which callers reach it.
		Callers     string
		Domain      ident.Domain
		State       State
		Incarnation ident.Incarnation
		// StoreLost says that the instance cannot read the platform's store.
		StoreLost bool
		// Warm says that the instance knows what engines hold of prompts.
		Warm  bool
		Heard boottime.Instant
	}

	// Rumour is what one instance has heard of another.
	Rumour struct {
		Peer string
		Age  time.Duration
	}

	// Table is all instances but this one.
	Table struct {
		mu      sync.Mutex
		members map[string]*Member
	}
)

// New returns an empty table.
func New() *Table { return &Table{members: make(map[string]*Member)} }

// Known adds an address at which an instance may be, without saying that it is alive.
func (t *Table) Known(peer string, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.members[peer]; !ok {
		t.members[peer] = &Member{Peer: peer, Heard: now.Add(-2 * DeadAfter)}
	}
}

// Hear notes a message from an instance, and reports whether its state is news.
func (t *Table) Hear(m Member) bool {
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

// HeardBy notes what another instance has heard.
func (t *Table) HeardBy(list []Rumour, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		m, ok := t.members[r.Peer]
		if !ok {
			t.members[r.Peer] = &Member{Peer: r.Peer, Heard: now.Add(-2 * DeadAfter)}
			continue
		}
		m.Heard = max(m.Heard, now.Add(-r.Age))
	}
}

// Alive returns the instances heard of within DeadAfter, in the order of their addresses.
func (t *Table) Alive(now boottime.Instant) []Member {
	return t.list(func(m *Member) bool { return m.Callers != "" && now.Sub(m.Heard) < DeadAfter })
}

// All returns the instances that may be alive, in the order of their addresses, and forgets those silent for long.
func (t *Table) All(now boottime.Instant) []Member {
	t.mu.Lock()
	for peer, m := range t.members {
		if now.Sub(m.Heard) > forgetAfter {
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
