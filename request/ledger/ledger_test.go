package ledger_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/ledger"
	"github.com/vanillaroute/vanillaroute/store"
	"github.com/vanillaroute/vanillaroute/wire"
	"pgregory.net/rapid"
)

type (
	// memoryStore is a store in memory. Its first calls fail with the given faults.
	memoryStore struct {
		store.Store
		mu      sync.Mutex
		entries map[string]store.Entry
		rev     ident.Revision
		faults  []storeFault
	}

	storeFault int

	// fakeService counts the executions of each key.
	fakeService struct {
		mu         sync.Mutex
		runs       map[string]int
		loseAnswer map[string]bool
	}
)

const (
	noFault storeFault = iota
	faultUnavailable
	faultCallLost
	faultAnswerLost
	storeFaultCount
)

// init sets a fixed seed for the generated cases; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func newStore(faults ...storeFault) *memoryStore {
	return &memoryStore{entries: make(map[string]store.Entry), rev: 1, faults: faults}
}

func (s *memoryStore) Grant(context.Context, time.Duration) (store.Lease, error) { return 1, nil }

func (s *memoryStore) Commit(_ context.Context, t store.Txn) (store.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := noFault
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	switch fault {
	case faultUnavailable:
		return store.Result{}, &store.UnavailableError{Cause: errors.New("down")}
	case faultCallLost:
		return store.Result{}, &store.OutcomeUnknownError{Cause: errors.New("lost")}
	}
	result := s.commit(t)
	if fault == faultAnswerLost {
		return store.Result{}, &store.OutcomeUnknownError{Cause: errors.New("lost")}
	}
	return result, nil
}

func (s *memoryStore) commit(t store.Txn) store.Result {
	matches := true
	var found []store.Entry
	for _, c := range t.Conditions {
		e, ok := s.entries[c.Key]
		matches = matches && e.Revision == c.Revision
		if ok {
			found = append(found, e)
		}
	}
	if !matches {
		return store.Result{Revision: s.rev, Found: found}
	}
	s.rev++
	for _, p := range t.Puts {
		if p.Delete {
			delete(s.entries, p.Key)
			continue
		}
		s.entries[p.Key] = store.Entry{Key: p.Key, Value: p.Value, Revision: s.rev}
	}
	return store.Result{Succeeded: true, Revision: s.rev}
}

func (s *fakeService) send(_ context.Context, call wire.ServiceCall) (wire.ServiceAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[call.Key]++
	if s.loseAnswer[call.Key] {
		return wire.ServiceAnswer{}, errors.New("answer lost")
	}
	return wire.ServiceAnswer{Status: 200, Body: []byte(fmt.Sprint("run ", s.runs[call.Key], " of ", call.Key))}, nil
}

// newLedgers returns the ledgers of n routers that share a store and a service. The routers in dead do not count as running.
func newLedgers(t *testing.T, n int, s store.Store, service *fakeService, dead map[ident.Router]bool) []*ledger.Ledger {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ledgers := make([]*ledger.Ledger, n)
	for i := range ledgers {
		id := ident.Router(fmt.Sprint("router-", i))
		ledgers[i] = ledger.New(ctx, ledger.Dependencies{
			Self: id, Incarnation: 1, Store: s, Send: service.send, FaultPoint: func(string, ident.Request) {},
			Alive: func(r ident.Router, _ ident.Incarnation) bool { return !dead[r] },
			Forward: func(ctx context.Context, owner ident.Router, call wire.ServiceCall) (wire.ServiceAnswer, error) {
				for j := range ledgers {
					if owner == ident.Router(fmt.Sprint("router-", j)) {
						return ledgers[j].Do(ctx, call, time.Now()), nil
					}
				}
				return wire.ServiceAnswer{}, errors.New("unknown owner")
			},
		})
	}
	return ledgers
}

func newCall(key string) wire.ServiceCall {
	return wire.ServiceCall{Request: "r", Organisation: "o", Service: "desk", Method: "POST", Path: "/bookings", Key: key, Body: []byte("{}")}
}

