package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/request/cost"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/retries"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

const (
	key     = "key-one"
	service = ident.Service("s")
	// healthPath is the path at which the fake engines answer for themselves.
	healthPath = "/health"
	// testMemoryBytes is more than the tests need.
	testMemoryBytes = 64 << 20
	// longTimeout is longer than a busy machine delays a test. Under load the whole process has been seen to stand still for 1.8 s.
	longTimeout = time.Minute
)

var testNames = HeaderNames{
	RequestID: "X-Request", Deadline: "X-Deadline", Model: "X-Model", PromptParts: "X-Parts", LastEventID: "X-Last", Organisation: "X-Organisation",
	ExpectedEngine: "X-Expect", EngineID: "X-Engine", ResponseSeal: "X-Seal", NotRun: "X-Not-Run", Load: "X-Load", FetchFrom: "X-Fetch", Reserved: []string{"X-Expect", "X-Fetch", "X-Reserved"},
	ParseParts: func(s string) ([]string, []int) { return []string{s}, []int{100} },
	ParseLoad:  func(string) (placing.Report, bool) { return placing.Report{}, false },
}

type (
	// fixture is a handler with three fake engines.
	fixture struct {
		front        *httptest.Server
		handler      *Handler
		engines      atomic.Pointer[engines.List]
		servers      []*httptest.Server
		runs         atomic.Int32
		mu           sync.Mutex
		headers      []http.Header
		bodies       []string
		confirmedAge atomic.Int64
	}

	// fakeEngine answers the n-th request that any engine of the fixture receives.
	fakeEngine func(n int, w http.ResponseWriter, r *http.Request)
)

