package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

const (
	// eventGap and firstByte are the targets of the routes, and silence is several times what an engine may exceed them by if another one can take over.
	eventGap, firstByte = 60 * time.Millisecond, 250 * time.Millisecond
	silence             = 600 * time.Millisecond
)

// resumableRoute is a route whose streams leave an engine that is silent for too long.
func resumableRoute(maxEngines int) routing.Route {
	return routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: maxEngines, Timeout: 5 * time.Second, TargetFirstByte: firstByte, TargetEventGap: eventGap}
}

// TestSilentEngineIsAwaitedWhileNoOtherOneCanGoOn guards against answers that end because of a silence although no other engine can take the request. What
// rules out the others becomes known after the choice.
func TestSilentEngineIsAwaitedWhileNoOtherOneCanGoOn(t *testing.T) {
	const last = 6
	each := func(do func(f *fixture, e engines.Engine)) func(f *fixture, current ident.Engine) {
		return func(f *fixture, current ident.Engine) {
			for _, e := range f.engines.Load().All() {
				if e.ID != current {
					do(f, e)
				}
			}
		}
	}
	keep := func(f *fixture, current ident.Engine, change func(*engines.Engine) bool) {
		var kept []engines.Engine
		for _, e := range f.engines.Load().All() {
			if e.ID == current || change(&e) {
				kept = append(kept, e)
			}
		}
		f.engines.Store(engines.NewList(kept))
	}
	reasons := []struct {
		name string
		rule func(f *fixture, current ident.Engine)
	}{
		{"said for how long they are full", each(func(f *fixture, e engines.Engine) {
			f.handler.Table.RecordNotice(e.Key, placing.Notice{PausedFor: time.Minute}, time.Now())
		})},
		{"said that they leave", each(func(f *fixture, e engines.Engine) {
			f.handler.Table.RecordNotice(e.Key, placing.Notice{Leaving: true}, time.Now())
		})},
		{"could not be reached", each(func(f *fixture, e engines.Engine) {
			f.handler.Table.MergeBackoffs([]placing.Backoff{{Engine: e.Key, Until: time.Now().Add(time.Minute)}}, time.Now())
		})},
		{"at their limits", each(func(f *fixture, e engines.Engine) {
			limit := placing.MinLimit
			f.handler.Table.RecordNotice(e.Key, placing.Notice{Limit: &limit}, time.Now())
		})},
		{"cold", each(func(f *fixture, e engines.Engine) {
			f.handler.Table.MergeColds([]placing.Cold{{Engine: e.Key, Until: time.Now().Add(time.Minute)}}, time.Now())
		})},
		{"gone", func(f *fixture, current ident.Engine) { keep(f, current, func(*engines.Engine) bool { return false }) }},
		{"draining", func(f *fixture, current ident.Engine) {
			keep(f, current, func(e *engines.Engine) bool { e.Draining = true; return true })
		}},
		{"of another service", func(f *fixture, current ident.Engine) {
			keep(f, current, func(e *engines.Engine) bool { e.Service = "other"; return true })
		}},
		{"crashed by the request", func(f *fixture, _ ident.Engine) {
			subject := suspects.NewRequest("museum", http.MethodPost, "h.example", "/p/x%2Fy?q=1", []byte("body"))
			for i := range suspects.MaxEngines {
				f.handler.Crashes.Requests.RecordCrash([]suspects.ID{subject}, suspects.Crash{Engine: engines.Key(i + 1), At: time.Now()}, time.Now())
			}
		}},
		{"unable to resume after an event without id", func(*fixture, ident.Engine) {}},
	}
	for _, reason := range reasons {
		for _, before := range []int{0, 3} {
			withIDs := reason.name != "unable to resume after an event without id"
			if !withIDs && before == 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d events before the silence", reason.name, before), func(t *testing.T) {
				t.Parallel()
				write := func(w http.ResponseWriter, from, to int) {
					if withIDs {
						writeEvents(w, from, to)
						return
					}
					for i := from; i <= to; i++ {
						writeSealed(w, fmt.Sprintf("data: e%d\n\n", i))
						_ = http.NewResponseController(w).Flush()
					}
				}
				var f *fixture
				f = newFixture(t, resumableRoute(2), func(_ int, w http.ResponseWriter, r *http.Request) {
					write(w, 1, before)
					reason.rule(f, ident.Engine(r.Header.Get(testNames.ExpectedEngine)))
					time.Sleep(silence)
					write(w, before+1, last)
				})
				now := time.Now()
				f.handler.Table.SetFleet("self", []string{"a", "b", "c", "d", "e", "f", "g", "h"})
				f.handler.Table.SetConfirmed(now.Add(time.Hour))
				f.handler.Table.UpdateEngines(placing.EngineUpdate{Engines: f.engines.Load(), FirstStart: true, Warmup: func(ident.Service) *routing.Warmup {
					return &routing.Warmup{Span: time.Second, PerSecond: 18}
				}}, now)
				want := events(1, last)
				if !withIDs {
					want = "data: e1\n\ndata: e2\n\ndata: e3\n\ndata: e4\n\ndata: e5\n\ndata: e6\n\n"
				}
				if _, body, err := f.send(t, longDeadline); err != nil || body != want || f.runs.Load() != 1 {
					t.Errorf("got %q, %v after %d sends", body, err, f.runs.Load())
				}
			})
		}
	}
}

