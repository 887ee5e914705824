package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// An instance may send an engine allowedInPause requests from pauseNotice after the engine has refused one until the end of the time that
	// it has named.
	pauseNotice    = 500 * time.Millisecond
	allowedInPause = 2
	// leavingNotice is the time after an engine's first answer with X-Leaving to an instance from which it gets no request from there.
	leavingNotice = 500 * time.Millisecond
	// noticeInterval is the time between two requests.
	noticeInterval = 8 * time.Millisecond
	// returnBound bounds the time until an engine gets requests that takes them again.
	returnBound = time.Second
)

type (
	// noticeEngine says in its answers that it wants no requests for a time, or that it is leaving.
	noticeEngine struct {
		mu          sync.Mutex
		id, address string
		// pause is the time for which the engine wants no requests from an instance that it refuses one, or 0 if it takes requests.
		pause   time.Duration
		leaving bool
		visits  []visit
	}

	// visit is a request at an engine, and what the engine's answer said.
	visit struct {
		// path names the instance that sent it.
		path    string
		at      time.Time
		pause   time.Duration
		leaving bool
	}
)

// startNoticeEngines replaces the engine of a fleet.
func startNoticeEngines(f *fleet, count int) []*noticeEngine {
	f.store.Delete("engines/e1")
	all := make([]*noticeEngine, count)
	for i := range all {
		all[i] = &noticeEngine{id: fmt.Sprint("n", i)}
		all[i].address = f.addEngine(all[i].id, all[i])
	}
	return all
}