func newFixture(t testing.TB, route routing.Route, engine fakeEngine) *fixture {
	t.Helper()
	f := &fixture{}
	var all []engines.Engine
	for i := range 3 {
		id := fmt.Sprint("e", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == healthPath {
				w.Header().Set(testNames.EngineID, id)
				return
			}
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			f.headers = append(f.headers, r.Header.Clone())
			f.bodies = append(f.bodies, string(body))
			f.mu.Unlock()
			w.Header().Set(testNames.RequestID, r.Header.Get(testNames.RequestID))
			engine(int(f.runs.Add(1)), w, r)
		}))
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
		all = append(all, engines.Engine{ID: ident.Engine(id), Service: service, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	route.Host, route.PathPrefix, route.Backends = "h.example", "/p/", []routing.Backend{{Service: service, Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 2 * time.Second
	}
	route.MaxEngines = max(route.MaxEngines, 1)
	configuration := routing.New(routing.Content{
		Version: 1, Limits: routing.Limits{MaxBodyBytes: 1000}, Services: []routing.Service{{Name: service, HealthPath: healthPath}}, Routes: []routing.Route{route},
		Access: routing.Access{Organisations: []routing.Organisation{{Name: "museum", Keys: []string{key}}}},
	})
	f.engines.Store(engines.NewList(all))
	f.handler = New(Dependencies{
		Memory: sizelimit.NewBudget(testMemoryBytes),
		Names:  testNames, Limits: func() AgeLimits { return AgeLimits{MaxKeyAge: 4 * time.Second, MaxDenyAge: 3 * time.Second} }, Table: placing.New(placing.Policy{LoadBound: 1.5}),
		Budget: retries.New(retries.Policy{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, time.Now()), Client: upstream.New(), Metrics: metrics.NewRegistry(), Crashes: suspects.NewCrashes(), Admission: admission.New(), Costs: cost.New(), Holds: placing.NewHolds(), Log: zap.NewNop(),
		Snapshot: func() Snapshot {
			return Snapshot{Configuration: configuration, Engines: f.engines.Load(), ConfirmedAge: time.Duration(f.confirmedAge.Load()), Instances: 3}
		},
		Stop: func() Stop { return Stop{} }, Ending: context.Background(),
	})
	f.front = httptest.NewServer(f.handler)
	t.Cleanup(f.front.Close)
	return f
}

// newSlowFixture returns a fixture whose requests are not affected by a slow machine: no connection attempt, first event or gap between events takes so
// long that another engine is tried, and no request reaches its deadline if it is sent with longDeadline. It is for tests that count attempts and do not
// check times.
func newSlowFixture(t testing.TB, route routing.Route, engine fakeEngine) *fixture {
	t.Helper()
	route.Timeout, route.TargetFirstByte, route.TargetEventGap = longTimeout, longTimeout, longTimeout
	f := newFixture(t, route, engine)
	f.handler.Client.DialTimeout = longTimeout
	return f
}

// longDeadline lets the caller of a request wait for longTimeout.
func longDeadline(r *http.Request) {
	r.Header.Set(testNames.Deadline, strconv.FormatInt(longTimeout.Milliseconds(), 10))
}

// setDraining registers the engine at an address as draining.
func (f *fixture) setDraining(address string) {
	all := f.engines.Load().All()
	for i := range all {
		all[i].Draining = all[i].Draining || all[i].Address == address
	}
	f.engines.Store(engines.NewList(all))
}

// useLogger replaces the handler by one that logs to this logger.
func (f *fixture) useLogger(log *zap.Logger) {
	deps := f.handler.Dependencies
	deps.Log = log
	*f.handler = *New(deps)
}

func (f *fixture) send(t testing.TB, change func(*http.Request)) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.front.URL+"/p/x%2Fy?q=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(testNames.RequestID, "r1")
	req.Header.Set(testNames.Deadline, "1500")
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func writeSealed(w http.ResponseWriter, body string) {
	w.Header().Set(testNames.ResponseSeal, "seal")
	_, _ = io.WriteString(w, body)
}

func writeNotRun(w http.ResponseWriter) {
	w.Header().Set(testNames.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection() { panic(http.ErrAbortHandler) }

// TestFailuresByKind checks the caller's answer and the number of sends for each kind of request and failure.
func TestFailuresByKind(t *testing.T) {
	nonIdempotent := routing.Route{Kind: routing.NonIdempotent}
	idempotent := routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}
	tests := []struct {
		name   string
		route  routing.Route
		engine fakeEngine
		status int
		sends  int32
	}{
		{"good answer", nonIdempotent, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, "ok") }, 200, 1},
		{"not run by the first engine", nonIdempotent, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				writeNotRun(w)
				return
			}
			writeSealed(w, "ok")
		}, 200, 2},
		{"not run by any engine", nonIdempotent, func(_ int, w http.ResponseWriter, _ *http.Request) { writeNotRun(w) }, 503, 3},
		{"another engine at the address", nonIdempotent, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			writeSealed(w, "ok")
		}, 200, 2},
		{"non-idempotent and reset", nonIdempotent, func(int, http.ResponseWriter, *http.Request) { abortConnection() }, 502, 1},
		{"non-idempotent and a 503 without NotRun", nonIdempotent, func(_ int, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNames.ResponseSeal, "seal")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 502, 1},
		{"non-idempotent, not run by the first engine, then reset", nonIdempotent, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				writeNotRun(w)
				return
			}
			abortConnection()
		}, 502, 2},
		{"idempotent and reset once", idempotent, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				abortConnection()
			}
			writeSealed(w, "ok")
		}, 200, 2},
		{"idempotent and failing once", idempotent, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.Header().Set(testNames.ResponseSeal, "seal")
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			writeSealed(w, "ok")
		}, 200, 2},
		{"idempotent and always failing", idempotent, func(_ int, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNames.ResponseSeal, "seal")
			w.WriteHeader(http.StatusInternalServerError)
		}, 500, 2},
		{"success without the engine's seal", idempotent, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				_, _ = io.WriteString(w, "forged")
				return
			}
			writeSealed(w, "ok")
		}, 200, 2},
		{"content-encoded answer", idempotent, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				w.Header().Set("Content-Encoding", "gzip")
			}
			writeSealed(w, "ok")
		}, 200, 2},
		{"4xx of the engine is relayed", idempotent, func(_ int, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNames.ResponseSeal, "seal")
			w.WriteHeader(http.StatusUnprocessableEntity)
		}, 422, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.route, tt.engine)
			resp, body, err := f.send(t, nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || f.runs.Load() != tt.sends {
				t.Fatalf("status %d after %d sends, want %d after %d; body %q", resp.StatusCode, f.runs.Load(), tt.status, tt.sends, body)
			}
			if tt.status == 200 && (body != "ok" || resp.Header.Get(testNames.ResponseSeal) != "seal") {
				t.Fatalf("body %q, seal %q", body, resp.Header.Get(testNames.ResponseSeal))
			}
			if tt.status == 503 && resp.Header.Get("Retry-After") == "" {
				t.Fatal("503 without Retry-After")
			}
			if tt.status == 502 && resp.Header.Get(testNames.ResponseSeal) != "" {
				t.Fatal("502 of the handler carries the engine's seal")
			}
		})
	}
}

