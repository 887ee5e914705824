package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// limitedFleet returns the tables of a fleet that knows the limits of all engines of a service.
func limitedFleet(size, engineCount int, limit RequestRate, now time.Time) ([]*Table, *engines.List) {
	var all []engines.Engine
	for i := range engineCount {
		all = append(all, engines.Engine{ID: ident.Engine(fmt.Sprint("e", i)), Service: "s"})
	}
	list := engines.NewList(all)
	names := make([]string, size)
	tables := make([]*Table, size)
	for i := range tables {
		names[i] = fmt.Sprint("n", i)
		tables[i] = New(Policy{LoadBound: 1.5})
	}
	for i, t := range tables {
		t.SetFleet(names[i], names)
		for _, e := range list.OfService("s") {
			t.MergeLimits([]Limit{{Engine: e.Key, Rate: limit, At: now}})
		}
	}
	return tables, list
}

// TestFleetStaysWithinLimits sends requests to random instances, in bursts after pauses in which tokens collect, and counts the requests at each
// engine in each window. Most of the limit must be used.
func TestFleetStaysWithinLimits(t *testing.T) {
	const (
		engineCount = 4
		step        = 20 * time.Millisecond
		duration    = 40 * time.Second
	)
	tests := []struct {
		size  int
		limit RequestRate
	}{{1, 2}, {3, 4}, {9, 0.5}, {9, 1.8}, {9, 50}, {89, 3}, {89, 40}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d instances, %g a second", tt.size, tt.limit), func(t *testing.T) {
			start := time.Unix(1000, 0)
			perSecond := float64(tt.limit)
			tables, list := limitedFleet(tt.size, engineCount, tt.limit, start)
			rng := rand.New(rand.NewPCG(1, uint64(tt.size)))
			sent := make(map[engines.Key][]time.Time)
			total := 0
			for now := start; now.Sub(start) < duration; now = now.Add(step) {
				if phase := now.Sub(start) % (8 * time.Second); phase < 3*time.Second {
					continue
				}
				for range int(10*perSecond*engineCount*step.Seconds()) + 5 {
					if c, placement, ok := tables[rng.IntN(tt.size)].Choose(list, Request{Service: "s", Instances: tt.size}, now); ok {
						placement.End()
						sent[c.Engine.Key] = append(sent[c.Engine.Key], now)
						total++
					}
				}
			}
			bound := limitTolerance*perSecond*limitWindow.Seconds() + 5
			for key, times := range sent {
				for i, from := range times {
					end, _ := slices.BinarySearchFunc(times, from.Add(limitWindow), time.Time.Compare)
					if n := end - i; float64(n) > bound {
						t.Fatalf("engine %d gets %d requests in %s, allowed %.1f", key, n, limitWindow, bound)
					}
				}
			}
			if used := float64(total) / (perSecond * engineCount * duration.Seconds()); used < 0.6 {
				t.Errorf("%.2f of the limits are used", used)
			}
		})
	}
}

// TestLimitIsDivided guards against shares that exceed a limit together, and against shares too small for a request.
func TestLimitIsDivided(t *testing.T) {
	for size := 1; size <= 1000; size++ {
		for limit := MinLimit; limit < 1000; limit *= 1.07 {
			named, tolerated, sharing := divideLimit(limit, size)
			inWindow := math.Floor(tolerated.most + tolerated.perSecond*limitWindow.Seconds())
			if all, bound := inWindow*float64(sharing), limitTolerance*float64(limit)*limitWindow.Seconds()+5; all > bound {
				t.Fatalf("%d instances send %.0f requests in %s to an engine with a limit of %g", size, all, limitWindow, limit)
			}
			if sharing < 1 || sharing > size || named.most < 1 || tolerated.most < 1 || tolerated.perSecond < named.perSecond ||
				math.Abs(named.perSecond*float64(sharing)-float64(limit)) > 1e-6*float64(limit) {
				t.Fatalf("%d of %d instances have shares %+v and %+v of a limit of %g", sharing, size, named, tolerated, limit)
			}
		}
	}
}

func TestLimitsOfEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	request := Request{Service: "s", Instances: 3}
	tests := []struct {
		name string
		// happens changes the knowledge of an instance that has used all its tokens for the only engine.
		happens func(table *Table, key engines.Key)
		after   time.Duration
		placed  bool
	}{
		{"all tokens are used", func(*Table, engines.Key) {}, 0, false},
		{"tokens come with time", func(*Table, engines.Key) {}, 2 * time.Second, true},
		{"other instances confirm the limit", func(table *Table, k engines.Key) {
			table.MergeLimits([]Limit{{Engine: k, Rate: 2, At: now.Add(time.Millisecond)}})
		}, 0, false},
		{"the engine names no limit any more", func(table *Table, k engines.Key) {
			table.MergeLimits([]Limit{{Engine: k, At: now.Add(time.Millisecond)}})
		}, 0, true},
		{"another instance has learned that the limit has ended", func(table *Table, k engines.Key) {
			table.MergeLimits([]Limit{{Engine: k, At: now.Add(time.Millisecond)}})
		}, 0, true},
		{"an earlier answer without a limit", func(table *Table, k engines.Key) {
			table.MergeLimits([]Limit{{Engine: k, At: now.Add(-time.Millisecond)}})
		}, 0, false},
		{"the limit ends and returns", func(table *Table, k engines.Key) {
			table.MergeLimits([]Limit{{Engine: k, At: now.Add(time.Millisecond)}})
			table.MergeLimits([]Limit{{Engine: k, Rate: 2, At: now.Add(2 * time.Millisecond)}})
		}, 10 * time.Millisecond, false},
		{"no answer confirms the limit", func(table *Table, k engines.Key) { table.engineState(k).limit.tolerated.tokens = -1000 }, limitTTL + time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tables, list := limitedFleet(3, 1, 2, now)
			for placed := true; placed; {
				_, _, placed = tables[0].Choose(list, request, now)
			}
			tt.happens(tables[0], list.OfService("s")[0].Key)
			_, _, ok := tables[0].Choose(list, request, now.Add(tt.after))
			if ok != tt.placed {
				t.Fatalf("placed is %v", ok)
			}
			if wait, limited := tables[0].UntilAccepted(list, request, now.Add(tt.after)); !ok && (!limited || wait <= 0 || wait > 2*time.Second) {
				t.Errorf("limited is %v, for %s", limited, wait)
			}
		})
	}
}

// TestRoomOnOtherEnginesIsUsedFirst guards against refusals, and against the load bound of engines without a limit, while others have one.
func TestRoomOnOtherEnginesIsUsedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	tables, list := limitedFleet(1, 3, 1, now)
	free := list.OfService("s")[2].Key
	tables[0].MergeLimits([]Limit{{Engine: free, At: now.Add(time.Millisecond)}})
	for i := range 50 {
		c, _, ok := tables[0].Choose(list, Request{Service: "s", Instances: 1}, now.Add(time.Millisecond))
		if !ok {
			t.Fatalf("request %d is refused", i)
		}
		if i >= 20 && c.Engine.Key != free {
			t.Fatalf("request %d goes to %v", i, c.Engine.ID)
		}
	}
}

// TestRequestsBeyondLimitsAndSlotsAreRefused guards against requests that wait until their deadlines at the only engine without a limit.
func TestRequestsBeyondLimitsAndSlotsAreRefused(t *testing.T) {
	const slots = 20
	now := time.Unix(1000, 0)
	free := engines.Engine{ID: "free", Service: "s", Slots: slots}
	limited := []engines.Engine{{ID: "limited1", Service: "s"}, {ID: "limited2", Service: "s"}, {ID: "limited3", Service: "s"}}
	tests := []struct {
		name string
		list *engines.List
		want int
	}{
		{"others have limits", engines.NewList(append(limited, free)), slots},
		{"no other engine", engines.NewList([]engines.Engine{free}), 10 * slots},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(Policy{LoadBound: 1.5})
			for _, e := range limited {
				table.MergeLimits([]Limit{{Engine: engines.NewList([]engines.Engine{e}).OfService("s")[0].Key, Rate: 1, At: now}})
			}
			placed := 0
			for range 10 * slots {
				c, _, ok := table.Choose(tt.list, Request{Service: "s", Instances: 1}, now)
				if ok && c.Engine.ID == free.ID {
					placed++
				}
			}
			if placed != tt.want {
				t.Errorf("%d requests are placed at the engine without a limit, want %d", placed, tt.want)
			}
			if _, limited := table.UntilAccepted(tt.list, Request{Service: "s", Instances: 1}, now); limited != (tt.want == slots) {
				t.Errorf("limited is %v", limited)
			}
		})
	}
}
