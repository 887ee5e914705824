package members

import (
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
)

const start = boottime.Instant(time.Hour)

func update(t *Table, peer string, state State, incarnation ident.Incarnation, at boottime.Instant) bool {
	return t.Update(Member{Peer: peer, CallerAddress: "c" + peer, State: state, Incarnation: incarnation, LastSeen: at})
}

func TestSilentInstancesAreNotAlive(t *testing.T) {
	tests := []struct {
		name     string
		after    time.Duration
		observed time.Duration
		want     int
	}{
		{"just heard from", 0, 0, 1},
		{"silent", deadAfter, 0, 0},
		{"silent here, observed by another", deadAfter, deadAfter / 2, 1},
		{"silent here, old observation by another", 3 * deadAfter, 2 * deadAfter, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New()
			update(m, "a", Ready, 1, start)
			now := start.Add(tt.after)
			if tt.observed > 0 {
				m.MergeObservations([]Observation{{Peer: "a", Age: tt.observed}}, now)
			}
			if got := len(m.Alive(now)); got != tt.want {
				t.Fatalf("%d alive, want %d", got, tt.want)
			}
		})
	}
}

func TestUpdateIgnoresEarlierIncarnations(t *testing.T) {
	m := New()
	update(m, "a", Ready, 2, start)
	if update(m, "a", Stopping, 1, start.Add(time.Millisecond)) {
		t.Fatal("a heartbeat of an earlier incarnation changed the state")
	}
	if got := m.Alive(start)[0].State; got != Ready {
		t.Fatalf("state is %s, want ready", got)
	}
}

func TestObservationsAloneDoNotMakeAnInstanceAlive(t *testing.T) {
	m := New()
	m.MergeObservations([]Observation{{Peer: "a"}}, start)
	if len(m.Alive(start)) != 0 {
		t.Fatal("an instance whose caller address is unknown counts as alive")
	}
	if len(m.All(start)) != 1 {
		t.Fatal("the instance gets no heartbeats")
	}
}

func TestLongSilentInstancesAreForgotten(t *testing.T) {
	m := New()
	update(m, "a", Ready, 1, start)
	if len(m.All(start.Add(forgetAfter+time.Second))) != 0 {
		t.Fatal("the instance was not removed")
	}
}

func TestDeadAfterGrowsWithTheFleetSize(t *testing.T) {
	tests := []struct {
		size int
		want time.Duration
	}{{1, deadAfter}, {9, deadAfter}, {18, deadAfter + deadAfterStep}, {940, deadAfterMax}}
	for _, tt := range tests {
		if got := DeadAfter(tt.size); got != tt.want {
			t.Errorf("%d instances: %s, want %s", tt.size, got, tt.want)
		}
	}
}
