package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	llm  = ident.Service("llm")
	desk = ident.Service("desk")
)

var start = time.Unix(1000, 0)

func list(service ident.Service, count int) []engines.Engine {
	var all []engines.Engine
	for i := range count {
		all = append(all, engines.Engine{ID: ident.Engine(fmt.Sprintf("%s-%d", service, i)), Service: service, Domain: ident.Domain(fmt.Sprintf("d%d", i%3))})
	}
	return all
}

func prompt(ids ...string) []Part {
	tokens := make([]int, len(ids))
	for i := range tokens {
		tokens[i] = 1000
	}
	return NewParts(ids, tokens, "m")
}

func choose(t *testing.T, table *Table, all *engines.List, r Request, now time.Time) (Choice, *Placement) {
	t.Helper()
	c, placement, ok := table.Choose(all, r, now)
	if !ok {
		t.Fatal("no engine was chosen")
	}
	return c, placement
}

func TestPromptReturnsToEngineThatHoldsIt(t *testing.T) {
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, 9))
	first, placement := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b", "own1")}, start)
	placement.PrefillDone(start)
	placement.End()
	for i := range 20 {
		again, placement := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b", fmt.Sprint("own", i))}, start.Add(time.Second))
		if again.Engine.ID != first.Engine.ID || again.CachedTokens < 2000 {
			t.Fatalf("went to %s with %d cached, want %s", again.Engine.ID, again.CachedTokens, first.Engine.ID)
		}
		placement.End()
	}
}

// TestInstancesAgreeOnColdPrompts checks that instances without shared state send a prompt that no engine has read to the same engine.
func TestInstancesAgreeOnColdPrompts(t *testing.T) {
	all := engines.NewList(list(llm, 9))
	used := make(map[ident.Engine]bool)
	for subject := range 30 {
		chosen := make(map[ident.Engine]bool)
		for instance := range 9 {
			c, _ := choose(t, New(Policy{LoadBound: 1.5}), all, Request{Service: llm, Parts: prompt("a", fmt.Sprint(subject), fmt.Sprint(instance)), Domain: "none"}, start)
			chosen[c.Engine.ID] = true
			used[c.Engine.ID] = true
		}
		if len(chosen) != 1 {
			t.Fatalf("prompt %d went to %d engines", subject, len(chosen))
		}
	}
	if len(used) < 6 {
		t.Fatalf("30 prompts used %d of 9 engines", len(used))
	}
}

// TestPopularFirstPartDoesNotHideLaterParts guards against a lost cache hit. Only a few holders are kept for each part, and a first part
// that all engines hold must not displace the engine that holds the parts after it.
func TestPopularFirstPartDoesNotHideLaterParts(t *testing.T) {
	table, all := New(Policy{LoadBound: 100}), engines.NewList(list(llm, 9))
	first, placement := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b", "own")}, start)
	placement.PrefillDone(start)
	for _, e := range all.OfService(llm) {
		table.MergeHolders([]Holder{{Part: prompt("a")[0].ID, Engine: e.Key, At: start.Add(time.Second)}})
	}
	again, _ := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b", "own2")}, start.Add(2*time.Second))
	if again.Engine.ID != first.Engine.ID || again.CachedTokens != 2000 {
		t.Fatalf("went to %s with %d cached, want %s with 2000", again.Engine.ID, again.CachedTokens, first.Engine.ID)
	}
}

func TestPromptOfOverloadedEngineIsFetchedByAnother(t *testing.T) {
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, 3))
	first, _ := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b", "own")}, start)
	table.SetRemoteLoads("other", map[engines.Key]int{first.Engine.Key: 40}, start)
	again, _ := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b", "own2")}, start)
	if again.Engine.ID == first.Engine.ID {
		t.Fatal("the engine is over the bound and was chosen")
	}
	if again.Source != first.Engine.Key || again.FetchedTokens != 2000 {
		t.Fatalf("fetches %d tokens from %d", again.FetchedTokens, again.Source)
	}
}

// TestBoundHoldsForOneHotPrompt sends requests for a single subject and checks that no engine goes over the load bound.
func TestBoundHoldsForOneHotPrompt(t *testing.T) {
	const engineCount, running = 9, 90
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, engineCount))
	loads := make(map[ident.Engine]int)
	for i := range running {
		c, _ := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "hot", fmt.Sprint(i))}, start)
		loads[c.Engine.ID]++
		mean := float64(i+1) / engineCount
		if got := float64(loads[c.Engine.ID]); got > 1.5*mean+loadAllowance+1 {
			t.Fatalf("request %d brings one engine to %.0f requests, the mean is %.1f", i, got, mean)
		}
	}
}

