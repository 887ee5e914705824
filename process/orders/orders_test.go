package orders_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/gateway"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/orders"
	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/kv"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

func engineOf(id string, maxModels int, models ...ident.Model) fleet.Instance {
	return fleet.Instance{ID: id, Role: fleet.RoleEngine, State: fleet.StateLive, MaxModels: maxModels, Models: models}
}

func TestPlanKeepsTheLastEngineOfEachModel(t *testing.T) {
	tests := []struct {
		name    string
		engines []fleet.Instance
		wanted  []ident.Model
		orders  int
		dropped ident.Model
	}{
		{"nothing wanted", []fleet.Instance{engineOf("a", 1, "m")}, nil, 0, ""},
		{"already held", []fleet.Instance{engineOf("a", 1, "m")}, []ident.Model{"m"}, 0, ""},
		{"engine with free capacity", []fleet.Instance{engineOf("a", 2, "m")}, []ident.Model{"m", "n"}, 1, ""},
		{"model to drop has another engine", []fleet.Instance{engineOf("a", 1, "m"), engineOf("b", 1, "m")}, []ident.Model{"m", "n"}, 1, "m"},
		{"model to drop is on its last engine", []fleet.Instance{engineOf("a", 1, "m")}, []ident.Model{"m", "n"}, 0, ""},
		{"two models wanted, one can be dropped", []fleet.Instance{engineOf("a", 1, "m"), engineOf("b", 1, "m")}, []ident.Model{"m", "n", "o"}, 1, "m"},
		{"leaving engine", []fleet.Instance{{ID: "a", Role: fleet.RoleEngine, State: fleet.StateLeaving, MaxModels: 2}}, []ident.Model{"n"}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := orders.Plan(tt.engines, tt.wanted)
			if len(plan) != tt.orders {
				t.Fatalf("got %v, want %d orders", plan, tt.orders)
			}
			for _, o := range plan {
				if o.Dropped != tt.dropped {
					t.Errorf("dropped %q, want %q", o.Dropped, tt.dropped)
				}
			}
		})
	}
}

// fixture holds two engines and the address of a store.
type fixture struct {
	engines []*engine.Engine
	store   string
}

func newFixture(t *testing.T, checksOrders bool) *fixture {
	t.Helper()
	s := &fixture{}
	for i := range 2 {
		config := engine.Config{ID: ident.Engine(fmt.Sprint("engine-", i)), Models: []ident.Model{"m"}, Slots: 1, ChecksOrders: checksOrders}
		e := engine.Start(config, listen(t))
		t.Cleanup(e.Close)
		s.engines = append(s.engines, e)
	}
	ln := listen(t)
	server := &http.Server{Handler: kv.New(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	s.store = ln.Addr().String()
	return s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func (s *fixture) list() []fleet.Instance {
	var list []fleet.Instance
	for _, e := range s.engines {
		config := e.Config()
		list = append(list, fleet.Instance{
			ID: string(config.ID), Role: fleet.RoleEngine, State: fleet.StateLive, Address: e.Address(), Models: config.Models, ChecksOrders: config.ChecksOrders,
		})
	}
	return list
}

// run starts the holder of a router. It should hold the lease while chosen is true. point is called after each check of the lease, before the
// order is sent.
func (s *fixture) run(ctx context.Context, id ident.Router, wanted func() []ident.Model, chosen *atomic.Bool, point func()) {
	h := orders.New(orders.Dependencies{
		Self: id, Store: gateway.New(s.store), Log: zap.NewNop(), Engines: s.list, Wanted: wanted,
		ShouldHold: chosen.Load, LoadLimiter: rate.NewLimiter(rate.Inf, 1), FaultPoint: func(string, ident.Request) { point() },
	})
	go func() { _ = h.Run(ctx) }()
}

func (s *fixture) holderCount(m ident.Model) int {
	n := 0
	for _, e := range s.engines {
		if slices.Contains(e.Models(), m) {
			n++
		}
	}
	return n
}

// TestHolderPausedPastItsLease pauses a holder after the check of its lease, until a second router has acquired the lease and sent an order.
// The first holder must then not send its outdated order, whether or not the engines check fencing numbers.
func TestHolderPausedPastItsLease(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for leases to end")
	}
	for _, checksOrders := range []bool{true, false} {
		t.Run(fmt.Sprint("engines check fences: ", checksOrders), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, checksOrders)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var first, second atomic.Bool
			first.Store(true)
			paused, resume := make(chan struct{}), make(chan struct{})
			var once atomic.Bool
			s.run(ctx, "router-a", func() []ident.Model { return []ident.Model{"m", "old"} }, &first, func() {
				if once.CompareAndSwap(false, true) {
					close(paused)
					<-resume
				}
			})
			<-paused
			first.Store(false)
			second.Store(true)
			s.run(ctx, "router-b", func() []ident.Model { return []ident.Model{"m", "new"} }, &second, func() {})
			await(t, "the second holder's model", func() bool { return s.holderCount("new") == 1 })
			before := len(s.engines[0].Orders()) + len(s.engines[1].Orders())
			close(resume)
			time.Sleep(2 * orders.Period)
			if after := len(s.engines[0].Orders()) + len(s.engines[1].Orders()); after != before {
				t.Errorf("%d orders were sent after another router had acquired the lease", after-before)
			}
			if s.holderCount("new") != 1 || s.holderCount("m") != 1 || s.holderCount("old") != 0 {
				t.Errorf("engines: %d hold new, %d hold m, %d hold old", s.holderCount("new"), s.holderCount("m"), s.holderCount("old"))
			}
		})
	}
}

// TestOrdersCarryAnAcceptedFence checks that the orders of a holder carry a fencing number, and that engines that check the number accept
// them.
func TestOrdersCarryAnAcceptedFence(t *testing.T) {
	s := newFixture(t, true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var chosen atomic.Bool
	chosen.Store(true)
	s.run(ctx, "router-a", func() []ident.Model { return []ident.Model{"m", "n"} }, &chosen, func() {})
	await(t, "the model", func() bool { return s.holderCount("n") == 1 })
	for _, e := range s.engines {
		for _, o := range e.Orders() {
			if o.Fence == 0 || !o.Accepted {
				t.Errorf("order %+v has no fencing number or was refused", o)
			}
		}
	}
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const timeout = 30 * time.Second
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not appear within %s", what, timeout)
		}
	}
}
