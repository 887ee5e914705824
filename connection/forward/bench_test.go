package forward

import (
	"io"
	"net/http"
	"testing"

	"github.com/vanillaroute/vanillaroute/process/logs"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

// BenchmarkRequest measures a request through the handler to an engine on loopback, with and without logs.
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
			f := newFixture(b, routing.Route{Kind: routing.Unrepeatable}, func(_ int, w http.ResponseWriter, _ *http.Request) { good(w, "ok") })
			f.handler.Log = tt.log().Named(logs.RequestLogger)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, _, err := f.send(b, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
