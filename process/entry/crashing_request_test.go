package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// lateRetries is the number of requests that may reach engines later than contactBound after the third crash.
	lateRetries   = 3
	soundInterval = 15 * time.Millisecond
)

// lateArrivals returns the number of requests with the part that arrived later than contactBound after the third crash by it.
func (c *crashingEngines) lateArrivals() int {
	crashes := c.crashTimes()
	if len(crashes) < 3 {
		return 0
	}
	return c.arrivedAfter(crashes[2].Add(contactBound))
}

// sendSound sends requests with targets of their own to instances in turn until ctx ends.
func (f *fleet) sendSound(ctx context.Context, body string, result *answers) {
	repeat(ctx, soundInterval, result, func(n int) int {
		return f.perform(n%len(f.nodes), callerRequest{key: oneKey, path: fmt.Sprint("/p/sound", n), body: body})
	})
}

// TestRequestThatCrashesEnginesIsStoppedByAllInstances guards against one request that comes again and again, at any instance, and crashes engines.
func TestRequestThatCrashesEnginesIsStoppedByAllInstances(t *testing.T) {
	tests := []struct {
		name, body string
		// restarts is how often all instances restart, after which the request comes again.
		restarts int
	}{
		{"without a body", "", 0},
		{"with a body", "body", 0},
		{"without a body, and restarts", "", 2},
		{"with a body, and restarts", "body", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 9)
			c := startCrashingEngines(f, 3, engineRunTime)
			var all sync.WaitGroup
			defer all.Wait()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			var meanwhile, afterwards, crashing answers
			all.Go(func() { f.sendSound(ctx, tt.body, &meanwhile) })
			time.Sleep(500 * time.Millisecond)
			all.Go(func() {
				repeat(ctx, 50*time.Millisecond, &crashing, func(n int) int {
					return f.perform(n%len(f.nodes), callerRequest{key: oneKey, path: "/p/" + crashingPart, body: tt.body})
				})
			})
			time.Sleep(4 * contactBound)
			before := c.lateArrivals()
			for range tt.restarts {
				f.haltAll()
				for i := range f.nodes {
					f.start(i, false)
				}
				time.Sleep(2 * contactBound)
			}
			all.Go(func() { f.sendSound(ctx, tt.body, &afterwards) })
			time.Sleep(contactBound)
			stop()
			all.Wait()
			crashes, late := len(c.crashTimes()), c.lateArrivals()
			t.Logf("%d engines crashed; %d requests were late before restarts, %d in all; %d of %d sound ones answered, afterwards %d of %d",
				crashes, before, late, meanwhile.answered, meanwhile.sent, afterwards.answered, afterwards.sent)
			if crashes == 0 || late > lateRetries {
				t.Errorf("%d engines crashed, and %d requests reached engines later than %s after the third", crashes, late, contactBound)
			}
			if afterwards.sent < 20 || 10*afterwards.answered < 9*afterwards.sent {
				t.Errorf("%d of %d sound requests were answered afterwards", afterwards.answered, afterwards.sent)
			}
		})
	}
}
