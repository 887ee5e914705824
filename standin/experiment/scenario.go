package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillaroute/vanillaroute/replay"
	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/site"
)

// Scenarios that the experiments know.
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

	// Scenario is a trace with what happens to the engines meanwhile.
	Scenario struct {
		Name   Name
		Mix    replay.Mix
		Events func(ctx context.Context, s *site.Site)
	}
)

// Scenarios returns all scenarios of a length and seed.
func Scenarios(seed uint64, d time.Duration) []Scenario {
	steady := replay.MuseumMix(seed, d)
	noNotes := steady
	noNotes.Long = 0
	crest := steady
	crest.Interactive, crest.Standard, crest.Long, crest.ServiceCalls = overloadFactor*capacityRequestsPerSecond, 0, 0, 0
	crest.Stragglers = 0
	crest.Expect = replay.AnsweredOrRefused
	none := func(context.Context, *site.Site) {}
	return []Scenario{
		{Steady, steady, none},
		{NoLongRequests, noNotes, none},
		{Churn, steady, churnEngines},
		{Slowed, steady, slowDownEngines},
		{Overload, crest, none},
	}
}

// siteConfig returns the site that the experiments run on.
func siteConfig() site.Config {
	p := site.DefaultConfig()
	p.Unlimited = true
	p.Engine = engine.Config{
		Slots: 8, CacheTokens: cacheTokens, PrefillPerToken: prefillPerToken, DecodePerToken: decodePerToken, BatchSlowdown: 0.05, DefaultTokens: 32,
	}
	return p
}

// churnEngines has an engine join and one leave by turns.
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
		leaver := s.Engines[n/2]
		leaver.SetFaults(engine.Faults{Leaving: true})
		s.RemoveInstance(string(leaver.Config().ID))
	}
}

// slowDownEngines has some engines run many times slower from a moment on.
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
