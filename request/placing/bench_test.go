package placing

import (
	"fmt"
	"testing"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// BenchmarkChoose measures the choice of an engine for prompts of six parts, most of which several engines hold.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{14, 140, 700} {
		b.Run(fmt.Sprintf("%d engines", count), func(b *testing.B) {
			table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, count))
			request := func(i int) Request {
				return Request{Service: llm, Parts: prompt("a", "b", "c", fmt.Sprint("d", i%8), fmt.Sprint("e", i%32), fmt.Sprint("own", i))}
			}
			b.ReportAllocs()
			for i := range b.N {
				_, work, ok := table.Choose(all, request(i), start)
				if !ok {
					b.Fatal("no engine was chosen")
				}
				work.Started(start)
				work.End()
			}
		})
	}
}
