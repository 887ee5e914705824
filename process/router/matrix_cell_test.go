package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/standin/check"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/kv"
	"github.com/vanillaroute/vanillaroute/standin/service"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

const (
	cellChats          = 12
	cellBookings       = 6
	eventsBeforeFault  = 60
	propagationTimeout = 5 * time.Second
	loadReportLag      = time.Second
	flapPeriod         = 150 * time.Millisecond
)

type (
	// cell is one run of the fault matrix: a deployment, a workload, and faults that are injected at given steps.
	cell struct {
		t   *testing.T
		ctx context.Context
		d   *embedded.Deployment
		// release is closed at the end of the test. Requests at killed routers block until then.
		release chan struct{}
		faults  []fault
		steps   []string
		// faultedRouter is the router that reached the step of the last injected fault.
		faultedRouter ident.Router

		mu         sync.Mutex
		injected   []bool
		stepCounts map[string]int
		killed     map[ident.Router]bool
		stopped    map[ident.Router]bool
		paused     map[ident.Router]time.Time
		cuts       map[[2]ident.Router]time.Time
		results    []booking
		group      sync.WaitGroup
	}

	// booking is the result that a caller got for one idempotency key.
	booking struct {
		key string
		err error
	}

	// cutConn drops the bytes written while its link is cut and fails afterwards.
	cutConn struct {
		net.Conn
		cell     *cell
		from, to ident.Router
		mu       sync.Mutex
		lossy    bool
	}
)

// runCell runs the workload with its faults and checks every invariant from the callers' results and the stand-ins' logs.
func runCell(t *testing.T, faults []fault, steps []string) {
	c := &cell{
		t: t, ctx: testContext(t), release: make(chan struct{}), faults: faults, steps: steps, injected: make([]bool, len(faults)),
		stepCounts: make(map[string]int), killed: make(map[ident.Router]bool), stopped: make(map[ident.Router]bool), paused: make(map[ident.Router]time.Time), cuts: make(map[[2]ident.Router]time.Time),
	}
	c.d = deploy(t, embedded.Options{
		FaultPoint: func(id ident.Router) func(string, ident.Request) {
			return func(s string, _ ident.Request) { c.onFaultPoint(id, s) }
		},
		WrapPeer: c.wrapConn,
	})
	t.Cleanup(func() { close(c.release) })
	key, revision := c.applyChange()
	c.workload()
	c.checkFaultsInjected()
	c.checkBookings()
	c.checkConfiguration(key, revision)
	c.checkEngines()
}

// onFaultPoint injects the faults of a step when a request reaches it, and blocks while the router is killed or paused.
func (c *cell) onFaultPoint(id ident.Router, step string) {
	c.mu.Lock()
	c.stepCounts[step]++
	var due []fault
	for i, f := range c.faults {
		early := c.steps[i] == "event" && c.stepCounts[step] < eventsBeforeFault
		if c.steps[i] == step && !c.injected[i] && !early && !c.killed[id] {
			c.injected[i] = true
			c.faultedRouter = id
			due = append(due, f)
		}
	}
	c.mu.Unlock()
	for _, f := range due {
		f.apply(c)
	}
	c.mu.Lock()
	killed, until := c.killed[id], c.paused[id]
	c.mu.Unlock()
	if killed {
		<-c.release
	}
	time.Sleep(time.Until(until))
}

// workload runs chats and bookings through all routers. It stops the first router if a fault belongs to the step "drained".
func (c *cell) workload() {
	for _, step := range c.steps {
		if step == "drained" {
			c.stopped[c.d.Nodes()[0].Settings.Router.ID] = true
			c.d.Nodes()[0].Stop()
			break
		}
	}
	addresses := c.d.Addresses()
	for i := range cellChats {
		first := i % len(addresses)
		seeds := slices.Concat(addresses[first:], addresses[:first])
		client := newCaller(c.t, c.d, seeds...)
		c.group.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			if err := streamChat(c.ctx, client, c.d.Site.Config.Model, i); err != nil {
				c.t.Errorf("chat %d: %v", i, err)
			}
		})
		if i < cellBookings {
			c.group.Go(func() { c.book(client, fmt.Sprintf("booking-%d", i)) })
		}
	}
	c.group.Wait()
}

