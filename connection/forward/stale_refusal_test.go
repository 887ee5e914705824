package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// rawEngine is an engine whose answers are written byte by byte. It counts its connections.
type rawEngine struct {
	address string
	conns   atomic.Int32
}

// startRawEngine starts an engine that writes what answer returns for the n-th request of a connection.
func startRawEngine(t *testing.T, answer func(n int, id string) []string) *rawEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &rawEngine{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			go serveRaw(c, answer)
		}
	}()
	return e
}

func serveRaw(c net.Conn, answer func(n int, id string) []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		for _, part := range answer(n, req.Header.Get(testNames.RequestID)) {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
			// The parts arrive one after the other.
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// rawAnswer returns an answer with a status line, header lines and a body.
func rawAnswer(status, id, lines, body string) string {
	if id != "" {
		lines += testNames.RequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(body), body)
}

// useRaw replaces the engines by one that is registered under several ids.
func (f *fixture) useRaw(e *rawEngine, ids ...ident.Engine) {
	var all []engines.Engine
	for _, id := range ids {
		all = append(all, engines.Engine{ID: id, Service: service, Address: e.address})
	}
	f.engines.Store(engines.NewList(all))
}

// TestRepeatedRefusalIsNotTakenForAnAnswer guards against telling a caller that its request was not run, or running it again, because an engine
// repeats an earlier refusal on a kept connection.
func TestRepeatedRefusalIsNotTakenForAnAnswer(t *testing.T) {
	sealed := testNames.ResponseSeal + ": seal\r\n"
	notRun := testNames.NotRun + ": 1\r\n"
	refusals := []struct {
		status, lines string
		// retried says that another engine gets the request.
		retried bool
	}{
		{"503 Service Unavailable", notRun, true},
		{"429 Too Many Requests", notRun, true},
		{"408 Request Timeout", notRun, true},
		{"400 Bad Request", notRun, true},
		{"421 Misdirected Request", "", true},
		{"404 Not Found", "", false},
	}
	cases := []struct {
		name string
		// first and second are the ids of the requests, and named says that the repeated refusal bears the first one.
		first, second string
		named         bool
		// engines are the ids under which the one engine is registered.
		engines []ident.Engine
		// status is the caller's for the second request.
		status int
	}{
		{"without id", "r1", "r2", false, []ident.Engine{"e1"}, 502},
		{"of another id", "r1", "r2", true, []ident.Engine{"e1"}, 200},
		{"of the same id", "r1", "r1", true, []ident.Engine{"e1"}, 200},
		{"of the same id, of an engine with two ids", "r1", "r1", true, []ident.Engine{"e1", "e2"}, 200},
		{"to requests without id", "", "", false, []ident.Engine{"e1"}, 200},
	}
	for _, refusal := range refusals {
		for _, tt := range cases {
			t.Run(refusal.status+" "+tt.name, func(t *testing.T) {
				t.Parallel()
				var runs, requests atomic.Int32
				engine := startRawEngine(t, func(n int, id string) []string {
					repeated := ""
					if tt.named {
						repeated = tt.first
					}
					if requests.Add(1) == 1 {
						return []string{rawAnswer(refusal.status, id, refusal.lines+sealed, "refused")}
					}
					runs.Add(1)
					if n == 1 {
						return []string{rawAnswer("200 OK", id, sealed, "ok")}
					}
					return []string{rawAnswer(refusal.status, repeated, refusal.lines, "refused"), rawAnswer("200 OK", id, sealed, "ok")}
				})
				f := newFixture(t, routing.Route{Kind: routing.NonIdempotent}, nil)
				f.useRaw(engine, tt.engines...)
				var status int
				for i, id := range []string{tt.first, tt.second} {
					resp, body, err := f.send(t, func(r *http.Request) {
						r.Header.Del(testNames.RequestID)
						if id != "" {
							r.Header.Set(testNames.RequestID, id)
						}
					})
					if err != nil {
						t.Fatal(err)
					}
					status = resp.StatusCode
					if status == http.StatusOK && body != "ok" {
						t.Fatalf("request %d got %q", i, body)
					}
					if i == 0 && len(tt.engines) > 1 {
						break
					}
				}
				want := tt.status
				if !refusal.retried && len(tt.engines) > 1 {
					want = http.StatusNotFound
				}
				if status != want || runs.Load() > 1 {
					t.Fatalf("status %d, want %d, after %d runs on %d connections", status, want, runs.Load(), engine.conns.Load())
				}
			})
		}
	}
}

// TestRefusalsDoNotCostConnections guards against a new connection for each request while an engine refuses.
func TestRefusalsDoNotCostConnections(t *testing.T) {
	const count = 60
	engine := startRawEngine(t, func(_ int, id string) []string {
		return []string{rawAnswer("503 Service Unavailable", id, testNames.NotRun+": 1\r\n", "refused")}
	})
	f := newFixture(t, routing.Route{Kind: routing.NonIdempotent}, nil)
	f.useRaw(engine, "e1")
	for i := range count {
		resp, _, err := f.send(t, func(r *http.Request) { r.Header.Set(testNames.RequestID, fmt.Sprint("r", i)) })
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("got %v, %v", resp, err)
		}
	}
	if n := engine.conns.Load(); n != 1 {
		t.Fatalf("%d connections for %d refusals", n, count)
	}
}
