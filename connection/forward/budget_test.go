package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/request/retries"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// TestRetryWithoutEngineTakesNoBudget guards against refusals at the last engine of a service that use up the budget for real retries.
func TestRetryWithoutEngineTakesNoBudget(t *testing.T) {
	const refusals = 6
	tests := []struct {
		name  string
		route routing.Route
	}{
		{"non-idempotent", routing.Route{Kind: routing.NonIdempotent}},
		{"idempotent", routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.route, func(n int, w http.ResponseWriter, _ *http.Request) {
				if n <= refusals+1 {
					writeNotRun(w)
					return
				}
				writeSealed(w, "ok")
			})
			f.handler.Budget.SetPolicy(retries.Policy{Slack: 30, Window: 10 * time.Second}, time.Now())
			all := f.engines.Load().All()
			f.engines.Store(engines.NewList(all[:1]))
			for range refusals {
				if resp, _, err := f.send(t, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("got %v, %v from an engine that refuses", resp, err)
				}
			}
			f.engines.Store(engines.NewList(all))
			resp, body, err := f.send(t, nil)
			if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
				t.Fatalf("got %v, %q, %v with two more engines", resp, body, err)
			}
		})
	}
}
