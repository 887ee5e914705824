package measure

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest compares chats with one token directly at the engine with the same chats over one and two routers.
func BenchmarkRequest(b *testing.B) {
	bench, err := newTrafficBench(0)
	if err != nil {
		b.Fatal(err)
	}
	defer bench.close()
	for _, streams := range []int{1, 64, 1000} {
		for _, p := range bench.paths {
			b.Run(fmt.Sprintf("%s/streams-%d", p.name, streams), func(b *testing.B) {
				if _, err := bench.load(p, b.N, 1, streams); err != nil {
					b.Fatal(err)
				}
			})
		}
	}
}

// BenchmarkPacedTokens compares the paths for streams whose tokens arrive one at a time.
func BenchmarkPacedTokens(b *testing.B) {
	bench, err := newTrafficBench(pacedTokenInterval)
	if err != nil {
		b.Fatal(err)
	}
	defer bench.close()
	const streams = 400
	for _, p := range bench.paths {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				used, err := bench.load(p, streams, pacedStreamTokens, streams)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(used)/float64(time.Microsecond)/(streams*pacedStreamTokens), "µsCPU/token")
			}
		})
	}
}
