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
	Steady  Name = "steady"
	NoNotes Name = "noNotes"
	Churn   Name = "churn"
	Slowed  Name = "slowed"
	Crest   Name = "crest"
)

const (
	churnPeriod  = 10 * time.Second
	slowFrom     = 3 * time.Second
	slowFactor   = 10
	slowEngines  = 2
	crestFactor  = 1.5
	capacityRate = 550
	tokenTime    = 4 * time.Millisecond
	prefillTime  = 100 * time.Microsecond
	cacheTokens  = 32 << 10
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
	crest.Interactive, crest.Standard, crest.Long, crest.ServiceCalls = crestFactor*capacityRate, 0, 0, 0
	crest.Stragglers = 0
	crest.Expect = replay.AnsweredOrRefused
	none := func(context.Context, *site.Site) {}
	return []Scenario{
		{Steady, steady, none},
		{NoNotes, noNotes, none},
		{Churn, steady, churn},
		{Slowed, steady, slow},
		{Crest, crest, none},
	}
}

// plan returns the site that the experiments run on.
func plan() site.Plan {
	p := site.Museum()
	p.Unlimited = true
	p.Engine = engine.Config{
		Slots: 8, CacheTokens: cacheTokens, PrefillPerToken: prefillTime, DecodePerToken: tokenTime, BatchSlowdown: 0.05, DefaultTokens: 32,
	}
	return p
}

// churn has an engine join and one leave by turns.
func churn(ctx context.Context, s *site.Site) {
	for n := 0; ; n++ {
		select {
		case <-time.After(churnPeriod / 2):
		case <-ctx.Done():
			return
		}
		if n%2 == 0 {
			_, _ = s.AddEngine(fmt.Sprintf("engine-new-%d", n), s.Plan.Domains[n%len(s.Plan.Domains)])
			continue
		}
		leaver := s.Engines[n/2]
		leaver.SetFaults(engine.Faults{Leaving: true})
		s.RemoveInstance(string(leaver.Config().ID))
	}
}

// slow has some engines run many times slower from a moment on.
func slow(ctx context.Context, s *site.Site) {
	select {
	case <-time.After(slowFrom):
	case <-ctx.Done():
		return
	}
	for _, e := range s.Engines[:slowEngines] {
		e.SetFaults(engine.Faults{SlowFactor: slowFactor})
	}
}
