package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

// TestBrokenAnswersAreLostAttempts guards against answers outside the grammar of HTTP/1.1 that reach callers, end the handling of the request or leave a load
// behind. A request that may run again is answered by another engine; any other fails without the promise that it has not run.
func TestBrokenAnswersAreLostAttempts(t *testing.T) {
	const (
		sealed   = "X-Request: r1\r\nX-Seal: seal\r\n"
		events   = "id: 1\ndata: a\n\n"
		measured = "Content-Length: 15\r\n\r\n" + events
	)
	broken := []struct{ name, answer string }{
		{"status 000", "HTTP/1.1 000 Zero\r\n" + sealed + measured},
		{"status 000 of a request that did not run", "HTTP/1.1 000 Zero\r\nX-Not-Run: 1\r\n" + sealed + measured},
		{"status 099", "HTTP/1.1 099 Low\r\n" + sealed + measured},
		{"status 600", "HTTP/1.1 600 High\r\n" + sealed + measured},
		{"status 999", "HTTP/1.1 999 High\r\n" + sealed + measured},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + sealed + measured},
		{"control byte in the reason", "HTTP/1.1 200 O\x00K\r\n" + sealed + measured},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n" + sealed + measured},
		{"another version", "HTTP/2.0 200 OK\r\n" + sealed + measured},
	}
	const resumed = "id: 2\ndata: b\n\n"
	routes := []struct {
		name  string
		route routing.Route
		// runs is how many engines get the request.
		runs int32
	}{
		{"idempotent", routing.Route{Kind: routing.Idempotent, MaxEngines: 2}, 2},
		{"non-idempotent", routing.Route{Kind: routing.NonIdempotent, MaxEngines: 2}, 1},
		{"resumable stream", routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: 2}, 2},
		{"stream", routing.Route{Kind: routing.Stream, MaxEngines: 2}, 1},
	}
	for _, tt := range broken {
		for _, r := range routes {
			t.Run(tt.name+"/"+r.name, func(t *testing.T) {
				t.Parallel()
				f := newSlowFixture(t, r.route, func(n int, w http.ResponseWriter, req *http.Request) {
					if n == 1 {
						writeRaw(w, tt.answer)
						return
					}
					w.Header().Set("Content-Type", streamMediaType)
					if req.Header.Get(testNames.LastEventID) == "1" {
						writeSealed(w, resumed)
						return
					}
					writeSealed(w, events+resumed)
				})
				resp, body, err := f.send(t, longDeadline)
				runs := f.runs.Load()
				switch {
				case runs != r.runs:
					t.Errorf("sent to %d engines, want %d", runs, r.runs)
				case r.runs == 1 && err == nil && (resp.StatusCode != http.StatusBadGateway || resp.Header.Get(testNames.ResponseSeal) != ""):
					t.Errorf("got %v with %q, want a failure that promises nothing", resp, body)
				case r.runs == 2 && (err != nil || resp.StatusCode != http.StatusOK || body != events+resumed):
					t.Errorf("got %v with %q, %v, want the other engine's answer", resp, body, err)
				}
				checkNothingIsLeft(t, f)
			})
		}
	}
}

// checkNothingIsLeft checks that an exchange has left neither a load nor a connection in use, and has not panicked.
func checkNothingIsLeft(t *testing.T, f *fixture) {
	t.Helper()
	within := time.Now().Add(longTimeout)
	for f.handler.Client.Counts().InUse > 0 && time.Now().Before(within) {
		time.Sleep(time.Millisecond)
	}
	for engine, load := range f.handler.Table.LocalLoads(time.Now()) {
		if load != 0 {
			t.Errorf("engine %v is left with a load of %d", engine, load)
		}
	}
	if n := f.handler.Client.Counts(); n.InUse != 0 {
		t.Errorf("%d connections are left in use", n.InUse)
	}
	if strings.Contains(f.handler.Metrics.String(), `"panics"`) {
		t.Errorf("the request panicked: %s", f.handler.Metrics.String())
	}
}

// TestUnusualAnswersAreRelayedUnchanged guards against rejecting answers that the grammar of HTTP/1.1 allows, or that it allows recipients to accept.
func TestUnusualAnswersAreRelayedUnchanged(t *testing.T) {
	const (
		sealed = "X-Request: r1\r\nX-Seal: seal\r\n"
		whole  = "Content-Length: 4\r\n\r\nbody"
	)
	tests := []struct {
		name, answer string
		status       int
		field, value string
	}{
		{"unknown status", "HTTP/1.1 299 Odd\r\n" + sealed + whole, 299, "X-Seal", "seal"},
		{"last status", "HTTP/1.1 599 Odd\r\n" + sealed + whole, 599, "X-Seal", "seal"},
		{"no reason", "HTTP/1.1 200 \r\n" + sealed + whole, 200, "X-Seal", "seal"},
		{"no space after the status", "HTTP/1.1 200\r\n" + sealed + whole, 200, "X-Seal", "seal"},
		{"reason with a tab and bytes above 127", "HTTP/1.1 200 O\t\xe9K\r\n" + sealed + whole, 200, "X-Seal", "seal"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + sealed + whole, 200, "X-Seal", "seal"},
		{"no length", "HTTP/1.1 200 OK\r\n" + sealed + "\r\nbody", 200, "X-Seal", "seal"},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + sealed + whole, 200, "X-Seal", "seal"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSlowFixture(t, routing.Route{Kind: routing.NonIdempotent}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeRaw(w, tt.answer) })
			resp, body, err := f.send(t, longDeadline)
			if err != nil || resp.StatusCode != tt.status || body != "body" || resp.Header.Get(tt.field) != tt.value {
				t.Fatalf("got %v with %q, %v", resp, body, err)
			}
			checkNothingIsLeft(t, f)
		})
	}
}
