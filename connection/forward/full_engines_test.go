package forward

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

// TestFullEnginesAreAskedAgainOnceTheyHaveAnswered guards against callers that wait much longer than the engines need for what waits there, or not long enough.
func TestFullEnginesAreAskedAgainOnceTheyHaveAnswered(t *testing.T) {
	const answers = 8
	for _, tt := range []struct {
		name       string
		engineTime time.Duration
		// ended says that the engines have ended instead of being full.
		ended       bool
		least, most time.Duration
	}{
		{"no answer yet", 0, false, retryAfterOverload, retryAfterOverload},
		{"fast answers", time.Millisecond, false, retryAfterOtherInstance, 100 * time.Millisecond},
		{"slow answers", 150 * time.Millisecond, false, 140 * time.Millisecond, 290 * time.Millisecond},
		{"unreachable engines", time.Millisecond, true, retryAfterOverload, retryAfterOverload},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var full atomic.Bool
			f := newFixture(t, routing.Route{Kind: routing.NonIdempotent, MaxEngines: 1, TargetFirstByte: time.Second}, func(_ int, w http.ResponseWriter, _ *http.Request) {
				if full.Load() {
					w.Header().Set(testNames.NotRun, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				time.Sleep(tt.engineTime)
				writeSealed(w, "ok")
			})
			for range answers {
				if tt.engineTime == 0 {
					break
				}
				if resp, _, err := f.send(t, nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("got %v, %v", resp, err)
				}
			}
			// Decisions are based on what other instances send.
			now := time.Now()
			f.handler.Admission.Merge(f.handler.Admission.Demands(now), now)
			full.Store(true)
			if tt.ended {
				for _, server := range f.servers {
					server.Close()
				}
			}
			resp, _, err := f.send(t, nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("got %v, %v", resp, err)
			}
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if wait := time.Duration(seconds * float64(time.Second)); err != nil || wait < tt.least || wait > tt.most {
				t.Errorf("Retry-After %q, want %s to %s", resp.Header.Get("Retry-After"), tt.least, tt.most)
			}
		})
	}
}
