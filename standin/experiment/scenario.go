package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillaroute/vanillaroute/replay"
	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/site"
)

// Names of the scenarios.
const (
	Steady         Name = "steady"
	NoLongRequests Name = "noNotes"
	Churn          Name = "churn"
	Slowed         Name = "slowed"
	Overload       Name = "crest"
)

const (
	churnPeriod               = 10 * time.Second
	slowFrom                  = 3 * time.Second
	slowFactor                = 10
	slowEngineCount           = 2
	overloadFactor            = 1.5
	capacityRequestsPerSecond = 550
	decodePerToken            = 4 * time.Millisecond
	prefillPerToken           = 100 * time.Microsecond
	cacheTokens               = 32 << 10
)

type (
	// Name identifies a scenario.
	Name string

	// Scenario is the mix of requests in a trace and the events at the engines during the trace.
	Scenario struct {
		Name   Name
		Mix    replay.Mix
		Events func(ctx context.Context, s *site.Site)
	}
)

// Scenarios returns all scenarios with the seed and the duration of their traces.
func Scenarios(seed uint64, d time.Duration) []Scenario {
	steady := replay.MuseumMix(seed, d)
	noLongRequests := steady
	noLongRequests.Long = 0
	overload := steady
	overload.Interactive, overload.Standard, overload.Long, overload.ServiceCalls = overloadFactor*capacityRequestsPerSecond, 0, 0, 0
	overload.Stragglers = 0
	overload.Expect = replay.AnsweredOrRefused
	noEvents := func(context.Context, *site.Site) {}
	return []Scenario{
		{Steady, steady, noEvents},
		{NoLongRequests, noLongRequests, noEvents},
		{Churn, steady, churnEngines},
		{Slowed, steady, slowDownEngines},
		{Overload, overload, noEvents},
	}
}

// siteConfig returns the configuration of the site for the experiments.
func siteConfig() site.Config {
	c := site.DefaultConfig()
	c.Unlimited = true
	c.Engine = engine.Config{
		Slots: 8, CacheTokens: cacheTokens, PrefillPerToken: prefillPerToken, DecodePerToken: decodePerToken, BatchSlowdown: 0.05, DefaultTokens: 32,
	}
	return c
}

// churnEngines alternately adds an engine and shuts one down, until ctx ends.
func churnEngines(ctx context.Context, s *site.Site) {
	for n := 0; ; n++ {
		select {
		case <-time.After(churnPeriod / 2):
		case <-ctx.Done():
			return
		}
		if n%2 == 0 {
			_, _ = s.AddEngine(fmt.Sprintf("engine-new-%d", n), s.Config.Domains[n%len(s.Config.Domains)])
			continue
		}
		leaving := s.Engines[n/2]
		leaving.SetFaults(engine.Faults{Leaving: true})
		s.RemoveInstance(string(leaving.Config().ID))
	}
}

// slowDownEngines slows some engines down by slowFactor after slowFrom.
func slowDownEngines(ctx context.Context, s *site.Site) {
	select {
	case <-time.After(slowFrom):
	case <-ctx.Done():
		return
	}
	for _, e := range s.Engines[:slowEngineCount] {
		e.SetFaults(engine.Faults{SlowFactor: slowFactor})
	}
}
