package router_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

// TestChatsOutlastSilentEngines guards against chats that end because their engine is silent although no other engine can go on, or there is no budget for
// another attempt: as many chats as slots are silent at once.
func TestChatsOutlastSilentEngines(t *testing.T) {
	const (
		chats = 16
		// limit is the time after which an engine counts as silent, and silence how long all engines are.
		limit, silence = 500 * time.Millisecond, 1200 * time.Millisecond
	)
	for _, tt := range []struct {
		engines int
		// begun says that the answers have begun before the silence.
		begun bool
	}{{1, false}, {1, true}, {2, false}, {2, true}} {
		t.Run(fmt.Sprintf("%d engines, answers have begun: %t", tt.engines, tt.begun), func(t *testing.T) {
			t.Parallel()
			config := site.DefaultConfig()
			config.Engines, config.Engine.Slots, config.Engine.DecodePerToken, config.Engine.BatchSlowdown = tt.engines, chats, 40*time.Millisecond, 0
			d, err := embedded.Start(config, embedded.Options{Routers: 3, AdjustSettings: func(s *settings.Settings) {
				shortenTimeouts(s)
				s.Routing.FirstTokenTimeout, s.Routing.StallTimeout = tomlfile.NewDuration(limit), tomlfile.NewDuration(limit)
			}})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(d.Close)
			hang := func(hang bool) {
				for _, e := range d.Site.Engines {
					e.SetFaults(engine.Faults{Hang: hang})
				}
			}
			ctx, c := testContext(t), newCaller(t, d)
			hang(!tt.begun)
			var group sync.WaitGroup
			for i := range chats {
				group.Go(func() {
					if err := streamChat(ctx, c, d.Site.Config.Model, i); err != nil {
						t.Error(err)
					}
				})
			}
			if tt.begun {
				time.Sleep(200 * time.Millisecond)
				hang(true)
			}
			time.Sleep(silence)
			hang(false)
			group.Wait()
			starts := 0
			for _, e := range d.Site.Engines {
				starts += len(e.Log())
			}
			if tt.engines == 1 && starts != chats {
				t.Errorf("%d starts of %d chats at the only engine", starts, chats)
			}
		})
	}
}
