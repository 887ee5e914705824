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
	// limitWindow, limitFactor and limitAllowance bound the requests at an engine that names a limit: in each window, limitFactor times what the
	// limit allows and limitAllowance.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	// maxRefusalTime bounds the time until a request is refused that fits nowhere.
	maxRefusalTime = 250 * time.Millisecond
)

// limitingEngine names a limit in its answers while it has one.
type limitingEngine struct {
	mu       sync.Mutex
	limit    float64
	arrivals []time.Time
}

func (e *limitingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	limit := e.limit
	e.mu.Unlock()
	time.Sleep(engineRunTime)
	if limit > 0 {
		w.Header().Set("X-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	writeAnswer(w, r)
}

func (e *limitingEngine) setLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = perSecond
}

// mostInWindow returns the highest number of arrivals in a window between two times.
func (e *limitingEngine) mostInWindow(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, first := range e.arrivals {
		n := 0
		for _, at := range e.arrivals[i:] {
			if at.Before(to) && at.Sub(first) < limitWindow {
				n++
			}
		}
		if first.After(from) {
			most = max(most, n)
		}
	}
	return most
}

// TestEnginesGetNoMoreThanTheLimitThatTheyName guards against more requests from all instances together than an engine's limit allows, and
// against refusals while there is room at other engines.
func TestEnginesGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	const limit = 4.0
	tests := []struct {
		name string
		// limited is the number of engines, of four, that name a limit.
		limited int
		// minAnswered is the least share of the requests that are answered meanwhile.
		minAnswered float64
	}{
		{"room at other engines", 2, 1},
		// 60 requests a second are sent.
		{"no room anywhere", 4, 0.75 * 4 * limit / 60},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.store.Delete("engines/e1")
			var engines []*limitingEngine
			for i := range 4 {
				e := &limitingEngine{}
				f.addEngine(fmt.Sprint("l", i), e)
				engines = append(engines, e)
			}
			var unlimited, limited, afterwards, unchecked answers
			send := func(result *answers, duration time.Duration) {
				f.sendFor(duration, "shared,subject,", time.Second/60, result)
			}
			time.Sleep(contactBound)
			send(&unlimited, 2*contactBound)
			for _, e := range engines[:tt.limited] {
				e.setLimit(limit)
			}
			send(&unchecked, contactBound)
			from := time.Now()
			send(&limited, limitWindow+2*contactBound)
			for i, e := range engines[:tt.limited] {
				if n := e.mostInWindow(from, time.Now()); float64(n) > limitFactor*limit*limitWindow.Seconds()+limitAllowance {
					t.Errorf("engine %d got %d requests in %s", i, n, limitWindow)
				}
				e.setLimit(0)
			}
			send(&unchecked, contactBound)
			send(&afterwards, contactBound)
			if unlimited.answered < unlimited.sent || afterwards.answered < afterwards.sent {
				t.Errorf("%d of %d requests are answered before the limits, and %d of %d after them", unlimited.answered, unlimited.sent, afterwards.answered, afterwards.sent)
			}
			if float64(limited.answered) < tt.minAnswered*float64(limited.sent) {
				t.Errorf("%d of %d requests are answered under limits", limited.answered, limited.sent)
			}
			if slowest := slices.Max(append(limited.refusalTimes, 0)); slowest > maxRefusalTime {
				t.Errorf("a request is refused after %s", slowest)
			}
		})
	}
}
