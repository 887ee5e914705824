package admission

import (
	"fmt"
	"math"
	"testing"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

// TestSharesAreMaxMinFairByPriority guards against shares in proportion to the requests sent, and against priorities that starve.
func TestSharesAreMaxMinFairByPriority(t *testing.T) {
	type flow struct {
		route, org string
		priority   routing.Priority
	}
	heavy, light, other := flow{"heavy", "a", 1}, flow{"light", "a", 1}, flow{"heavy", "b", 1}
	rare := flow{"light", "b", 1}
	urgent, last := flow{"heavy", "a", 0}, flow{"heavy", "a", 2}
	tests := []struct {
		name    string
		flows   map[flow]float64
		allowed float64
		want    map[flow]float64
	}{
		{"enough for all", map[flow]float64{heavy: 90, light: 10}, 100, map[flow]float64{heavy: 1, light: 1}},
		{"a light route", map[flow]float64{heavy: 90, light: 10}, 50, map[flow]float64{heavy: 40.0 / 90, light: 1}},
		{"a light organisation", map[flow]float64{heavy: 90, other: 10}, 50, map[flow]float64{heavy: 40.0 / 90, other: 1}},
		{"the largest organisation on a light route", map[flow]float64{heavy: 81, other: 9, light: 9, rare: 1}, 50, map[flow]float64{heavy: 31.0 / 81, other: 1, light: 1, rare: 1}},
		{"equal organisations", map[flow]float64{heavy: 50, other: 50}, 50, map[flow]float64{heavy: 0.5, other: 0.5}},
		{"less than the light route sends", map[flow]float64{heavy: 90, light: 10}, 10, map[flow]float64{heavy: 5.0 / 90, light: 0.5}},
		{"priorities", map[flow]float64{urgent: 50, heavy: 50, last: 100}, 100, map[flow]float64{urgent: 1, heavy: 0.5, last: 0.25}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sum := 0.0
			routes, organisations := make(map[Class]float64), make(map[Class]float64)
			for f, n := range tt.flows {
				routes[NewClass(f.route, f.priority)] += n
				organisations[NewClass(f.org, f.priority)] += n
			}
			for f, want := range tt.want {
				got := admittedShare(routes, organisations, NewClass(f.route, f.priority), NewClass(f.org, f.priority), total(tt.flows), tt.allowed)
				if math.Abs(got-want) > 0.01 {
					t.Errorf("%+v: got %.3f, want %.3f", f, got, want)
				}
				sum += got * tt.flows[f]
			}
			if want := min(tt.allowed, total(tt.flows)); math.Abs(sum-want) > 1 {
				t.Errorf("%.1f requests are admitted, %.1f allowed", sum, want)
			}
		})
	}
}

// TestLightRouteIsServedWhoeverAsks guards against requests on an added route that are refused because their organisation, or all callers without one together,
// send more than an equal share. The figures are those of an overloaded day, in hundredths of all requests.
func TestLightRouteIsServedWhoeverAsks(t *testing.T) {
	const all, priority = 100, routing.Priority(2)
	added, busy := NewClass("added", priority), NewClass("busy", priority)
	routes := map[Class]float64{busy: 71, NewClass("usual", priority): 26, added: 2.5}
	organisations := map[Class]float64{NewClass("", priority): 2.5}
	largest, smallest, unknown := NewClass("0", priority), NewClass("6", priority), NewClass("unknown", priority)
	for i, n := range []float64{40, 14, 7.5, 3.7, 2.9, 2.4, 2.3} {
		organisations[NewClass(fmt.Sprint(i), priority)] = n
	}
	for _, allowed := range []float64{9, 15, 25} {
		for _, org := range []Class{NewClass("", priority), largest, unknown} {
			if got := admittedShare(routes, organisations, added, org, all, allowed); got < 1 {
				t.Errorf("%.0f allowed: %.2f of an organisation's requests on the light route are admitted", allowed, got)
			}
		}
		large, small, rest := admittedShare(routes, organisations, busy, largest, all, allowed), admittedShare(routes, organisations, busy, smallest, all, allowed), admittedShare(routes, organisations, busy, unknown, all, allowed)
		if large >= small || small > rest || rest > 1.2*small {
			t.Errorf("%.0f allowed: on the busy route %.3f of the largest organisation, %.3f of a small one and %.3f of an unknown one are admitted", allowed, large, small, rest)
		}
	}
}

// TestDecayedClassesDoNotSizeTheUnknownOnes guards against a panic, or a list of millions of classes, because the count of a known class has decayed to
// nearly nothing while others are unknown.
func TestDecayedClassesDoNotSizeTheUnknownOnes(t *testing.T) {
	const all, allowed = 100.0, 10.0
	route, unknown := NewClass("r", 0), NewClass("unknown", 0)
	for _, left := range []float64{0, 1e-300, 1e-9} {
		organisations := map[Class]float64{NewClass("decayed", 0): left}
		if got := admittedShare(map[Class]float64{route: all}, organisations, route, unknown, all, allowed); math.Abs(got-allowed/all) > 0.01 {
			t.Errorf("with a count of %g, %.2f of an unknown organisation is admitted", left, got)
		}
	}
}
