package placing

import (
	"fmt"
	"testing"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// BenchmarkChoose measures the choice of an engine for prompts of six parts, most of which several engines hold. Two of three engines have reported
// their loads, and 88 other instances have sent their counts.
func BenchmarkChoose(b *testing.B) {
	const loadsPerInstance = 6
	for _, count := range []int{14, 140, 332, 700, 10_000} {
		b.Run(fmt.Sprintf("%d engines", count), func(b *testing.B) {
			table, all := New(Policy{LoadBound: 1.5}), engines.NewList(list(llm, count))
			request := func(i int) Request {
				return Request{Service: llm, Parts: prompt("a", "b", "c", fmt.Sprint("d", i%8), fmt.Sprint("e", i%32), fmt.Sprint("own", i))}
			}
			services := all.OfService(llm)
			for i := range 88 {
				loads := make(map[engines.Key]int)
				for j := range loadsPerInstance {
					loads[services[(i*loadsPerInstance+j)%count].Key] = 1
				}
				table.SetRemoteLoads(fmt.Sprint("instance-", i), loads, start)
			}
			for i, e := range services {
				if i%3 > 0 {
					table.RecordNotice(e.Key, Notice{Load: &Report{Running: 1}}, start)
				}
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
