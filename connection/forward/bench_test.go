package forward

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

// BenchmarkRequest measures a request through the handler to an engine on loopback, with and without logging. It also reports CPU time.
func BenchmarkRequest(b *testing.B) {
	tests := []struct {
		name string
		log  func() *zap.Logger
	}{
		{"logging disabled", zap.NewNop},
		{"logging enabled", func() *zap.Logger {
			log, _, err := logs.NewBounded(io.Discard, "info", "n1", logs.Budget{Lines: 1e9, Bytes: 1e12})
			if err != nil {
				b.Fatal(err)
			}
			return log
		}},
		{"logging over budget", func() *zap.Logger {
			log, _, err := logs.NewBounded(io.Discard, "info", "n1", logs.Budget{Lines: logs.DefaultLines, Bytes: logs.DefaultBytes})
			if err != nil {
				b.Fatal(err)
			}
			return log
		}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			f := newFixture(b, routing.Route{Kind: routing.NonIdempotent}, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, "ok") })
			f.useLogger(tt.log())
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime(b)
			for range b.N {
				if _, _, err := f.send(b, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkRequestLogging measures the CPU time that logging adds to a request that the first engine answers: its placement and its end.
func BenchmarkRequestLogging(b *testing.B) {
	tests := []struct {
		name   string
		budget logs.Budget
	}{
		{"within budget", logs.Budget{Lines: 1e9, Bytes: 1e12}},
		{"over budget", logs.Budget{Lines: logs.DefaultLines, Bytes: logs.DefaultBytes}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			log, _, err := logs.NewBounded(io.Discard, "info", "n1", tt.budget)
			if err != nil {
				b.Fatal(err)
			}
			f := newFixture(b, routing.Route{Kind: routing.NonIdempotent}, nil)
			snapshot := f.handler.Snapshot()
			e := snapshot.Engines.All()[0]
			measure := func(log *zap.Logger) time.Duration {
				f.useLogger(log)
				before := cpuTime(b)
				for range b.N {
					x := exchange{Handler: f.handler, id: "0123456789abcdef", org: "museum", route: &routing.Route{Name: "notes"}, snapshot: snapshot, arrived: time.Now()}
					x.recordPlacement(placing.Choice{Engine: e, EngineLoad: 3, MeanLoad: 2.5, CachedTokens: 1134, PrefillTokens: 99, Cost: 1.25}, x.arrived)
					x.logEnd(outcomeAnswered, http.StatusOK)
				}
				return cpuTime(b) - before
			}
			without := measure(zap.NewNop())
			b.ReportAllocs()
			b.ResetTimer()
			b.ReportMetric(float64((measure(log)-without).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the user and system CPU time of the process so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