// leaveAfter lets the caller of a request leave after a time.
func leaveAfter(t testing.TB, patience time.Duration) func(*http.Request) {
	return func(r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), patience)
		t.Cleanup(cancel)
		*r = *r.WithContext(ctx)
	}
}

// TestNonIdempotentRequestRunsOnceAfterCallerDisconnects guards against a second run when the caller disconnects before the engine crashes.
func TestNonIdempotentRequestRunsOnceAfterCallerDisconnects(t *testing.T) {
	f := newFixture(t, routing.Route{Kind: routing.NonIdempotent}, func(int, http.ResponseWriter, *http.Request) {
		time.Sleep(150 * time.Millisecond)
		abortConnection()
	})
	_, _, err := f.send(t, leaveAfter(t, 50*time.Millisecond))
	if err == nil {
		t.Fatal("the caller did not disconnect")
	}
	time.Sleep(400 * time.Millisecond)
	if n := f.runs.Load(); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestRejectedRequestIsNotSentOnAfterItsCallerLeft guards against offering a request that an engine has rejected to another one for nobody.
func TestRejectedRequestIsNotSentOnAfterItsCallerLeft(t *testing.T) {
	for _, kind := range []routing.Kind{routing.NonIdempotent, routing.Idempotent, routing.Stream} {
		ctx, leave := context.WithCancel(t.Context())
		f := newFixture(t, routing.Route{Kind: kind, MaxEngines: 3}, func(_ int, w http.ResponseWriter, _ *http.Request) {
			leave()
			time.Sleep(150 * time.Millisecond)
			writeNotRun(w)
		})
		_, _, err := f.send(t, func(r *http.Request) { *r = *r.WithContext(ctx) })
		if err == nil {
			t.Fatal("the caller did not disconnect")
		}
		time.Sleep(400 * time.Millisecond)
		if n := f.runs.Load(); n != 1 {
			t.Errorf("kind %d: offered to %d engines", kind, n)
		}
	}
}

func TestIdempotentRequestIsCancelledWhenCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, routing.Route{Kind: routing.Idempotent, MaxEngines: 2}, func(_ int, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	_, _, _ = f.send(t, leaveAfter(t, 50*time.Millisecond))
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the engine's request was not cancelled")
	}
	if n := f.runs.Load(); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func writeEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set(testNames.ResponseSeal, "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// writeUnframed takes over the connection, answers with neither a length nor chunks, and closes or resets the connection.
func writeUnframed(w http.ResponseWriter, body string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+testNames.RequestID+": r1\r\n"+testNames.ResponseSeal+": seal\r\n\r\n"+body)
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		// The bytes before the reset have to arrive first.
		time.Sleep(20 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// events returns the events of a stream.
func events(from, to int) string {
	var all strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&all, "id: %d\ndata: e%d\n\n", i, i)
	}
	return all.String()
}

// TestAnswersThatEndWithTheirConnection guards against taking an answer without length and chunks that was reset, or a stream of that kind that
// ended before its first event, for a complete one.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		f := newFixture(t, routing.Route{Kind: routing.NonIdempotent}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeUnframed(w, "whole", reset) })
		want := http.StatusOK
		if reset {
			want = http.StatusBadGateway
		}
		if resp, body, err := f.send(t, nil); err != nil || resp.StatusCode != want || (!reset && body != "whole") {
			t.Errorf("reset %t: got %v, %q, %v", reset, resp, body, err)
		}
	}
}

