package placing

import (
	"fmt"
	"testing"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// BenchmarkChoose measures the choice of an engine for prompts of six parts, most of which several engines hold. All engines report
// their loads, and 88 other instances have sent their counts.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{14, 140, 700} {
		b.Run(fmt.Sprintf("%d engines", count), func(b *testing.B) {
			table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, count))
			request := func(i int) Request {
				return Request{Service: llm, Parts: prompt("a", "b", "c", fmt.Sprint("d", i%8), fmt.Sprint("e", i%32), fmt.Sprint("own", i))}
			}
			for i := range 88 {
				table.SetRemoteLoads(fmt.Sprint("instance-", i), map[engines.Key]int{}, start)
			}
			for _, e := range all.All() {
				table.RecordNotice(e.Key, Notice{Load: &Report{Running: 1}}, start)
			}
			b.ReportAllocs()
			for i := range b.N {
				_, placement, ok := table.Choose(all, request(i), start)
				if !ok {
					b.Fatal("no engine was chosen")
				}
				placement.PrefillDone(start)
				placement.End()
			}
		})
	}
}
