package router_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/kv"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

type (
	// sentBytes counts the bytes that each router writes to its peers.
	sentBytes struct {
		mu       sync.Mutex
		byRouter map[ident.Router]int64
	}

	countingConn struct {
		net.Conn
		self  ident.Router
		count *sentBytes
	}
)

func (c countingConn) Write(p []byte) (int, error) {
	c.count.mu.Lock()
	c.count.byRouter[c.self] += int64(len(p))
	c.count.mu.Unlock()
	return c.Conn.Write(p)
}

// takeMax returns the router that wrote the most bytes and resets all counts.
func (s *sentBytes) takeMax() (ident.Router, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var id ident.Router
	highest := int64(0)
	for r, n := range s.byRouter {
		if n > highest {
			id, highest = r, n
		}
	}
	s.byRouter = make(map[ident.Router]int64)
	return id, highest
}

// TestControlTrafficStaysWithinBudget counts the bytes on the peer connections of nine routers that serve no requests, while
// the fleet is idle, while lists and engines change, and while the store is down.
func TestControlTrafficStaysWithinBudget(t *testing.T) {
	if testing.Short() {
		t.Skip("measures for several seconds")
	}
	count := &sentBytes{byRouter: make(map[ident.Router]int64)}
	d := deploy(t, embedded.Options{Routers: 9, WrapPeer: func(self, _ ident.Router, c net.Conn) net.Conn { return countingConn{c, self, count} }})
	phases := []struct {
		name     string
		duration time.Duration
		do       func(elapsed time.Duration, step int)
	}{
		{"rest", 4 * time.Second, func(time.Duration, int) {}},
		{"churn", 6 * time.Second, func(_ time.Duration, step int) { churn(t, d, step) }},
		{"outage", 4 * time.Second, func(_ time.Duration, step int) {
			if step == 0 {
				d.Site.Store.SetFaults(kv.Faults{Down: true})
			}
		}},
	}
	for _, p := range phases {
		count.takeMax()
		start := time.Now()
		for step := 0; time.Since(start) < p.duration; step++ {
			p.do(time.Since(start), step)
			time.Sleep(250 * time.Millisecond)
		}
		elapsed := time.Since(start).Seconds()
		id, sent := count.takeMax()
		t.Logf("%s: router %s sent the most, %.0f bytes per second", p.name, id, float64(sent)/elapsed)
		if allowed := budget.Rate*elapsed + budget.Burst; float64(sent) > allowed {
			t.Errorf("%s: router %s sent %d bytes in %.1f s, budget allows %.0f", p.name, id, sent, elapsed, allowed)
		}
	}
}

// churn adds a plan to the list and, in turn, makes one engine join, leave or crash.
func churn(t *testing.T, d *embedded.Deployment, step int) {
	t.Helper()
	p := lists.PlanEntry{Organisation: ident.Organisation(fmt.Sprint("churn-", step)), Plan: "small", KeyHashes: []string{lists.HashKey(fmt.Sprint(step))}}
	d.Site.Store.Put(p.Key(), encode(t, p))
	switch step % 3 {
	case 0:
		if _, err := d.Site.AddEngine(fmt.Sprint("churn-", step), "brest"); err != nil {
			t.Error(err)
		}
	case 1:
		d.Site.Engines[step%10].SetFaults(engine.Faults{AnnounceLeaving: true})
	default:
		d.Site.Engines[step%10].SetFaults(engine.Faults{Crash: true, RestartMs: 300})
	}
}