// TestAnswerThatEndsWithTheConnectionOfACrashedEngineIsNotComplete guards against taking the beginning of an answer without length and chunks for
// the whole of it, and against losing the last answer of an engine that is draining.
func TestAnswerThatEndsWithTheConnectionOfACrashedEngineIsNotComplete(t *testing.T) {
	const last = 6
	tests := []struct {
		name     string
		route    routing.Route
		draining bool
		// body is the answer of the first engine, which then ends, and rest that of the second one.
		body, rest string
		complete   bool
		sends      int32
	}{
		{"not repeatable", routing.Route{Kind: routing.NonIdempotent}, false, "whole", "", false, 1},
		{"repeatable", routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}, false, "wh", "whole", true, 2},
		{"not resumable", routing.Route{Kind: routing.Stream}, false, events(1, 3), "", false, 1},
		{"resumable", routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: 2, TargetFirstByte: time.Second}, false, events(1, 3), events(4, last), true, 2},
		{"draining", routing.Route{Kind: routing.NonIdempotent}, true, "whole", "", true, 1},
		{"draining, repeatable", routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}, true, "wh", "whole", true, 2},
		{"draining, not repeatable again", routing.Route{Kind: routing.Idempotent}, true, "whole", "", true, 1},
		{"draining, not resumable", routing.Route{Kind: routing.Stream}, true, events(1, 3), "", false, 1},
		{"draining, resumable", routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: 2, TargetFirstByte: time.Second}, true, events(1, 3), events(4, last), true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, tt.route, func(n int, w http.ResponseWriter, r *http.Request) {
				if n > 1 {
					writeSealed(w, tt.rest)
					return
				}
				address := fmt.Sprint(r.Context().Value(http.LocalAddrContextKey))
				if tt.draining {
					f.setDraining(address)
				}
				for _, s := range f.servers {
					if s.Listener.Addr().String() == address {
						_ = s.Listener.Close()
					}
				}
				writeUnframed(w, tt.body, false)
			})
			want := "whole"
			if tt.route.Kind == routing.Stream {
				want = events(1, last)
			}
			resp, body, err := f.send(t, nil)
			if complete := err == nil && resp.StatusCode == http.StatusOK; complete != tt.complete || (complete && body != want) || f.runs.Load() != tt.sends {
				t.Errorf("got %v, %q, %v after %d sends", resp, body, err, f.runs.Load())
			}
		})
	}
}