// TestSilentEngineIsAwaitedWhileAllOthersAreEvacuated guards against the same for an evacuation that becomes known after the choice.
func TestSilentEngineIsAwaitedWhileAllOthersAreEvacuated(t *testing.T) {
	var known *evacuating
	f := newFixture(t, resumableRoute(2), func(_ int, w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 3)
		var others []ident.Domain
		for _, d := range []ident.Domain{"e0", "e1", "e2"} {
			if string(d) != r.Header.Get(testNames.ExpectedEngine) {
				others = append(others, d)
			}
		}
		known.now.Store(evacuated(others...))
		time.Sleep(silence)
		writeEvents(w, 4, 6)
	})
	known = f.useEvacuations()
	if _, body, err := f.send(t, longDeadline); err != nil || body != events(1, 6) || f.runs.Load() != 1 {
		t.Errorf("got %q, %v after %d sends", body, err, f.runs.Load())
	}
}

// TestSilentEngineIsLeftOnceAnotherOneCanGoOn guards against waiting to the deadline for an engine because no other one could go on as its silence began.
func TestSilentEngineIsLeftOnceAnotherOneCanGoOn(t *testing.T) {
	const last = 6
	for _, before := range []int{0, 3} {
		f := newFixture(t, resumableRoute(2), func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeEvents(w, 1, before)
				<-r.Context().Done()
				return
			}
			from, _ := strconv.Atoi(r.Header.Get(testNames.LastEventID))
			writeEvents(w, from+1, last)
		})
		for _, e := range f.engines.Load().OfService(service)[1:] {
			f.handler.Table.RecordNotice(e.Key, placing.Notice{PausedFor: silence}, time.Now())
		}
		began := time.Now()
		_, body, err := f.send(t, longDeadline)
		if took := time.Since(began); err != nil || body != events(1, last) || f.runs.Load() != 2 || took < silence || took > 2*time.Second {
			t.Errorf("%d events before: got %q, %v after %d sends and %s", before, body, err, f.runs.Load(), took)
		}
	}
}

// TestStreamReturnsToTheSilentEngineIfAllOthersRefuse guards against cutting an answer because the engines that were to take over turn out to be full.
func TestStreamReturnsToTheSilentEngineIfAllOthersRefuse(t *testing.T) {
	const last = 6
	for _, tt := range []struct {
		name string
		// engines is the number of engines, which may be more than a request is offered to.
		engines, sends int
	}{
		{"few engines", 3, 4},
		{"more engines than may be asked", 9, maxSends + 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			var first string
			f := newFixture(t, resumableRoute(2), func(n int, w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				engine := r.Header.Get(testNames.ExpectedEngine)
				from, _ := strconv.Atoi(r.Header.Get(testNames.LastEventID))
				switch {
				case n == 1:
					first = engine
					writeEvents(w, 1, 3)
					mu.Unlock()
					<-r.Context().Done()
					mu.Lock()
				case engine != first:
					writeNotRun(w)
				default:
					writeEvents(w, from+1, last)
				}
			})
			all := f.engines.Load().All()
			for i := len(all); i < tt.engines; i++ {
				all = append(all, engines.Engine{ID: ident.Engine(fmt.Sprint("e", i)), Service: service, Address: all[i%3].Address})
			}
			f.engines.Store(engines.NewList(all))
			_, body, err := f.send(t, longDeadline)
			if err != nil || body != events(1, last) || int(f.runs.Load()) != tt.sends {
				t.Errorf("got %q, %v after %d sends, want %d", body, err, f.runs.Load(), tt.sends)
			}
		})
	}
}

// TestSilentEngineThatNeverGoesOnEndsWithTheDeadline guards against a stream that outlasts its deadline because no other engine can go on.
func TestSilentEngineThatNeverGoesOnEndsWithTheDeadline(t *testing.T) {
	const deadline = 700 * time.Millisecond
	for _, before := range []int{0, 3} {
		f := newFixture(t, resumableRoute(2), func(_ int, w http.ResponseWriter, r *http.Request) {
			writeEvents(w, 1, before)
			<-r.Context().Done()
		})
		f.engines.Store(engines.NewList(f.engines.Load().All()[:1]))
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
		resp, body, err := f.send(t, func(r *http.Request) {
			*r = *r.WithContext(ctx)
			r.Header.Set(testNames.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
		})
		cancel()
		if took := time.Since(began); took < deadline || took > deadline+time.Second || (err == nil && resp.StatusCode == http.StatusOK) {
			t.Errorf("%d events before: got %q, %v after %s", before, body, err, took)
		}
	}
}
