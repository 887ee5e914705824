package router_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/kv"
	"github.com/vanillaroute/vanillaroute/standin/service"
)

const (
	pauseDuration     = 2500 * time.Millisecond
	cutDuration       = 2500 * time.Millisecond
	outageDuration    = 1500 * time.Millisecond
	pairSeed          = 20261204
	sampledCells      = 24
	sampledPairs      = 40
	matrixParallelism = 4
)

var (
	matrixAll  = flag.Bool("matrix.all", false, "run every cell of the fault matrix and a sample of fault pairs")
	matrixSeed = flag.Uint64("matrix.seed", pairSeed, "seed of the sampled cells and pairs")

	steps = []string{
		"addressAsked", "authenticated", "limited", "picked", "queued", "intent", "intentWritten", "sent",
		"firstToken", "event", "lastToken", "serviceAnswered", "outcomeRecorded", "answered", "drained",
	}

	faults = []fault{
		{name: "engineCrash", apply: func(c *cell) { c.busiestEngine().SetFaults(engine.Faults{Crash: true, RestartMs: 500}) }},
		{name: "engineHang", apply: func(c *cell) { c.injectEngineFaults(engine.Faults{Hang: true}, outageDuration) }},
		{name: "slowEngine", apply: func(c *cell) { c.injectEngineFaults(engine.Faults{SlowFactor: 10}, outageDuration) }},
		{name: "engineLeaving", apply: func(c *cell) { c.busiestEngine().SetFaults(engine.Faults{AnnounceLeaving: true}) }},
		{name: "streamCut", apply: func(c *cell) { c.busiestEngine().SetFaults(engine.Faults{DropReply: 3}) }},
		{name: "routerKill", allowUnknown: true, apply: func(c *cell) { c.killRouter(c.faultedRouter) }},
		{name: "routerPause", allowUnknown: true, apply: func(c *cell) { c.pauseRouter(c.faultedRouter) }},
		{name: "linkCutOneWay", allowUnknown: true, apply: func(c *cell) { c.cutLink(c.faultedRouter, false) }},
		{name: "linkCutBothWays", allowUnknown: true, apply: func(c *cell) { c.cutLink(c.faultedRouter, true) }},
		{name: "listDisagreement", apply: func(c *cell) { c.shrinkList() }},
		{name: "storeDown", allowNotRun: true, allowUnknown: true, apply: func(c *cell) { c.injectStoreFaults(kv.Faults{Down: true}, outageDuration) }},
		{name: "storeSlow", allowNotRun: true, apply: func(c *cell) { c.injectStoreFaults(kv.Faults{DelayMs: 700}, outageDuration) }},
		{name: "storeAnswerLost", apply: func(c *cell) { c.injectStoreFaults(kv.Faults{DropReplies: 3}, outageDuration) }},
		{name: "serviceAnswerLost", allowUnknown: true, apply: func(c *cell) { c.injectServiceFaults(service.Faults{DropReply: 2}) }},
		{name: "serviceLeaving", apply: func(c *cell) { c.d.Site.Services[0].SetFaults(service.Faults{Leaving: true}) }},
		{name: "callerResend", apply: func(c *cell) { c.resendBookings() }},
		{name: "engineFlap", apply: func(c *cell) { c.flapEngine() }},
		{name: "watcherPausedPastLease", allowUnknown: true, apply: func(c *cell) { c.pauseRouterFor(c.faultedRouter, 4*time.Second) }},
	}
)

// fault is one kind of failure. A booking may end with "outcomeUnknown" only if allowUnknown is set, and with "notRun" only
// if allowNotRun is set.
type fault struct {
	name         string
	allowUnknown bool
	allowNotRun  bool
	apply        func(*cell)
}

// TestFaultMatrix injects each fault at each step. Without -matrix.all it runs a seeded sample of the cells.
func TestFaultMatrix(t *testing.T) {
	slots := make(chan struct{}, matrixParallelism)
	random := rand.New(rand.NewPCG(*matrixSeed, 0))
	sampled := make(map[int]bool)
	for _, i := range random.Perm(len(faults) * len(steps))[:sampledCells] {
		sampled[i] = true
	}
	for i, f := range faults {
		for j, step := range steps {
			if !*matrixAll && !sampled[i*len(steps)+j] {
				continue
			}
			t.Run(f.name+"/"+step, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				runCell(t, []fault{f}, []string{step})
			})
		}
	}
}

// TestFaultPairs injects two faults at two steps, for a seeded sample of pairs.
func TestFaultPairs(t *testing.T) {
	if !*matrixAll {
		t.Skip("pairs run with -matrix.all")
	}
	slots := make(chan struct{}, matrixParallelism)
	random := rand.New(rand.NewPCG(*matrixSeed, 1))
	for range sampledPairs {
		a, b := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		at, bt := steps[random.IntN(len(steps))], steps[random.IntN(len(steps))]
		t.Run(fmt.Sprintf("%s/%s+%s/%s", a.name, at, b.name, bt), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runCell(t, []fault{a, b}, []string{at, bt})
		})
	}
}