func TestStreams(t *testing.T) {
	const last = 6
	resumable := routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: 2, TargetFirstByte: time.Second, TargetEventGap: 100 * time.Millisecond}
	single := routing.Route{Kind: routing.Stream, MaxEngines: 1, TargetFirstByte: time.Second}
	resume := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(testNames.LastEventID))
		writeEvents(w, from+1, last)
	}
	tests := []struct {
		name     string
		route    routing.Route
		engine   fakeEngine
		complete bool
		sends    int32
	}{
		{"complete", single, func(_ int, w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, last) }, true, 1},
		{"cut between events and resumed", resumable, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeEvents(w, 1, 3)
				abortConnection()
			}
			resume(w, r)
		}, true, 2},
		{"cut within an event and resumed", resumable, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeEvents(w, 1, 3)
				_, _ = io.WriteString(w, "id: 4\nda")
				abortConnection()
			}
			resume(w, r)
		}, true, 2},
		{"ended within an event and resumed", resumable, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeEvents(w, 1, 3)
				_, _ = io.WriteString(w, "id: 4\nda")
				return
			}
			resume(w, r)
		}, true, 2},
		{"without length and chunks", single, func(_ int, w http.ResponseWriter, _ *http.Request) { writeUnframed(w, events(1, last), false) }, true, 1},
		{"without length and chunks, ended within an event and resumed", resumable, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeUnframed(w, events(1, 3)+"id: 4\nda", false)
				return
			}
			resume(w, r)
		}, true, 2},
		{"without length and chunks, reset between events and resumed", resumable, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeUnframed(w, events(1, 3), true)
				return
			}
			resume(w, r)
		}, true, 2},
		{"without length and chunks, ended within an event and not resumable", single, func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeUnframed(w, events(1, 3)+"id: 4\nda", false)
		}, false, 1},
		{"resumed without length and chunks, and ended before the next event", resumable, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				writeEvents(w, 1, 3)
				abortConnection()
			}
			writeUnframed(w, "", false)
		}, false, 2},
		{"stalled and resumed", resumable, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeEvents(w, 1, 3)
				<-r.Context().Done()
				return
			}
			resume(w, r)
		}, true, 2},
		{"cut by every engine", resumable, func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 3)
			abortConnection()
		}, false, 2},
		{"cut, and restarted by an engine that cannot resume", resumable, func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				writeEvents(w, 1, 3)
				abortConnection()
			}
			writeEvents(w, 1, last)
		}, false, 2},
		{"cut and not resumable", single, func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 3)
			abortConnection()
		}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.route, tt.engine)
			resp, body, err := f.send(t, nil)
			if resp == nil {
				t.Fatal(err)
			}
			if (err == nil) != tt.complete {
				t.Fatalf("complete is %v, want %v: %q, %v", err == nil, tt.complete, body, err)
			}
			if tt.complete && strings.Count(body, "data:") != last {
				t.Fatalf("got %q", body)
			}
			var want bytes.Buffer
			for i := 1; i <= strings.Count(body, "\n\n"); i++ {
				fmt.Fprintf(&want, "id: %d\ndata: e%d\n\n", i, i)
			}
			if body != want.String() {
				t.Fatalf("events are not in order: %q", body)
			}
			if n := f.runs.Load(); n != tt.sends {
				t.Fatalf("%d sends, want %d", n, tt.sends)
			}
		})
	}
}

func TestEngineRequestHeadersAndBody(t *testing.T) {
	f := newFixture(t, routing.Route{Kind: routing.NonIdempotent}, func(_ int, w http.ResponseWriter, r *http.Request) { writeSealed(w, r.RequestURI) })
	_, body, err := f.send(t, func(r *http.Request) {
		r.Header.Set("X-Other", "kept")
		r.Header.Set("X-Reserved", "forged")
		r.Header.Set("X-Expect", "forged")
		r.Header.Set("X-Organisation", "forged")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "hop")
	})
	if err != nil || body != "/p/x%2Fy?q=1" {
		t.Fatalf("the engine got the target %q, %v", body, err)
	}
	header := f.headers[0]
	tests := []struct{ name, want string }{
		{"X-Other", "kept"}, {"X-Reserved", ""}, {"X-Organisation", "museum"}, {"Authorization", ""}, {"X-Hop", ""}, {"X-Request", "r1"},
	}
	for _, tt := range tests {
		if got := header.Get(tt.name); got != tt.want {
			t.Errorf("%s is %q, want %q", tt.name, got, tt.want)
		}
	}
	if !strings.HasPrefix(header.Get("X-Expect"), "e") {
		t.Errorf("the engine expected is %q", header.Get("X-Expect"))
	}
	if ms, err := strconv.Atoi(header.Get("X-Deadline")); err != nil || ms > 1500 || ms < 1000 {
		t.Errorf("the engine's deadline is %q", header.Get("X-Deadline"))
	}
	if f.bodies[0] != "body" {
		t.Errorf("body %q", f.bodies[0])
	}
}