func (c *cell) book(client *caller.Client, key string) {
	_, err := book(c.ctx, client, key, `{"tour":"workshop"}`)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, booking{key, err})
}

// applyChange raises an allowance in the store and returns the entry's key and revision.
func (c *cell) applyChange() (string, ident.Revision) {
	a := lists.Allowance{Plan: "large", Models: []ident.Model{c.d.Site.Config.Model}, Services: []ident.Service{"desk"}, RequestsPerSecond: 3000, TokensPerSecond: 3e6, Concurrency: 3000}
	value, err := json.Marshal(a)
	if err != nil {
		c.t.Fatal(err)
	}
	return a.Key(), ident.Revision(c.d.Site.Store.Put(a.Key(), value))
}

// checkFaultsInjected fails the test if a step of the cell was never reached, since the cell then tests nothing.
func (c *cell) checkFaultsInjected() {
	const timeout = 5 * time.Second
	deadline := time.Now().Add(timeout)
	for i := range c.faults {
		for !c.isInjected(i) {
			if time.Now().After(deadline) {
				c.t.Errorf("step %s was not reached", c.steps[i])
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (c *cell) isInjected(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.injected[i]
}

// checkBookings compares the outcomes that callers got with the executions that the services logged.
func (c *cell) checkBookings() {
	runs := check.Executions(c.d.Site.Services)
	allowUnknown, allowNotRun := false, false
	for _, f := range c.faults {
		allowUnknown = allowUnknown || f.allowUnknown
		allowNotRun = allowNotRun || f.allowNotRun
	}
	for _, r := range c.results {
		n := runs[r.key]
		var callErr *caller.Error
		switch {
		case n > 1:
			c.t.Errorf("%s ran %d times", r.key, n)
		case r.err == nil && n != 1:
			c.t.Errorf("%s was answered but ran %d times", r.key, n)
		case r.err == nil:
		case !errors.As(r.err, &callErr):
			c.t.Errorf("%s: error without an outcome: %v", r.key, r.err)
		case callErr.Outcome == "notRun" && n != 0:
			c.t.Errorf("%s was refused as not run but ran %d times", r.key, n)
		case callErr.Outcome == "notRun" && !allowNotRun, callErr.Outcome == "outcomeUnknown" && !allowUnknown, callErr.Outcome == "failed":
			c.t.Errorf("%s: %v", r.key, r.err)
		}
	}
}

// checkConfiguration waits until the change is active on every live router.
func (c *cell) checkConfiguration(key string, revision ident.Revision) {
	deadline := time.Now().Add(propagationTimeout)
	for _, n := range c.d.Nodes() {
		id := n.Settings.Router.ID
		for {
			c.mu.Lock()
			down := c.killed[id] || c.stopped[id]
			if until := c.paused[id]; time.Until(until) > 0 && time.Until(until)+propagationTimeout > time.Until(deadline) {
				deadline = until.Add(propagationTimeout)
			}
			c.mu.Unlock()
			if down || n.Router.EntryRevision(key) == revision {
				break
			}
			if time.Now().After(deadline) {
				c.t.Errorf("router %s has revision %d of %s, want %d", id, n.Router.EntryRevision(key), key, revision)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// checkEngines checks that no engine exceeded its load bound and that a leaving engine started no request after leaveWithin.
func (c *cell) checkEngines() {
	const leaveWithin = 3 * time.Second
	for _, e := range check.BoundViolations(c.d.Site.Engines, c.d.Site.MinListedEngines, 1.25, loadReportLag) {
		c.t.Errorf("engine %s ran %d with a bound of %d", e.Engine, e.Running, e.Bound)
	}
	for _, e := range c.d.Site.Engines {
		if left := e.LeavingSince(); !left.IsZero() {
			if late := check.StartedAfter(e, left.Add(leaveWithin)); len(late) > 0 {
				c.t.Errorf("leaving engine %s started %d requests after %s", e.Config().ID, len(late), leaveWithin)
			}
		}
	}
}

func (c *cell) killRouter(id ident.Router) {
	c.mu.Lock()
	c.killed[id] = true
	c.mu.Unlock()
	for _, n := range c.d.Nodes() {
		if n.Settings.Router.ID == id {
			n.Kill()
		}
	}
}

func (c *cell) pauseRouter(id ident.Router) { c.pauseRouterFor(id, pauseDuration) }

func (c *cell) pauseRouterFor(id ident.Router, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused[id] = time.Now().Add(d)
}

// cutLink cuts the link from a router to the next one, in one direction or both.
func (c *cell) cutLink(id ident.Router, both bool) {
	nodes := c.d.Nodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(cutDuration)
	for i, n := range nodes {
		if n.Settings.Router.ID != id {
			continue
		}
		other := nodes[(i+1)%len(nodes)].Settings.Router.ID
		c.cuts[[2]ident.Router{id, other}] = until
		if both {
			c.cuts[[2]ident.Router{other, id}] = until
		}
	}
}

func (c *cell) wrapConn(self, peer ident.Router, conn net.Conn) net.Conn {
	return &cutConn{Conn: conn, cell: c, from: self, to: peer}
}

func (c *cell) isCut(from, to ident.Router) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.cuts[[2]ident.Router{from, to}]) || time.Now().Before(c.paused[from])
}

// Write drops the bytes while the link is cut or the sender is paused. It then closes the connection, since a stream with
// missing bytes cannot be decoded.
func (c *cutConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cell.isCut(c.from, c.to) {
		c.lossy = true
		return len(p), nil
	}
	if c.lossy {
		_ = c.Close()
		return 0, errors.New("connection lost bytes")
	}
	return c.Conn.Write(p)
}

func (c *cell) busiestEngine() *engine.Engine {
	busiest, highest := c.d.Site.Engines[0], -1
	for _, e := range c.d.Site.Engines {
		running := 0
		for _, entry := range e.Log() {
			if entry.Outcome == engine.Running && !entry.Started.IsZero() {
				running++
			}
		}
		if running > highest {
			busiest, highest = e, running
		}
	}
	return busiest
}

func (c *cell) injectEngineFaults(f engine.Faults, d time.Duration) {
	e := c.busiestEngine()
	e.SetFaults(f)
	time.AfterFunc(d, func() { e.SetFaults(engine.Faults{}) })
}

func (c *cell) injectStoreFaults(f kv.Faults, d time.Duration) {
	c.d.Site.Store.SetFaults(f)
	time.AfterFunc(d, func() { c.d.Site.Store.SetFaults(kv.Faults{}) })
}

func (c *cell) injectServiceFaults(f service.Faults) {
	for _, s := range c.d.Site.Services {
		s.SetFaults(f)
	}
}

// shrinkList removes the faulted router from the instance list and adds it again after outageDuration. The routers disagree
// about the list for some time, since they read it at different times.
func (c *cell) shrinkList() {
	i, ok := c.d.Site.Instance(string(c.faultedRouter))
	if !ok {
		return
	}
	c.d.Site.RemoveInstance(i.ID)
	time.AfterFunc(outageDuration, func() { c.d.Site.AddInstance(i) })
}

// resendBookings sends every booking a second time while the first call is in flight.
func (c *cell) resendBookings() {
	for i := range cellBookings {
		client := newCaller(c.t, c.d)
		c.group.Go(func() { c.book(client, fmt.Sprintf("booking-%d", i)) })
	}
}

// flapEngine makes the busiest engine crash and restart several times in quick succession.
func (c *cell) flapEngine() {
	e := c.busiestEngine()
	const crashes = 3
	c.group.Go(func() {
		for range crashes {
			e.SetFaults(engine.Faults{Crash: true, RestartMs: 50})
			time.Sleep(flapPeriod)
		}
	})
}