// TestEachKeyRunsAtMostOnce guards against repeated executions. It sends each key concurrently and repeatedly through several routers
// while calls to the store fail with generated faults.
func TestEachKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var faults []storeFault
		for _, f := range rapid.SliceOfN(rapid.IntRange(0, int(storeFaultCount)-1), 0, 12).Draw(rt, "faults") {
			faults = append(faults, storeFault(f))
		}
		keys := []string{"a", "b", "c"}
		service := &fakeService{runs: make(map[string]int), loseAnswer: map[string]bool{"c": rapid.Bool().Draw(rt, "answerLost")}}
		ledgers := newLedgers(t, 3, newStore(faults...), service, nil)
		answers := make([]map[string]wire.ServiceAnswer, len(ledgers))
		for range 2 {
			var group sync.WaitGroup
			for i, l := range ledgers {
				answers[i] = make(map[string]wire.ServiceAnswer)
				for _, key := range keys {
					if !rapid.Bool().Draw(rt, "sent") {
						continue
					}
					group.Go(func() {
						a := l.Do(context.Background(), newCall(key), time.Now())
						service.mu.Lock()
						defer service.mu.Unlock()
						answers[i][key] = a
					})
				}
			}
			group.Wait()
		}
		service.mu.Lock()
		defer service.mu.Unlock()
		for key, n := range service.runs {
			if n > 1 {
				rt.Fatalf("%s ran %d times", key, n)
			}
		}
		for i := range answers {
			for key, a := range answers[i] {
				want := "run 1 of " + key
				if a.Refusal == nil && string(a.Body) != want {
					rt.Fatalf("%s was answered %q, want %q", key, a.Body, want)
				}
			}
		}
	})
}

// TestIntentOfDeadRouterIsNotRunAgain guards against a second execution when a router stops after it has stored the intent: the call may
// have been sent.
func TestIntentOfDeadRouterIsNotRunAgain(t *testing.T) {
	s := newStore()
	service := &fakeService{runs: make(map[string]int)}
	dead := map[ident.Router]bool{"router-0": true}
	ledgers := newLedgers(t, 2, s, service, dead)
	ctx, cancel := context.WithCancel(context.Background())
	stuck := ledger.New(ctx, ledger.Dependencies{
		Self: "router-0", Incarnation: 1, Store: s, FaultPoint: func(step string, _ ident.Request) {
			if step == "intentWritten" {
				cancel()
				select {}
			}
		},
	})
	go stuck.Do(context.Background(), newCall("k"), time.Now())
	<-ctx.Done()
	a := ledgers[1].Do(context.Background(), newCall("k"), time.Now())
	if a.Refusal == nil || a.Refusal.Outcome != wire.OutcomeUnknown || service.runs["k"] != 0 {
		t.Errorf("got %+v after %d runs, want an unknown outcome and no run", a.Refusal, service.runs["k"])
	}
}

// TestIssuedKeysOfAnotherIncarnationAreRefused guards against a second execution of a call with an issued key after a restart of the
// router, and after the key has expired.
func TestIssuedKeysOfAnotherIncarnationAreRefused(t *testing.T) {
	service := &fakeService{runs: make(map[string]int)}
	now := time.Now()
	l := newLedgers(t, 1, newStore(faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable), service, nil)[0]
	key := l.IssueKey(now)
	tests := []struct {
		name, key string
		at        time.Time
		ran       bool
	}{
		{"issued here", key, now, true},
		{"again", key, now, true},
		{"expired", key, now.Add(ledger.IssuedKeyTTL), false},
		{"of another incarnation", "vr1~router-0~0~nonce", now, false},
	}
	for _, tt := range tests {
		a := l.Do(context.Background(), newCall(tt.key), tt.at)
		if (a.Refusal == nil) != tt.ran {
			t.Errorf("%s: got %+v", tt.name, a.Refusal)
		}
		if !tt.ran && a.Refusal.Outcome == wire.OutcomeNotRun {
			t.Errorf("%s: refused as notRun, but an earlier incarnation may have run it", tt.name)
		}
	}
	if service.runs[key] != 1 {
		t.Errorf("ran %d times", service.runs[key])
	}
}