// TestAdmission checks which requests are admitted for each age of the configuration.
func TestAdmission(t *testing.T) {
	tests := []struct {
		name   string
		age    time.Duration
		key    string
		path   string
		status int
	}{
		{"known key", 0, key, "/p/", 200},
		{"known key, configuration nearly too old", 3900 * time.Millisecond, key, "/p/", 200},
		{"known key, configuration too old", 4100 * time.Millisecond, key, "/p/", 503},
		{"unknown key", 0, "other", "/p/", 401},
		{"unknown key, may be new", 3100 * time.Millisecond, "other", "/p/", 503},
		{"unknown route", 0, key, "/q/", 404},
		{"unknown route, may be new", 3100 * time.Millisecond, key, "/q/", 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, routing.Route{Kind: routing.NonIdempotent}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, "ok") })
			f.confirmedAge.Store(int64(tt.age))
			resp, _, err := f.send(t, func(r *http.Request) {
				r.Header.Set("Authorization", "Bearer "+tt.key)
				r.URL.Path, r.URL.RawPath = tt.path, ""
			})
			if err != nil || resp.StatusCode != tt.status {
				t.Fatalf("got %v, %v, want %d", resp, err, tt.status)
			}
			if tt.status != 200 && f.runs.Load() != 0 {
				t.Fatal("a refused request reached an engine")
			}
		})
	}
}

func TestLargeBodiesAreRefused(t *testing.T) {
	f := newFixture(t, routing.Route{Kind: routing.NonIdempotent}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, "ok") })
	for _, chunked := range []bool{false, true} {
		resp, _, err := f.send(t, func(r *http.Request) {
			r.Body = io.NopCloser(bytes.NewReader(make([]byte, 2000)))
			r.ContentLength = 2000
			if chunked {
				r.ContentLength = -1
			}
		})
		if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("chunked %v: got %v, %v", chunked, resp, err)
		}
	}
}

func TestTimeoutIsAnsweredInTime(t *testing.T) {
	f := newFixture(t, routing.Route{Kind: routing.NonIdempotent, Timeout: 200 * time.Millisecond}, func(_ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	began := time.Now()
	resp, _, err := f.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %v, %v", resp, err)
	}
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Fatalf("answered after %s", took)
	}
}

func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata"))
	f.Add([]byte("\r\n\r\n:comment\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := eventReader{reader: bufio.NewReaderSize(bytes.NewReader(data), 16), kept: sizelimit.NewBudget(testMemoryBytes).NewHolder()}
		var all []byte
		for {
			event, err := r.next()
			all = append(all, event...)
			eventID(event)
			if err != nil {
				break
			}
		}
		if !bytes.Equal(all, data) {
			t.Fatalf("read %q of %q", all, data)
		}
	})
}

// TestLastEngineIsAwaitedPastAttemptTimeout guards against abandoning a slow attempt when all other engines are in back-off.
func TestLastEngineIsAwaitedPastAttemptTimeout(t *testing.T) {
	route := routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: 100 * time.Millisecond}
	f := newFixture(t, route, func(_ int, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		writeSealed(w, "ok")
	})
	for _, e := range f.engines.Load().OfService(service)[1:] {
		f.handler.Table.RecordFailure(e, true, time.Now())
	}
	resp, _, err := f.send(t, nil)
	if err != nil || resp.StatusCode != http.StatusOK || f.runs.Load() != 1 {
		t.Fatalf("got %v, %v after %d runs", resp, err, f.runs.Load())
	}
}

