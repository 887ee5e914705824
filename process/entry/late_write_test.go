package entry_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/process/entry"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

// TestLateWriteDoesNotBringAnEngineBack guards against requests to an engine that has left or drains because the store executes a write of it late, and
// against one that lapsed or started again and gets none.
func TestLateWriteDoesNotBringAnEngineBack(t *testing.T) {
	t.Parallel()
	const (
		key = "engines/e2"
		// reports is how often engines report, and served the time within which an engine that is ready gets requests.
		reports, served = time.Second, time.Second
	)
	ready := func(startedAtMs, sequence int) string { return fmt.Sprint(reportSeparator, startedAtMs, " ", sequence) }
	tests := []struct {
		name string
		// leave lets the engine leave or lapse after the report 100 1. value is the entry with which it is ready.
		leave func(f *fleet, address string)
		then  string
		ready bool
	}{
		{"drains", func(f *fleet, address string) { f.store.Put(key, []byte(drainingPrefix+address+ready(100, 53))) }, ready(100, 50), false},
		{"removed", func(f *fleet, _ string) { f.store.Delete(key) }, ready(100, 50), false},
		{"drains after a new start", func(f *fleet, address string) { f.store.Put(key, []byte(drainingPrefix+address+ready(200, 3))) }, ready(100, 95), false},
		{"removed, and the store drops its history", func(f *fleet, _ string) {
			f.store.Delete(key)
			f.store.Compact()
		}, ready(100, 50), false},
		{"drains, and instances start", func(f *fleet, address string) {
			f.store.Put(key, []byte(drainingPrefix+address+ready(100, 53)))
			time.Sleep(reports)
			for i := range f.nodes {
				f.halt(i)
				f.start(i, false)
			}
		}, ready(100, 50), false},
		{"started again", func(f *fleet, address string) { f.store.Put(key, []byte(drainingPrefix+address+ready(100, 53))) }, ready(200, 1), true},
		{"removed and started again", func(f *fleet, _ string) { f.store.Delete(key) }, ready(200, 1), true},
		{"lapsed while the store was down", func(f *fleet, _ string) {
			f.store.SetDown(true)
			time.Sleep(3 * reports)
			f.store.Delete(key)
			f.store.SetDown(false)
			time.Sleep(reports)
		}, ready(100, 9), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWith(t, 3, func(s *entry.Settings) {
				s.Bounds.KeyRevocation = tomlfile.NewDuration(5 * time.Second)
				s.Store.EngineReports = tomlfile.NewDuration(reports)
			})
			var runs atomic.Int32
			address := f.addEngine("e2", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				writeAnswer(w, r)
			}))
			f.store.Put(key, []byte(address+ready(100, 1)))
			// asked sends requests to all instances for a time, and returns how many of them reached the engine.
			asked := func(d time.Duration) int32 {
				before := runs.Load()
				for began := time.Now(); time.Since(began) < d; time.Sleep(5 * time.Millisecond) {
					for i := range f.nodes {
						f.ask(i, oneKey, "/p/x")
					}
				}
				return runs.Load() - before
			}
			time.Sleep(3 * reports)
			if asked(served) == 0 {
				t.Fatal("the engine gets no requests while it is ready")
			}
			tt.leave(f, address)
			time.Sleep(reports)
			if n := asked(reports / 2); n > 0 {
				t.Errorf("the engine gets %d requests after it has left", n)
			}
			f.store.Put(key, []byte(address+tt.then))
			if n := asked(served); (n > 0) != tt.ready {
				t.Errorf("the engine gets %d requests after the entry that says that it is ready", n)
			}
		})
	}
}
