package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/wire"
)

var start = time.Unix(1000, 0)

func list(routers, engines int) []fleet.Instance {
	var all []fleet.Instance
	for i := range routers {
		all = append(all, fleet.Instance{ID: fmt.Sprint("router-", i), Role: fleet.RoleRouter, State: fleet.StateLive, FailureDomain: ident.Domain(fmt.Sprint(i % 3))})
	}
	for i := range engines {
		all = append(all, fleet.Instance{
			ID: fmt.Sprint("engine-", i), Role: fleet.RoleEngine, State: fleet.StateLive, FailureDomain: ident.Domain(fmt.Sprint(i % 3)), Models: []ident.Model{"m"},
		})
	}
	return all
}

// newFleet returns the fleet of router-0 after it has received a message from every other router.
func newFleet(routers, engines int) *fleet.Fleet {
	all := list(routers, engines)
	f := fleet.New(all[0], 1, start)
	f.ApplyList(all, start)
	for _, i := range all[1:routers] {
		f.RecordHeartbeat(ident.Router(i.ID), 1, false, start)
	}
	return f
}

func TestHomesDoNotDependOnHistory(t *testing.T) {
	changed := newFleet(9, 30)
	changed.Merge([]wire.Member{{Router: "router-4", Incarnation: 1, State: fleet.Dead}}, start)
	changed.Merge([]wire.Member{{Router: "router-7", Incarnation: 1, State: fleet.Dead}}, start)
	changed.RecordHeartbeat("router-4", 2, false, start)
	fresh := newFleet(9, 30)
	fresh.Merge([]wire.Member{{Router: "router-7", Incarnation: 1, State: fleet.Dead}}, start)
	for _, e := range fresh.View().Engines() {
		id := ident.Engine(e.ID)
		if got, want := changed.View().HomeOf(id), fresh.View().HomeOf(id); got != want {
			t.Errorf("%s: home %s, want %s", id, got, want)
		}
	}
}

func TestHomesStayInTheFailureDomain(t *testing.T) {
	f := newFleet(9, 30)
	for _, e := range f.View().Engines() {
		for _, r := range f.View().Placeable() {
			if ident.Router(r.ID) == f.View().HomeOf(ident.Engine(e.ID)) && r.FailureDomain != e.FailureDomain {
				t.Errorf("%s of domain %s has its home in domain %s", e.ID, e.FailureDomain, r.FailureDomain)
			}
		}
	}
	for _, id := range []ident.Router{"router-1", "router-4", "router-7"} {
		f.Merge([]wire.Member{{Router: id, Incarnation: 1, State: fleet.Dead}}, start)
	}
	if home := f.View().HomeOf("engine-1"); home == "" {
		t.Error("an engine of a domain without routers has no home")
	}
}

// TestEngineWithoutAFailureDomainHasAHome guards against an engine without a home: the list names no failure domains, and the engine
// appears after the router.
func TestEngineWithoutAFailureDomainHasAHome(t *testing.T) {
	self := fleet.Instance{ID: "router-1", Role: fleet.RoleRouter}
	f := fleet.New(self, 1, start)
	f.ApplyList([]fleet.Instance{self, {ID: "engine-1", Role: fleet.RoleEngine}}, start)
	if home := f.View().HomeOf("engine-1"); home != "router-1" {
		t.Errorf("got home %q, want router-1", home)
	}
}

func TestSuspicionEndsInDeathUnlessRefuted(t *testing.T) {
	tests := []struct {
		name  string
		after func(*fleet.Fleet)
		alive bool
	}{
		{"no further message", func(*fleet.Fleet) {}, false},
		{"message of the router itself", func(f *fleet.Fleet) { f.RecordHeartbeat("router-1", 2, false, start.Add(time.Second)) }, true},
		{"update of the suspected incarnation", func(f *fleet.Fleet) {
			f.Merge([]wire.Member{{Router: "router-1", Incarnation: 1, State: fleet.Alive}}, start)
		}, false},
		{"refutation through another router", func(f *fleet.Fleet) {
			f.Merge([]wire.Member{{Router: "router-1", Incarnation: 2, State: fleet.Alive}}, start)
		}, true},
	}
	for _, tt := range tests {
		f := newFleet(3, 3)
		f.Suspect("router-1", start)
		tt.after(f)
		f.Tick(start.Add(2 * time.Second))
		if got := f.IsAlive("router-1"); got != tt.alive {
			t.Errorf("%s: alive %t, want %t", tt.name, got, tt.alive)
		}
	}
}

func TestRouterRefutesItsOwnDeath(t *testing.T) {
	f := newFleet(3, 3)
	f.Merge([]wire.Member{{Router: "router-0", Incarnation: 5, State: fleet.Dead}}, start)
	if incarnation, _ := f.Self(); incarnation != 6 {
		t.Errorf("incarnation %d, want one above the incarnation declared dead", incarnation)
	}
}

func TestFlappingRouterIsSuppressed(t *testing.T) {
	f := newFleet(3, 3)
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		f.Merge([]wire.Member{{Router: "router-1", Incarnation: ident.Incarnation(1 + i), State: fleet.Dead}}, now)
		f.RecordHeartbeat("router-1", ident.Incarnation(2+i), false, now)
	}
	placeable := func() bool {
		for _, r := range f.View().Placeable() {
			if r.ID == "router-1" {
				return true
			}
		}
		return false
	}
	if placeable() {
		t.Error("a router that returned three times within seconds may get new work at once")
	}
	f.Tick(now.Add(11 * time.Second))
	if !placeable() {
		t.Error("a router that has stayed for ten seconds may get no new work")
	}
}

func TestShrunkListIsAcceptedOnlyAfterADelay(t *testing.T) {
	f := newFleet(3, 9)
	short := list(3, 1)
	if f.ApplyList(short, start) {
		t.Error("the shrunk list was accepted at once")
	}
	if len(f.View().Engines()) != 9 {
		t.Errorf("%d engines, want all that were known", len(f.View().Engines()))
	}
	if !f.ApplyList(short, start.Add(fleet.ShrunkListDelay)) {
		t.Error("the shrunk list was not accepted after the delay")
	}
}
