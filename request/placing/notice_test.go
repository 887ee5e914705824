package placing

import (
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// TestEnginesThatTakeNoRequestsAreNotChosen guards against requests at engines that have said that they are leaving or want none for a time, and
// against avoiding them for longer.
func TestEnginesThatTakeNoRequestsAreNotChosen(t *testing.T) {
	const paused = 2 * time.Second
	tests := []struct {
		name    string
		notices []Notice
		// unregistered is how long the engine is then missing from the list.
		unregistered time.Duration
		after        time.Duration
		chosen       bool
		// wait is the time until the engine accepts a request, or 0 if it does not say.
		wait time.Duration
	}{
		{"no notice", []Notice{{}}, 0, 0, true, 0},
		{"paused", []Notice{{PausedFor: paused}}, 0, paused / 2, false, paused / 2},
		{"an answer without a pause meanwhile", []Notice{{PausedFor: paused}, {}}, 0, paused / 2, false, paused / 2},
		{"a shorter pause meanwhile", []Notice{{PausedFor: paused}, {PausedFor: time.Second}}, 0, 3 * paused / 4, false, paused / 4},
		{"the pause has ended", []Notice{{PausedFor: paused}}, 0, paused, true, 0},
		{"paused and missing for a time", []Notice{{PausedFor: paused}}, paused / 2, paused / 2, false, paused / 2},
		{"leaving", []Notice{{Leaving: true}}, 0, time.Minute, false, 0},
		{"an answer that does not say so any more", []Notice{{Leaving: true}, {}}, 0, time.Minute, false, 0},
		{"leaving and missing for a time", []Notice{{Leaving: true}}, time.Minute, time.Minute, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(desk, 1))
			request := Request{Service: desk, Instances: 1}
			for _, n := range tt.notices {
				table.RecordNotice(all.OfService(desk)[0].Key, n, start)
			}
			now := start.Add(tt.after)
			if tt.unregistered > 0 {
				table.Prune(func(engines.Key) bool { return false }, start.Add(tt.unregistered))
			}
			if _, _, ok := table.Choose(all, request, now); ok != tt.chosen {
				t.Errorf("chosen is %t", ok)
			}
			if wait, waits := table.UntilAccepted(all, request, now); waits != (tt.wait > 0) || (waits && wait != tt.wait) {
				t.Errorf("waits for %s, %t", wait, waits)
			}
		})
	}
}

// TestLimitOutlivesTheEntryOfItsEngine guards against a full share of a limit whenever the entry of an engine returns.
func TestLimitOutlivesTheEntryOfItsEngine(t *testing.T) {
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(desk, 1))
	table.SetFleet("a", []string{"a"})
	rate := RequestRate(1)
	table.RecordNotice(all.OfService(desk)[0].Key, Notice{Limit: &rate}, start)
	placed := 0
	for now := start; now.Sub(start) < limitWindow; now = now.Add(100 * time.Millisecond) {
		if _, p, ok := table.Choose(all, Request{Service: desk, Instances: 1}, now); ok {
			p.End()
			placed++
		}
		table.Prune(func(engines.Key) bool { return false }, now)
	}
	if bound := limitTolerance*float64(rate)*limitWindow.Seconds() + limitAllowance; float64(placed) > bound {
		t.Errorf("%d requests are placed in %s, allowed %.0f", placed, limitWindow, bound)
	}
}

// TestBoundDoesNotCountEnginesThatTakeNone guards against a bound so low that all engines that take requests are over it, and load no longer counts.
func TestBoundDoesNotCountEnginesThatTakeNone(t *testing.T) {
	for _, notice := range []Notice{{Leaving: true}, {PausedFor: time.Second}} {
		table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, 10))
		on := all.OfService(llm)
		for i, e := range on {
			n := notice
			n.Load = &Report{}
			if i < 2 {
				n = Notice{Load: &Report{Running: []int{60, 12}[i]}}
			}
			table.RecordNotice(e.Key, n, start)
		}
		parts := prompt("a", "b")
		table.MergeHolders([]Holder{{Part: parts[0].ID, Engine: on[0].Key, At: start}})
		if c, _ := choose(t, table, all, Request{Service: llm, Parts: parts, Instances: 1}, start); c.Engine.Key != on[1].Key {
			t.Errorf("%+v: the engine with load %.1f is chosen, mean %.1f", notice, c.EngineLoad, c.MeanLoad)
		}
	}
}

// TestOthersAreChosenWhileAnEngineTakesNone guards against refusing requests, or exceeding the bound, while other engines have room.
func TestOthersAreChosenWhileAnEngineTakesNone(t *testing.T) {
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, 3))
	first := all.OfService(llm)[0]
	table.RecordNotice(first.Key, Notice{PausedFor: time.Second}, start)
	for i := range 30 {
		if c, _ := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b"), Instances: 1}, start); c.Engine.Key == first.Key {
			t.Fatalf("request %d goes to the engine that takes none", i)
		}
	}
	if c, _ := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b"), Instances: 1}, start.Add(time.Second)); c.Engine.Key != first.Key {
		t.Errorf("after the pause the idle engine is not chosen, but one with load %.1f", c.EngineLoad)
	}
}