func (e *noticeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	other := r.Header.Get("X-Expect") != "engines/"+e.id
	v := visit{r.URL.Path, time.Now(), e.pause, e.leaving}
	if !other {
		e.visits = append(e.visits, v)
	}
	e.mu.Unlock()
	if v.leaving {
		w.Header().Set("X-Leaving", "1")
	}
	switch {
	case other:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case v.pause > 0:
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(v.pause.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		time.Sleep(engineRunTime)
		writeAnswer(w, r)
	}
}

func (e *noticeEngine) setPause(pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = pause
}

func (e *noticeEngine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// restart starts the engine again under a new id.
func (e *noticeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id += "'"
	e.leaving, e.visits = false, nil
}

// visitsBetween returns the number of requests that reached the engine between two times.
func (e *noticeEngine) visitsBetween(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, v := range e.visits {
		if v.at.After(from) && v.at.Before(to) {
			n++
		}
	}
	return n
}

// mostInPause returns the highest number of requests from an instance between pauseNotice after a refusal to it and the end of its time.
func (e *noticeEngine) mostInPause() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, refused := range e.visits {
		n := 0
		for _, v := range e.visits {
			if after := v.at.Sub(refused.at); v.path == refused.path && after > pauseNotice && after < refused.pause {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// visitsAfterNotice returns the number of requests, from all instances, later than leavingNotice after the engine has first told that
// instance that it is leaving, and the number of instances that it has told.
func (e *noticeEngine) visitsAfterNotice() (late, told int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	toldAt := make(map[string]time.Time)
	for _, v := range e.visits {
		at, ok := toldAt[v.path]
		switch {
		case ok && v.at.After(at.Add(engineRunTime+leavingNotice)):
			late++
		case !ok && v.leaving:
			toldAt[v.path] = v.at
		}
	}
	return late, len(toldAt)
}

// TestEngineThatWantsNoRequestsGetsNone guards against requests to an engine that has refused one and named the time for which it wants none,
// against refusals while other engines take requests, and against an engine that gets no requests after that time.
func TestEngineThatWantsNoRequestsGetsNone(t *testing.T) {
	tests := []struct {
		name                          string
		instances, engines, unwilling int
		pause                         time.Duration
	}{
		{"one engine of three", 3, 3, 1, 1500 * time.Millisecond},
		{"one engine of two, one instance", 1, 2, 1, 2250 * time.Millisecond},
		{"two engines of three", 3, 3, 2, time.Second},
		{"every engine", 3, 2, 2, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.instances)
			all := startNoticeEngines(f, tt.engines)
			unwilling := all[:tt.unwilling]
			var unchecked, meanwhile, afterwards answers
			f.sendFor(contactBound, "", noticeInterval, &unchecked)
			for _, e := range unwilling {
				if e.visitsBetween(time.Time{}, time.Now()) == 0 {
					t.Fatalf("engine %s gets no requests at first", e.id)
				}
				e.setPause(tt.pause)
			}
			f.sendFor(3*tt.pause, "", noticeInterval, &meanwhile)
			for _, e := range unwilling {
				e.setPause(0)
			}
			f.sendFor(tt.pause+200*time.Millisecond, "", noticeInterval, &unchecked)
			willingAt := time.Now()
			f.sendFor(returnBound, "", noticeInterval, &afterwards)
			for _, e := range unwilling {
				if n := e.mostInPause(); n > allowedInPause {
					t.Errorf("engine %s got %d requests from an instance in the time of %s that it named", e.id, n, tt.pause)
				}
				if e.visitsBetween(willingAt, time.Now()) == 0 {
					t.Errorf("engine %s gets no requests %s after the end of its pauses", e.id, returnBound)
				}
			}
			if tt.unwilling < tt.engines && meanwhile.answered < meanwhile.sent {
				t.Errorf("%d of %d requests are answered though other engines take them", meanwhile.answered, meanwhile.sent)
			}
			if tt.unwilling == tt.engines {
				checkRefused(t, &meanwhile)
			}
			if afterwards.answered < afterwards.sent {
				t.Errorf("%d of %d requests are answered after the pauses", afterwards.answered, afterwards.sent)
			}
		})
	}
}

// TestEngineThatIsLeavingGetsNoNewRequests guards against requests to an engine that has said that it is leaving while its entry in the store
// says otherwise or comes back.
func TestEngineThatIsLeavingGetsNoNewRequests(t *testing.T) {
	// entryAway is how long entries are missing from the store.
	const entryAway = 500 * time.Millisecond
	tests := []struct {
		name    string
		leaving int
	}{
		{"one engine of two", 1},
		{"every engine", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 3)
			all := startNoticeEngines(f, 2)
			leaving := all[:tt.leaving]
			var unchecked, meanwhile, afterwards answers
			f.sendFor(contactBound, "", noticeInterval, &unchecked)
			for _, e := range leaving {
				e.leave()
			}
			f.sendFor(2*leavingNotice, "", noticeInterval, &meanwhile)
			for _, e := range leaving {
				f.store.Delete("engines/" + e.id)
			}
			f.sendFor(entryAway, "", noticeInterval, &meanwhile)
			for _, e := range leaving {
				f.store.Put("engines/"+e.id, []byte(e.address))
			}
			f.sendFor(drainBound, "", noticeInterval, &meanwhile)
			for _, e := range leaving {
				switch late, told := e.visitsAfterNotice(); {
				case told == 0:
					t.Errorf("engine %s has told no instance that it is leaving", e.id)
				case late > 0:
					t.Errorf("engine %s got %d requests from instances that it had told that it is leaving", e.id, late)
				}
				f.store.Delete("engines/" + e.id)
				e.restart()
				f.store.Put("engines/"+e.id, []byte(e.address))
			}
			f.sendFor(returnBound, "", noticeInterval, &unchecked)
			for _, e := range leaving {
				if e.visitsBetween(time.Time{}, time.Now()) == 0 {
					t.Errorf("engine %s gets no requests %s after it has started again", e.id, returnBound)
				}
			}
			f.sendFor(returnBound, "", noticeInterval, &afterwards)
			if tt.leaving < len(all) && meanwhile.answered < meanwhile.sent {
				t.Errorf("%d of %d requests are answered though another engine takes them", meanwhile.answered, meanwhile.sent)
			}
			if tt.leaving == len(all) {
				checkRefused(t, &meanwhile)
			}
			if afterwards.answered < afterwards.sent {
				t.Errorf("%d of %d requests are answered after the new start", afterwards.answered, afterwards.sent)
			}
		})
	}
}

// checkRefused checks that requests were refused at once, with a time after which to come again.
func checkRefused(t *testing.T, a *answers) {
	t.Helper()
	if len(a.refusalTimes) == 0 || a.withoutRetryAfter > 0 {
		t.Errorf("%d of %d refusals name no time", a.withoutRetryAfter, len(a.refusalTimes))
	}
	if slowest := slices.Max(append(a.refusalTimes, 0)); slowest > maxRefusalTime {
		t.Errorf("a request is refused after %s", slowest)
	}
}
