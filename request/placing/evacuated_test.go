package placing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/evacuation"
)

// TestEvacuatedEnginesAreNotChosen guards against requests at evacuated engines, for whatever reason they would be preferred, and against engines that
// stay unused after a withdrawal. The set changes between two attempts of one request.
func TestEvacuatedEnginesAreNotChosen(t *testing.T) {
	var none *evacuation.Set
	tests := []struct {
		name string
		sets []*evacuation.Set
		// inUse is the number of engines that are not evacuated in each attempt. Those of them that were tried can't be chosen again.
		inUse []int
	}{
		{"none", []*evacuation.Set{none, none}, []int{9, 9}},
		{"one before the first attempt", []*evacuation.Set{none.With("d0"), none.With("d0")}, []int{6, 6}},
		{"one between the attempts", []*evacuation.Set{none, none.With("d0").With("d1")}, []int{9, 3}},
		{"withdrawn between the attempts", []*evacuation.Set{none.With("d0").With("d1"), none.With("d0")}, []int{3, 6}},
		{"all", []*evacuation.Set{none, none.With("d0").With("d1").With("d2")}, []int{9, 0}},
		{"one without engines", []*evacuation.Set{none.With("x"), none.With("x")}, []int{9, 9}},
	}
	for _, tt := range tests {
		for _, parts := range [][]Part{nil, prompt("a", "b", "own")} {
			t.Run(fmt.Sprint(tt.name, " ", len(parts), " parts"), func(t *testing.T) {
				table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, 9))
				// Engines that are evacuated have read the prompt.
				for _, e := range all.OfService(llm) {
					if e.Domain == "d0" && len(parts) > 0 {
						table.MergeHolders([]Holder{{Part: parts[1].ID, Engine: e.Key, At: start}})
					}
				}
				r := Request{Service: llm, Parts: parts, Domain: "d0", Instances: 1}
				var tried []engines.Engine
				for attempt, set := range tt.sets {
					r.Evacuated = set
					want := tt.inUse[attempt]
					for _, e := range tried {
						if !slices.Contains(set.Domains(), e.Domain) {
							want--
						}
					}
					if slots := table.Slots(all, r, start); slots != 0 {
						t.Fatalf("%d slots of engines that name none", slots)
					}
					found := table.HasUntried(all, r, start)
					c, p, ok := table.Choose(all, r, start)
					if ok != (want > 0) || found != ok || r.AllEvacuated(all) == ok {
						t.Fatalf("attempt %d: chosen is %t, untried %t, all evacuated %t", attempt, ok, found, r.AllEvacuated(all))
					}
					left := table.CountLeftOut(all, r, start)
					if got := left.Registered - left.Evacuated - left.Tried; got != want {
						t.Errorf("attempt %d: %+v are left out", attempt, left)
					}
					if !ok {
						continue
					}
					p.End()
					if source, known := all.Get(c.Source); slices.Contains(set.Domains(), c.Engine.Domain) || (known && slices.Contains(set.Domains(), source.Domain)) || slices.Contains(r.Tried, c.Engine.ID) {
						t.Errorf("attempt %d: engine %s and source %s with %v evacuated", attempt, c.Engine.ID, source.ID, set.Domains())
					}
					// Each engine by itself is an alternative or not, so their number is checked.
					others := 0
					for _, e := range all.All() {
						left := r.WithTried([]ident.Engine{c.Engine.ID})
						for _, other := range all.All() {
							if other.ID != e.ID {
								left = left.WithTried([]ident.Engine{other.ID})
							}
						}
						if table.HasAlternative(all, left, start) {
							others++
						}
					}
					if some := table.HasAlternative(all, r.WithTried([]ident.Engine{c.Engine.ID}), start); others != want-1 || some != (want > 1) {
						t.Errorf("attempt %d: %d alternatives, any is %t, want %d", attempt, others, some, want-1)
					}
					r.Tried, tried = append(r.Tried, c.Engine.ID), append(tried, c.Engine)
				}
			})
		}
	}
}

