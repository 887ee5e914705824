package home

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/tomlfile"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/modelload"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	testModel  ident.Model  = "m"
	testEngine ident.Engine = "engine-1"
	// testTimeout is the time-out of each wait in these tests.
	testTimeout = 10 * time.Second
)

// scriptedEngine is an engine whose test decides when answers are truncated and when the engine reports that a stream is unknown.
type scriptedEngine struct {
	server *httptest.Server
	// started receives the IDs of the requests that the engine gets, and count is their number.
	started chan ident.Request
	count   atomic.Int64
	// reportBlocked blocks load reports. Each value on events makes the engine send one event.
	reportBlocked atomic.Bool
	events        chan struct{}
	// truncate truncates the answer of a request. resumeAsked receives the IDs of attempts to resume, which are answered with
	// "no such stream" once streamUnknown is closed.
	truncate      map[ident.Request]chan struct{}
	resumeAsked   chan ident.Request
	streamUnknown chan struct{}
}

func newScriptedEngine(t *testing.T, ids ...ident.Request) *scriptedEngine {
	t.Helper()
	s := &scriptedEngine{started: make(chan ident.Request, 16), truncate: make(map[ident.Request]chan struct{}), resumeAsked: make(chan ident.Request, 16), streamUnknown: make(chan struct{}), events: make(chan struct{})}
	for _, id := range ids {
		s.truncate[id] = make(chan struct{})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := ident.Request(r.Header.Get(engine.HeaderRequest))
		s.count.Add(1)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		s.started <- id
		for open := true; open; {
			select {
			case <-s.events:
				_, _ = io.WriteString(w, "data: {}\n\n")
				_ = http.NewResponseController(w).Flush()
			case <-s.truncate[id]:
				open = false
			case <-r.Context().Done():
				open = false
			}
		}
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /v1/streams/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.resumeAsked <- ident.Request(r.PathValue("id"))
		select {
		case <-s.streamUnknown:
		case <-r.Context().Done():
		}
		http.Error(w, "no such stream", http.StatusNotFound)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		if s.reportBlocked.Load() {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, `{"slots":8}`)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s.server = httptest.NewServer(mux)
	t.Cleanup(s.server.Close)
	return s
}

// newTestSet returns the homes of the only router of a fleet with one engine.
func newTestSet(t *testing.T, address string) *Set {
	t.Helper()
	now := time.Now()
	self := fleet.Instance{ID: "router-1", Role: fleet.RoleRouter, Address: "127.0.0.1:1"}
	f := fleet.New(self, 1, now)
	listed := fleet.Instance{ID: string(testEngine), Role: fleet.RoleEngine, Address: address, Models: []ident.Model{testModel}, Slots: 8}
	f.ApplyList([]fleet.Instance{self, listed}, now)
	policy := settings.Routing{
		LoadBound: 8, QueueLimit: 16, LongShare: 1, FirstTokenTimeout: tomlfile.NewDuration(testTimeout), StallTimeout: tomlfile.NewDuration(testTimeout),
		CacheWait: tomlfile.NewDuration(testTimeout), Classes: []settings.Class{{Name: "note", MaxWait: tomlfile.NewDuration(testTimeout)}},
	}
	set := NewSet(t.Context(), Dependencies{Self: "router-1", Policy: policy, Fleet: f, ModelLoads: modelload.New(), Suspects: suspects.New(), Metrics: metrics.New(), FaultPoint: func(string, ident.Request) {}})
	set.Update(f.View(), now)
	for deadline := now.Add(testTimeout); ; time.Sleep(time.Millisecond) {
		e, refusal := set.homeEngine(testEngine)
		if refusal != nil {
			t.Fatal(refusal.Message)
		}
		e.mu.Lock()
		takeoverDone := e.takeoverDone
		e.mu.Unlock()
		if takeoverDone {
			return set
		}
		if time.Now().After(deadline) {
			t.Fatal("the engine has not reported")
		}
	}
}

func submit(t *testing.T, s *Set, id ident.Request, body string) *run.Run {
	t.Helper()
	r, refusal := s.Submit(wire.Submit{Request: id, Organisation: "museum", Class: "note", Model: testModel, Engine: testEngine, Stream: true, Body: []byte(body)}, time.Now())
	if refusal != nil {
		t.Fatalf("%s is refused: %s", id, refusal.Message)
	}
	return r
}

func refusalOfRun(t *testing.T, r *run.Run) *wire.Refusal {
	t.Helper()
	events, end, err := r.Wait(t.Context(), 0, 1, new(run.Silences))
	if err != nil || end == nil || end.Refusal == nil {
		t.Fatalf("%s ended with %v, %v, %v", r.Submit.Request, events, end, err)
	}
	return end.Refusal
}

func await[T comparable](t *testing.T, c <-chan T, want T) {
	t.Helper()
	select {
	case got := <-c:
		if got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no %v within %v", want, testTimeout)
	}
}

// TestCopyIsDeferredUntilCrashIsConfirmed guards against a body that crashes the engine twice: a copy of it arrives after its answer was
// truncated and before it is known that the engine crashed.
func TestCopyIsDeferredUntilCrashIsConfirmed(t *testing.T) {
	e := newScriptedEngine(t, "first", "copy", "other")
	s := newTestSet(t, strings.TrimPrefix(e.server.URL, "http://"))
	first := submit(t, s, "first", "poison")
	await(t, e.started, "first")
	close(e.truncate["first"])
	await(t, e.resumeAsked, "first")
	copied := submit(t, s, "copy", "poison")
	submit(t, s, "other", "ordinary")
	await(t, e.started, "other")
	close(e.streamUnknown)
	for _, r := range []*run.Run{first, copied} {
		if refusal := refusalOfRun(t, r); len(refusal.Crashed) != 1 || refusal.Crashed[0] != testEngine {
			t.Errorf("%s: %+v does not name the crashed engine", r.Submit.Request, *refusal)
		}
	}
	if n := e.count.Load(); n != 2 {
		t.Errorf("the engine got %d requests, want the first and the other one", n)
	}
}

// TestLateCrashDetectionAddsNoSuspects guards against a false suspect: two requests run on an engine that crashes, and the second detects
// the crash only after a later request has started.
func TestLateCrashDetectionAddsNoSuspects(t *testing.T) {
	e := newScriptedEngine(t, "first", "second", "later")
	s := newTestSet(t, strings.TrimPrefix(e.server.URL, "http://"))
	first, second := submit(t, s, "first", "one"), submit(t, s, "second", "two")
	<-e.started
	<-e.started
	close(e.streamUnknown)
	close(e.truncate["first"])
	_ = refusalOfRun(t, first)
	s.fleet.EngineUp(testEngine)
	later := submit(t, s, "later", "three")
	await(t, e.started, "later")
	close(e.truncate["second"])
	_ = refusalOfRun(t, second)
	if crashed := s.suspects.CrashedEngines(first.Fingerprint); len(crashed) != 1 {
		t.Errorf("crashes recorded for the first request: %v, want one", crashed)
	}
	if crashed := s.suspects.CrashedEngines(later.Fingerprint); len(crashed) != 0 {
		t.Errorf("crashes recorded for a request that started after the crash: %v", crashed)
	}
}

// TestRequestStartedAfterTruncationIsNotSuspected guards against a false suspect: a request starts after the answer of the first one was
// truncated and before the crash is detected.
func TestRequestStartedAfterTruncationIsNotSuspected(t *testing.T) {
	e := newScriptedEngine(t, "first", "later")
	s := newTestSet(t, strings.TrimPrefix(e.server.URL, "http://"))
	first := submit(t, s, "first", "poison")
	await(t, e.started, "first")
	close(e.truncate["first"])
	await(t, e.resumeAsked, "first")
	later := submit(t, s, "later", "ordinary")
	await(t, e.started, "later")
	close(e.streamUnknown)
	if refusal := refusalOfRun(t, first); len(refusal.Crashed) != 1 {
		t.Errorf("%+v does not name the crashed engine", *refusal)
	}
	if crashed := s.suspects.CrashedEngines(later.Fingerprint); len(crashed) != 0 {
		t.Errorf("crashes recorded for the later request: %v", crashed)
	}
}

// TestCopyIsDeferredWhenEngineIsUnreachable guards against a body that crashes a second engine: a copy cannot reach the engine before the
// first request has detected the crash, and must not go to another engine without a record of it.
func TestCopyIsDeferredWhenEngineIsUnreachable(t *testing.T) {
	e := newScriptedEngine(t, "first")
	s := newTestSet(t, strings.TrimPrefix(e.server.URL, "http://"))
	first := submit(t, s, "first", "poison")
	await(t, e.started, "first")
	(&http.Client{Transport: s.transport}).CloseIdleConnections()
	if err := e.server.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	copied := submit(t, s, "copy", "poison")
	time.Sleep(50 * time.Millisecond)
	close(e.truncate["first"])
	for _, r := range []*run.Run{first, copied} {
		if refusal := refusalOfRun(t, r); len(refusal.Crashed) != 1 || refusal.Crashed[0] != testEngine {
			t.Errorf("%s: %+v does not name the crashed engine", r.Submit.Request, *refusal)
		}
	}
}

// TestQueuedRequestOfStoppedHomeGoesToAnotherHome guards against a queued request that ends as cancelled by its caller although its home
// has stopped.
func TestQueuedRequestOfStoppedHomeGoesToAnotherHome(t *testing.T) {
	e := newScriptedEngine(t)
	s := newTestSet(t, strings.TrimPrefix(e.server.URL, "http://"))
	ctx, stop := context.WithCancel(t.Context())
	s.ctx = ctx
	home, _ := s.homeEngine(testEngine)
	home.mu.Lock()
	home.report.Slots = 1
	home.mu.Unlock()
	submit(t, s, "first", "one")
	await(t, e.started, "first")
	waiting := submit(t, s, "waiting", "two")
	stop()
	s.Tick(time.Now())
	if refusal := refusalOfRun(t, waiting); refusal.Code != wire.CodeNotHome || refusal.Outcome != wire.OutcomeNotRun {
		t.Errorf("%+v, want a refusal that sends the request to another home", *refusal)
	}
}

// TestAnsweringEngineWithLateReportIsNotDown guards against marking an engine as down that sends events of answers but is too busy to
// report its load in time.
func TestAnsweringEngineWithLateReportIsNotDown(t *testing.T) {
	e := newScriptedEngine(t, "first")
	s := newTestSet(t, strings.TrimPrefix(e.server.URL, "http://"))
	submit(t, s, "first", "one")
	await(t, e.started, "first")
	e.reportBlocked.Store(true)
	home, _ := s.homeEngine(testEngine)
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		home.poll(t.Context())
	}()
	for open := true; open; {
		select {
		case e.events <- struct{}{}:
		case <-polled:
			open = false
		}
	}
	if s.fleet.IsDown(testEngine, time.Now()) {
		t.Error("an engine that sends events counts as down")
	}
	close(e.truncate["first"])
	close(e.streamUnknown)
	<-e.resumeAsked
	home.poll(t.Context())
	if !s.fleet.IsDown(testEngine, time.Now()) {
		t.Error("an engine that neither answers nor reports does not count as down")
	}
}
