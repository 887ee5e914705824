package admission

import (
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
