package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/siskinford/siskinford/balance/prefix"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
)

// BenchmarkPickWithPrefixes picks for a prompt of 32 blocks that some endpoints partly hold.
func BenchmarkPickWithPrefixes(b *testing.B) {
	for _, c := range []struct{ n, holders int }{{16, 1}, {16, 16}, {120, 4}, {120, 120}, {1200, 4}, {1200, 1200}} {
		n := c.n
		b.Run(fmt.Sprintf("replicas=%d/holders=%d", n, c.holders), func(b *testing.B) {
			index := prefix.NewIndex(prefix.Config{})
			table := route.NewTable(route.Config{Start: simEpoch, Prefixes: index})
			var list []route.Endpoint
			for i := range n {
				name := id.Endpoint(fmt.Sprintf("endpoint-%04d", i))
				list = append(list, route.Endpoint{Name: name, Service: simService, Zone: simZones[i%3], Weight: 1})
			}
			table.SetEndpoints(list, simEpoch)
			blocks := make([]uint64, 32)
			for i := range blocks {
				blocks[i] = uint64(i + 1)
			}
			for i, e := range list {
				table.Report(route.Report{
					Endpoint: e.Name, Incarnation: "i", Seq: 1, Healthy: true, Slots: simSlots,
					StepTime: simStep, Running: uint32(i % 12),
				}, simEpoch)
				var events []prefix.Event
				for j := range (i%32 + 1) * min(c.holders/(i+1), 1) {
					events = append(events, prefix.Event{Seq: uint64(j + 1), Block: blocks[j]})
				}
				index.Apply(e.Name, "i", events)
			}
			picker, err := route.New(route.PredictedTime, table)
			if err != nil {
				b.Fatal(err)
			}
			r := route.Request{Service: simService, Zone: "a", Work: 100, PromptBlocks: blocks, Now: simEpoch.Add(time.Millisecond)}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := picker.Pick(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