// TestSlowEngineIsAwaitedWithoutRetryBudget guards against abandoning a slow attempt when the retry budget allows no other one: a late answer
// is better than none.
func TestSlowEngineIsAwaitedWithoutRetryBudget(t *testing.T) {
	const target, late = 200 * time.Millisecond, 400 * time.Millisecond
	tests := []struct {
		name   string
		route  routing.Route
		engine fakeEngine
		want   string
	}{
		{"buffered answer", routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: target}, func(_ int, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(late)
			writeSealed(w, "late")
		}, "late"},
		{"pause of a stream", routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: 2, TargetFirstByte: target, TargetEventGap: 50 * time.Millisecond}, func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeSealed(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(late)
			_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
		}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.route, tt.engine)
			f.handler.Budget.SetPolicy(retries.Policy{Window: 10 * time.Second}, time.Now())
			resp, body, err := f.send(t, nil)
			if err != nil || resp.StatusCode != http.StatusOK || body != tt.want {
				t.Fatalf("got %q, %v", body, err)
			}
			if n := f.runs.Load(); n != 1 {
				t.Errorf("%d engines ran it", n)
			}
		})
	}
}

// TestCrashingRequestReachesTwoEngines guards against a request that crashes one engine after another: the same body is sent repeatedly,
// and each engine that runs it stops listening.
func TestCrashingRequestReachesTwoEngines(t *testing.T) {
	route := routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}
	f := newFixture(t, route, func(int, http.ResponseWriter, *http.Request) {})
	for _, s := range f.servers {
		s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testNames.RequestID, r.Header.Get(testNames.RequestID))
			if body, _ := io.ReadAll(r.Body); string(body) == "body" {
				f.runs.Add(1)
				_ = s.Listener.Close()
				abortConnection()
			}
			writeSealed(w, "ok")
		})
	}
	for i := range 6 {
		want := http.StatusServiceUnavailable
		if i == 0 {
			want = http.StatusBadGateway
		}
		if resp, _, err := f.send(t, nil); err != nil || resp.StatusCode != want {
			t.Fatalf("send %d: %v, %v", i, resp, err)
		}
		// It is stored only if it comes again.
		if due := f.handler.Crashes.Requests.Due(time.Minute, time.Now()); len(due) != min(i, 1) {
			t.Errorf("after send %d due are %v", i, due)
		}
	}
	if n := f.runs.Load(); n != suspects.MaxEngines {
		t.Fatalf("%d engines crashed", n)
	}
	other := func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("other")), 5 }
	if resp, _, err := f.send(t, other); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("another request: %v, %v", resp, err)
	}
}

// TestLostAnswersDoNotMarkRequestSuspect guards against suspecting a request whose answers are lost while the engines stay reachable.
func TestLostAnswersDoNotMarkRequestSuspect(t *testing.T) {
	f := newFixture(t, routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}, func(n int, w http.ResponseWriter, _ *http.Request) {
		if n <= 6 {
			abortConnection()
		}
		writeSealed(w, "ok")
	})
	for range 3 {
		_, _, _ = f.send(t, nil)
	}
	if resp, _, err := f.send(t, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
}

// TestBlockedLogReaderDoesNotBlockRequests guards against requests that hang when the log pipe is full because its reader stopped.
func TestBlockedLogReaderDoesNotBlockRequests(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = writer.Close()
		_ = reader.Close()
	}()
	log, sink, err := logs.NewBounded(writer, "info", "n1", logs.Budget{Lines: 1e6, Bytes: 1e9})
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, routing.Route{Kind: routing.NonIdempotent}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, "ok") })
	f.useLogger(log)
	const requests = 1500
	for range requests {
		if resp, _, err := f.send(t, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
	}
	if _, _, unread := sink.TakeDropped(); unread == 0 {
		t.Fatal("the pipe never filled, so the test proves nothing")
	}
}

