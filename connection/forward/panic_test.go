package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestServiceWithoutEnginesIsRefusedAtOnce guards against connections that close without an answer while a service has no engine: requests whose shared part
// was known panicked.
func TestServiceWithoutEnginesIsRefusedAtOnce(t *testing.T) {
	route := routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: 2, CachesPrompts: true}
	f := newFixture(t, route, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, events(1, 2)) })
	f.handler.Names.ParseParts = func(s string) ([]string, []int) { return strings.Split(s, ","), []int{100, 100} }
	send := func(parts string) (*http.Response, error) {
		resp, _, err := f.send(t, func(r *http.Request) { r.Header.Set(testNames.PromptParts, parts) })
		return resp, err
	}
	if resp, err := send("shared,own-1"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("with engines: got %v, %v", resp, err)
	}
	all := f.engines.Load().All()
	for i := range all {
		all[i].Draining = true
	}
	for _, list := range [][]engines.Engine{all, nil} {
		f.engines.Store(engines.NewList(list))
		resp, err := send("shared,own-2")
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%d engines registered: got %v, %v", len(list), resp, err)
		}
	}
}

// TestPanicsAreCountedAndLogged guards against panics that nobody notices because net/http recovers them.
func TestPanicsAreCountedAndLogged(t *testing.T) {
	f := newFixture(t, routing.Route{Kind: routing.Idempotent, CachesPrompts: true}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, "ok") })
	f.handler.Names.ParseParts = func(string) ([]string, []int) { return []string{"a"}, nil }
	core, logged := observer.New(zap.ErrorLevel)
	f.useLogger(zap.New(core))
	if _, _, err := f.send(t, nil); err == nil {
		t.Error("a request whose handling panics is answered")
	}
	entries := logged.FilterMessage(PanicMessage).All()
	if len(entries) != 1 || entries[0].ContextMap()["request"] != "r1" {
		t.Errorf("logged %+v", entries)
	}
	if !strings.Contains(f.handler.Metrics.String(), `"panics": 1`) {
		t.Errorf("counted %s", f.handler.Metrics.String())
	}
}

// panickingWriter panics when an answer begins.
type panickingWriter struct{ http.ResponseWriter }

func (panickingWriter) WriteHeader(int) { panic("no answer") }

// TestPanicLeavesNoLoad guards against an engine that counts as loaded for good after the relay of its answer has panicked.
func TestPanicLeavesNoLoad(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Idempotent, routing.Stream} {
		f := newSlowFixture(t, routing.Route{Kind: kind}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, events(1, 2)) })
		f.front.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handler.ServeHTTP(panickingWriter{w}, r) })
		if _, _, err := f.send(t, longDeadline); err == nil {
			t.Error("a request whose relay panics is answered")
		}
		for engine, load := range f.handler.Table.LocalLoads(time.Now()) {
			if load != 0 {
				t.Errorf("kind %d: engine %v is left with a load of %d", kind, engine, load)
			}
		}
	}
}