func TestOnlyRepeatedFailuresMovePrompts(t *testing.T) {
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, 3))
	r := Request{Service: llm, Parts: prompt("a", "b", "own")}
	first, placement := choose(t, table, all, r, start)
	placement.End()
	table.RecordFailure(first.Engine, false, start)
	second, placement := choose(t, table, all, r, start)
	placement.End()
	if second.Engine.ID != first.Engine.ID {
		t.Fatal("a single failure moved the prompt to another engine")
	}
	for range 4 {
		table.RecordFailure(first.Engine, false, start)
	}
	third, _ := choose(t, table, all, r, start)
	if third.Engine.ID == first.Engine.ID {
		t.Fatal("the prompt stays with an engine that fails all requests")
	}
}

func TestUnreachableEngineBacksOffAndIsRetried(t *testing.T) {
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(desk, 2))
	bad := all.OfService(desk)[0]
	table.RecordFailure(bad, true, start)
	for range 10 {
		if c, placement := choose(t, table, all, Request{Service: desk}, start.Add(minBackoff/2)); c.Engine.ID == bad.ID {
			t.Fatal("the unreachable engine was chosen")
		} else {
			placement.End()
		}
	}
	got := false
	for range 50 {
		c, placement := choose(t, table, all, Request{Service: desk}, start.Add(30*time.Second))
		placement.End()
		got = got || c.Engine.ID == bad.ID
	}
	if !got {
		t.Fatal("the engine is not tried again after its back-off")
	}
}

func TestTriedEnginesAreNotChosen(t *testing.T) {
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(desk, 2))
	tried := []ident.Engine{"desk-0", "desk-1"}
	if _, _, ok := table.Choose(all, Request{Service: desk, Tried: tried}, start); ok {
		t.Fatal("an engine was chosen again")
	}
}

func TestPlainRequestsSpreadByLoad(t *testing.T) {
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(desk, 3))
	loads := make(map[ident.Engine]int)
	for range 30 {
		c, _ := choose(t, table, all, Request{Service: desk, Domain: "d0"}, start)
		loads[c.Engine.ID]++
	}
	for id, n := range loads {
		if n < 9 || n > 11 {
			t.Fatalf("%s has %d of 30", id, n)
		}
	}
}

func TestDrainingEngineIsOnlyFetchSource(t *testing.T) {
	table := New(Policy{LoadBound: 1.5})
	before := list(llm, 3)
	r := Request{Service: llm, Parts: prompt("a", "b", "own")}
	first, _ := choose(t, table, engines.NewList(before), r, start)
	after := list(llm, 3)
	for i := range after {
		after[i].Draining = after[i].ID == first.Engine.ID
	}
	next, _ := choose(t, table, engines.NewList(after), r, start)
	if next.Engine.ID == first.Engine.ID || next.Source != first.Engine.Key {
		t.Fatalf("went to %s, fetching from %d", next.Engine.ID, next.Source)
	}
}

func TestRestartedEngineHoldsNothing(t *testing.T) {
	table := New(Policy{LoadBound: 1.5})
	before := list(llm, 1)
	r := Request{Service: llm, Parts: prompt("a", "b", "own")}
	_, placement := choose(t, table, engines.NewList(before), r, start)
	placement.End()
	after := list(llm, 1)
	after[0].StartedAtMs = 5
	if c, _ := choose(t, table, engines.NewList(after), r, start); c.CachedTokens != 0 || c.FetchedTokens != 0 {
		t.Fatalf("%d tokens cached, %d fetched", c.CachedTokens, c.FetchedTokens)
	}
}

func TestBackoffsAreSharedBetweenInstances(t *testing.T) {
	first, second, all := New(Policy{LoadBound: 1.5}), New(Policy{LoadBound: 1.5}), engines.NewList(list(desk, 2))
	bad := all.OfService(desk)[0]
	first.RecordFailure(bad, true, start)
	second.MergeBackoffs(first.LocalBackoffs(8, start), start)
	for range 10 {
		if c, placement := choose(t, second, all, Request{Service: desk}, start.Add(minBackoff/2)); c.Engine.ID == bad.ID {
			t.Fatal("an engine that another instance could not reach was chosen")
		} else {
			placement.End()
		}
	}
	if len(second.LocalBackoffs(8, start)) != 0 {
		t.Fatal("a back-off received from another instance is passed on")
	}
	second.RecordSuccess(bad, start)
	second.MergeBackoffs(first.LocalBackoffs(8, start), start)
	got := false
	for range 50 {
		c, placement := choose(t, second, all, Request{Service: desk}, start.Add(time.Millisecond))
		placement.End()
		got = got || c.Engine.ID == bad.ID
	}
	if !got {
		t.Fatal("a back-off from another instance overrides an answer of the engine itself")
	}
}