// TestAnsweredRequestIsNotSuspectedWhenEnginesCrash guards against refusing a common body because engines crashed for other reasons while
// they ran it. An engine had answered the body before.
func TestAnsweredRequestIsNotSuspectedWhenEnginesCrash(t *testing.T) {
	var crash atomic.Bool
	f := newFixture(t, routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}, func(int, http.ResponseWriter, *http.Request) {})
	for _, s := range f.servers[:2] {
		s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testNames.RequestID, r.Header.Get(testNames.RequestID))
			if crash.Load() {
				_ = s.Listener.Close()
				abortConnection()
			}
			writeSealed(w, "ok")
		})
	}
	f.servers[2].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testNames.RequestID, r.Header.Get(testNames.RequestID))
		writeSealed(w, "ok")
	})
	if resp, _, err := f.send(t, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
	crash.Store(true)
	for range 8 {
		_, _, _ = f.send(t, nil)
	}
	if resp, _, err := f.send(t, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("after two crashes: %v, %v", resp, err)
	}
}

// TestAllRequestsOfACrashedEngineAreSuspected guards against evidence that is missing because another request has noticed the crash, or because
// the answer ended in its body.
func TestAllRequestsOfACrashedEngineAreSuspected(t *testing.T) {
	tests := []struct {
		name  string
		route routing.Route
		// begin writes the beginning of the answer before the crash.
		begin func(w http.ResponseWriter)
	}{
		{"no answer", routing.Route{Kind: routing.NonIdempotent}, func(http.ResponseWriter) {}},
		{"a part of the body", routing.Route{Kind: routing.NonIdempotent}, func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			writeSealed(w, "part")
			_ = http.NewResponseController(w).Flush()
		}},
		{"a part of a stream", routing.Route{Kind: routing.Stream}, func(w http.ResponseWriter) { writeEvents(w, 1, 2) }},
		{"a stream without length and chunks", routing.Route{Kind: routing.Stream}, func(w http.ResponseWriter) { writeUnframed(w, events(1, 2), false) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const requests = 3
			f := newFixture(t, tt.route, func(int, http.ResponseWriter, *http.Request) {})
			engine := f.servers[0]
			for _, s := range f.servers[1:] {
				_ = s.Listener.Close()
			}
			var running atomic.Int32
			crashed := make(chan struct{})
			engine.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(testNames.RequestID, r.Header.Get(testNames.RequestID))
				if running.Add(1) == requests {
					_ = engine.Listener.Close()
					close(crashed)
				}
				<-crashed
				tt.begin(w)
				abortConnection()
			})
			f.handler.Names.ParseParts = func(s string) ([]string, []int) { return splitList(s), make([]int, len(splitList(s))) }
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					_, _, _ = f.send(t, func(r *http.Request) { r.Header.Set(testNames.PromptParts, fmt.Sprint("part", i, ",own")) })
				})
			}
			all.Wait()
			evidence, first := f.handler.Crashes.Parts.TakeChanged()
			if evidence = append(evidence, first...); len(evidence) != requests {
				t.Fatalf("the evidence on %d parts is %v", requests, evidence)
			}
		})
	}
}

// TestPlannedEndsAreNoCrashes guards against suspecting a request because engines that were expected to stop have stopped while they ran it.
func TestPlannedEndsAreNoCrashes(t *testing.T) {
	tests := []struct {
		name string
		// announce makes the end of an engine known.
		announce func(f *fixture, e engines.Engine)
	}{
		{"draining", func(f *fixture, e engines.Engine) { f.setDraining(e.Address) }},
		{"leaving", func(f *fixture, e engines.Engine) {
			f.handler.Table.RecordNotice(e.Key, placing.Notice{Leaving: true}, time.Now())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, routing.Route{Kind: routing.Idempotent, MaxEngines: 3, TargetFirstByte: time.Second}, func(int, http.ResponseWriter, *http.Request) {})
			for i, s := range f.servers {
				e := f.engines.Load().OfService(service)[i]
				s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(testNames.RequestID, r.Header.Get(testNames.RequestID))
					if f.runs.Add(1) <= 2 {
						tt.announce(f, e)
						_ = s.Listener.Close()
						abortConnection()
					}
					writeSealed(w, "ok")
				})
			}
			for n := range 2 {
				if resp, _, err := f.send(t, nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("send %d: %v, %v", n, resp, err)
				}
			}
		})
	}
}
