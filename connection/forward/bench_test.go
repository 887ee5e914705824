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

// BenchmarkRequest measures a request through the handler to an engine on loopback, with and without logs, in processor time too.
func BenchmarkRequest(b *testing.B) {
	tests := []struct {
		name string
		log  func() *zap.Logger
	}{
		{"without logs", zap.NewNop},
		{"with logs", func() *zap.Logger {
			log, _, err := logs.NewBounded(io.Discard, "info", "n1", logs.Budget{Lines: 1e9, Bytes: 1e12})
			if err != nil {
				b.Fatal(err)
			}
			return log
		}},
		{"with logs over their budget", func() *zap.Logger {
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
			before := processorTime(b)
			for range b.N {
				if _, _, err := f.send(b, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkRequestLogging measures what logs add to a request that goes well at once: its placement and its end.
func BenchmarkRequestLogging(b *testing.B) {
	tests := []struct {
		name   string
		budget logs.Budget
	}{
		{"within their budget", logs.Budget{Lines: 1e9, Bytes: 1e12}},
		{"over their budget", logs.Budget{Lines: logs.DefaultLines, Bytes: logs.DefaultBytes}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			log, _, err := logs.NewBounded(io.Discard, "info", "n1", tt.budget)
			if err != nil {
				b.Fatal(err)
			}
			f := newFixture(b, routing.Route{Kind: routing.NonIdempotent}, nil)
			world := f.handler.Snapshot()
			e := world.Engines.All()[0]
			measure := func(log *zap.Logger) time.Duration {
				f.useLogger(log)
				before := processorTime(b)
				for range b.N {
					x := exchange{Handler: f.handler, id: "0123456789abcdef", org: "museum", route: &routing.Route{Name: "notes"}, snapshot: world, arrived: time.Now()}
					x.recordPlacement(placing.Choice{Engine: e, EngineLoad: 3, MeanLoad: 2.5, CachedTokens: 1134, PrefillTokens: 99, Cost: 1.25}, x.arrived)
					x.log(outcomeAnswered, http.StatusOK)
				}
				return processorTime(b) - before
			}
			without := measure(zap.NewNop())
			b.ReportAllocs()
			b.ResetTimer()
			b.ReportMetric(float64((measure(log)-without).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns the processor time that the process has had.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
