package forward

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// TestLogLinesOfRequest checks the log lines of a request for each course, and that a request that the first engine answers takes one line.
func TestLogLinesOfRequest(t *testing.T) {
	idempotent := routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}
	tests := []struct {
		name    string
		route   routing.Route
		engine  fakeEngine
		engines bool
		want    []string
	}{
		{"answered by the first engine", idempotent, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, "ok") }, true, []string{"answered"}},
		{"answered by the second engine", idempotent, func(run int, w http.ResponseWriter, _ *http.Request) {
			if run == 1 {
				abortConnection()
			}
			writeSealed(w, "ok")
		}, true, []string{"placed", "attempt failed", "retried", "answered"}},
		{"lost", routing.Route{Kind: routing.NonIdempotent}, func(int, http.ResponseWriter, *http.Request) { abortConnection() }, true, []string{"placed", "attempt failed", "refused"}},
		{"failed at the engine", routing.Route{Kind: routing.NonIdempotent}, func(_ int, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}, true, []string{"placed", "attempt failed", "answered"}},
		{"stream", routing.Route{Kind: routing.Stream}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, "id: 1\ndata: x\n\n") }, true, []string{"placed", "answered"}},
		{"no engine", idempotent, nil, false, []string{"refused"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			log, sink, err := logs.NewBounded(&out, "info", "n1", logs.Budget{Lines: logs.DefaultLines, Bytes: logs.DefaultBytes})
			if err != nil {
				t.Fatal(err)
			}
			f := newFixture(t, tt.route, tt.engine)
			f.useLogger(log)
			if !tt.engines {
				snapshot := f.handler.Snapshot()
				snapshot.Engines = engines.NewList(nil)
				f.handler.Snapshot = func() Snapshot { return snapshot }
			}
			if _, _, err := f.send(t, nil); err != nil {
				t.Fatal(err)
			}
			f.front.Close()
			sink.Close(time.Second)
			timeline := logs.NewTimeline("r1")
			if err := timeline.Read("log", bytes.NewReader(out.Bytes())); err != nil {
				t.Fatal(err)
			}
			lines, err := timeline.Lines()
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, l := range lines {
				got = append(got, l.Message)
			}
			if !slices.Equal(got, tt.want) {
				t.Fatalf("the log messages are %q, want %q", got, tt.want)
			}
			if last := lines[len(lines)-1].String(lines[0].At); len(got) == 1 && tt.engines && (!strings.Contains(last, "engine=e") || !strings.Contains(last, "configuration=1")) {
				t.Fatalf("the single line lacks the placement: %s", last)
			}
		})
	}
}

// TestFailedRequestIsLoggedInFull guards against dropped lines of a failed request when successful requests have used up the log budget.
func TestFailedRequestIsLoggedInFull(t *testing.T) {
	var out bytes.Buffer
	log, sink, err := logs.NewBounded(&out, "info", "n1", logs.Budget{Lines: 20, Bytes: 20 * 512})
	if err != nil {
		t.Fatal(err)
	}
	const successes = 100
	f := newFixture(t, routing.Route{Kind: routing.Idempotent, MaxEngines: 2, TargetFirstByte: time.Second}, func(run int, w http.ResponseWriter, _ *http.Request) {
		if run > successes {
			abortConnection()
		}
		writeSealed(w, "ok")
	})
	f.useLogger(log)
	for range successes {
		if _, _, err := f.send(t, func(r *http.Request) { r.Header.Set(testNames.RequestID, "well") }); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := f.send(t, nil); err != nil {
		t.Fatal(err)
	}
	f.front.Close()
	sink.Close(time.Second)
	if sampled, _, _ := sink.TakeDropped(); sampled == 0 {
		t.Fatal("no line was dropped, so the test proves nothing")
	}
	for _, message := range []string{"placed", "attempt failed", "retried", "refused"} {
		if n := strings.Count(out.String(), `"msg":"`+message+`"`); n == 0 {
			t.Errorf("no line %q about the request that failed", message)
		}
	}
}
