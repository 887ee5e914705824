package engines

import (
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
)

// TestOutdatedEntriesAreHeldBack guards against a write that the store executes late: it made a draining engine ready again, registered one that had left,
// or put an earlier start in place of a later one.
func TestOutdatedEntriesAreHeldBack(t *testing.T) {
	const key, hold = "engines/e1", 4 * time.Second
	type step struct {
		after time.Duration
		// apply changes the registry, and ready says whether the engine takes requests after it.
		apply func(r *Registry, now boottime.Instant)
		ready bool
	}
	put := func(startedAtMs int64, sequence float64, draining bool) func(*Registry, boottime.Instant) {
		return func(r *Registry, now boottime.Instant) {
			r.Put(key, Engine{ID: "e1", StartedAtMs: startedAtMs, Sequence: sequence, Draining: draining}, hold, now)
		}
	}
	remove := func(lapsed bool) func(*Registry, boottime.Instant) {
		return func(r *Registry, now boottime.Instant) { r.Remove(key, lapsed, now) }
	}
	reject := func(r *Registry, _ boottime.Instant) { r.Reject(key) }
	wait := func(*Registry, boottime.Instant) {}
	tests := []struct {
		name  string
		steps []step
	}{
		{"late after a report that it drains", []step{{0, put(100, 1, false), true}, {time.Second, put(100, 53, true), false}, {time.Second, put(100, 50, false), false}, {time.Second, put(100, 54, true), false}, {hold, wait, false}}},
		{"late after its removal", []step{{0, put(100, 1, false), true}, {time.Second, remove(false), false}, {3 * time.Second, put(100, 50, false), false}, {hold - time.Millisecond, remove(false), false}, {hold, wait, false}}},
		{"late after its removal, with the sequence of the last report", []step{{0, put(100, 1, false), true}, {time.Second, remove(false), false}, {time.Second, put(100, 1, false), false}}},
		{"late from an earlier start", []step{{0, put(100, 90, false), true}, {time.Second, put(200, 3, true), false}, {time.Second, put(100, 95, false), false}, {hold / 2, put(200, 4, true), false}, {hold, wait, false}}},
		{"late from an earlier start, after the removal", []step{{0, put(200, 3, false), true}, {time.Second, remove(false), false}, {time.Second, put(100, 95, false), false}}},
		{"late report that it drains, from an earlier start", []step{{0, put(200, 3, false), true}, {time.Second, put(100, 95, true), true}, {time.Second, put(200, 4, false), true}, {hold, wait, true}}},
		{"started again", []step{{0, put(100, 90, false), true}, {time.Second, put(200, 1, false), true}}},
		{"started again after it drained", []step{{0, put(100, 90, true), false}, {time.Second, put(200, 1, false), true}}},
		{"started again after its removal", []step{{0, put(100, 90, false), true}, {time.Second, remove(false), false}, {time.Second, put(200, 1, false), true}}},
		{"lapsed", []step{{0, put(100, 1, false), true}, {time.Second, remove(true), false}, {time.Second, put(100, 9, false), true}}},
		{"back long after its removal", []step{{0, put(100, 1, false), true}, {time.Second, remove(false), false}, {lateWriteSpan, put(100, 90, false), true}}},
		{"not readable for a while", []step{{0, put(100, 1, false), true}, {time.Second, reject, false}, {time.Second, put(100, 2, false), true}}},
		{"still there after it was held back", []step{{0, put(100, 1, false), true}, {time.Second, remove(false), false}, {time.Second, put(100, 9, false), false}, {hold, wait, true}, {time.Second, put(100, 10, true), false}}},
		{"without a start", []step{{0, put(0, 5, true), false}, {time.Second, put(0, 4, false), true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, now := NewRegistry(), boottime.Instant(time.Hour)
			for i, s := range tt.steps {
				now = now.Add(s.after)
				r.AcceptDue(now)
				s.apply(r, now)
				all := r.All()
				if ready := len(all) == 1 && !all[0].Draining; ready != s.ready {
					t.Errorf("step %d: registered are %+v, want ready to be %t", i, all, s.ready)
				}
			}
		})
	}
}
