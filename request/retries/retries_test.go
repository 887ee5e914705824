package retries

import (
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const service = ident.Service("desk")

var policy = Policy{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

func TestTakeStaysWithinShareOfOneInstance(t *testing.T) {
	tests := []struct {
		name                string
		requests, instances int
		want                int
	}{
		{"no requests, nine instances", 0, 9, 3},
		{"requests add their ratio", 100, 9, 23},
		{"other instances not known yet", 0, 1, 10},
		{"a large fleet", 50, 100, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := New(policy, now)
			for range tt.requests {
				b.CountRequest(service, now)
			}
			got := 0
			for b.Take(service, tt.instances, now) {
				got++
			}
			if got != tt.want {
				t.Fatalf("%d retries allowed, want %d", got, tt.want)
			}
		})
	}
}

// TestPolicyChangeKeepsCountedRetries guards against more retries than the budget allows when the policy changes repeatedly while all
// requests fail.
func TestPolicyChangeKeepsCountedRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(policy, now)
	got := 0
	for i := range 20 {
		b.SetPolicy(Policy{Ratio: policy.Ratio, Slack: policy.Slack, Window: policy.Window + time.Duration(i%3)*time.Second}, now)
		for b.Take(service, 9, now) {
			got++
		}
		now = now.Add(50 * time.Millisecond)
	}
	if got != 3 {
		t.Fatalf("%d retries allowed within one window, want 3", got)
	}
	b.SetPolicy(Policy{Ratio: policy.Ratio, Slack: 10 * policy.Slack, Window: policy.Window}, now)
	if !b.Take(service, 9, now) {
		t.Fatal("a larger budget does not apply")
	}
}

// TestFleetStaysWithinBudgetThroughRestarts guards against more retries than the fleet's budget allows when all nine instances restart
// within one window, and so lose their counts, while all requests fail.
func TestFleetStaysWithinBudgetThroughRestarts(t *testing.T) {
	const instances = 9
	now := time.Unix(1000, 0)
	requests, retries := 0, 0
	for range 2 {
		for range instances {
			b := New(policy, now)
			for range 20 {
				b.CountRequest(service, now)
				requests++
				for b.Take(service, instances, now) {
					retries++
				}
			}
		}
		now = now.Add(policy.Window / 2)
	}
	if allowed := policy.Ratio*float64(requests) + policy.Slack; float64(retries) > allowed {
		t.Fatalf("%d retries for %d requests, allowed %.0f", retries, requests, allowed)
	}
}

// TestEarlyRetriesLeaveHalfOfBudget checks that early retries, whose engine still works on the request, leave half of the budget for the
// others.
func TestEarlyRetriesLeaveHalfOfBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(policy, now)
	for range 100 {
		b.CountRequest(service, now)
	}
	early, needed := 0, 0
	for b.TakeEarly(service, 9, now) {
		early++
	}
	for b.Take(service, 9, now) {
		needed++
	}
	if early != 11 || needed != 12 {
		t.Fatalf("%d early retries and %d others, want 11 and 12", early, needed)
	}
}

func TestBudgetIsFreeAgainAfterWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(policy, now)
	for b.Take(service, 9, now) {
		continue
	}
	if b.Take(service, 9, now.Add(policy.Window/2)) {
		t.Fatal("a retry beyond the budget is allowed within the same window")
	}
	if !b.Take(service, 9, now.Add(policy.Window+time.Second)) {
		t.Fatal("no retry is allowed after the window")
	}
}