// TestCopiesAreNotPricedFromEvacuatedEngines guards against a choice for the sake of a copy that cannot be made, and against parts that engines are
// assumed to hold after they were evacuated.
func TestCopiesAreNotPricedFromEvacuatedEngines(t *testing.T) {
	var none *evacuation.Set
	tests := []struct {
		name    string
		set     *evacuation.Set
		readAt  time.Time
		fetched int
	}{
		{"none", none, start, 2000},
		{"the holder", none.With("d0"), start, 0},
		{"another domain", none.With("d1"), start, 2000},
		{"read before the withdrawal", none.With("d0").Without("d0", start.Add(time.Second)), start, 0},
		{"read after the withdrawal", none.With("d0").Without("d0", start), start.Add(time.Second), 2000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, 9))
			holder := all.OfService(llm)[0]
			table.MergeHolders([]Holder{{Part: prompt("a", "b")[1].ID, Engine: holder.Key, At: tt.readAt}})
			// The holder was tried, so that the request goes elsewhere.
			c, _ := choose(t, table, all, Request{Service: llm, Parts: prompt("a", "b", "own"), Instances: 1, Tried: []ident.Engine{holder.ID}, Evacuated: tt.set}, start.Add(2*time.Second))
			if c.FetchedTokens != tt.fetched || (c.Source == holder.Key && tt.set.Contains(holder.Domain)) {
				t.Errorf("%d tokens are copied from %d", c.FetchedTokens, c.Source)
			}
		})
	}
}

// TestRanksAndMeansAreThoseOfTheOtherEngines guards against instances that disagree on the engine for a new prompt, or draw the rank of an evacuated one,
// and against a mean that counts the empty evacuated engines, by which all others are over the bound.
func TestRanksAndMeansAreThoseOfTheOtherEngines(t *testing.T) {
	const load = 30
	var none *evacuation.Set
	set := none.With("d0").With("d1")
	all := engines.NewList(list(llm, 9))
	others := engines.NewList(slices.DeleteFunc(list(llm, 9), func(e engines.Engine) bool { return e.Domain != "d2" }))
	for subject := range 30 {
		chosen := make(map[ident.Engine]bool)
		for instance, engineList := range []*engines.List{all, others} {
			table := New(Policy{LoadBound: 1.5})
			loads := make(map[engines.Key]int)
			for _, e := range others.OfService(llm) {
				loads[e.Key] = load
			}
			table.SetRemoteLoads("other", loads, start)
			c, _ := choose(t, table, engineList, Request{Service: llm, Parts: prompt("a", fmt.Sprint(subject), fmt.Sprint(instance)), Domain: "none", Instances: 2, Evacuated: set}, start)
			chosen[c.Engine.ID] = true
			if c.MeanLoad != load {
				t.Fatalf("the mean is %.1f, want %d", c.MeanLoad, load)
			}
		}
		if len(chosen) != 1 {
			t.Fatalf("prompt %d goes to %v", subject, chosen)
		}
	}
}

// TestSlotsAndWaitsLeaveOutEvacuatedEngines guards against admission for slots that no request may use, and against callers that are told to come back
// for an evacuated engine.
func TestSlotsAndWaitsLeaveOutEvacuatedEngines(t *testing.T) {
	var none *evacuation.Set
	on := list(desk, 6)
	for i := range on {
		on[i].Slots = 6
	}
	table, all := New(Policy{LoadBound: 1.5}), engines.NewList(on)
	table.RecordNotice(all.OfService(desk)[0].Key, Notice{PausedFor: time.Second}, start)
	tests := []struct {
		set   *evacuation.Set
		slots int
		waits bool
	}{
		{none, 30, true}, {none.With("d0"), 24, false}, {none.With("d1"), 18, true}, {none.With("d0").With("d1").With("d2"), 0, false},
	}
	for _, tt := range tests {
		r := Request{Service: desk, Instances: 1, Evacuated: tt.set}
		_, waits := table.UntilAccepted(all, r, start)
		if slots := table.Slots(all, r, start); slots != tt.slots || waits != tt.waits {
			t.Errorf("with %v evacuated: %d slots, waits is %t", tt.set.Domains(), slots, waits)
		}
	}
}
