package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

func benchTable(n int) *Table {
	zones := []id.Zone{"a", "b", "c"}
	table := NewTable(Config{Start: epoch})
	var list []Endpoint
	for i := range n {
		name := id.Endpoint(fmt.Sprintf("endpoint-%04d", i))
		list = append(list, Endpoint{Name: name, Service: "s", Zone: zones[i%3], Weight: 1})
	}
	table.SetEndpoints(list, epoch)
	for i, e := range list {
		table.Report(busy(e.Name, 1, uint32(i%7)), epoch)
	}
	return table
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range Policies() {
		for _, n := range []int{16, 120, 1200} {
			b.Run(fmt.Sprintf("%s/replicas=%d", policy, n), func(b *testing.B) {
				picker := mustNew(b, policy, benchTable(n))
				r := request(epoch)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := picker.Pick(r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkReport(b *testing.B) {
	for _, n := range []int{16, 1200} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			table := benchTable(n)
			seq := uint64(1)
			for b.Loop() {
				seq++
				table.Report(busy("endpoint-0000", seq, uint32(rand.IntN(5))), epoch)
			}
		})
	}
}

// TestPickDoesNotAllocate checks small and large fleets.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, n := range []int{16, 1200} {
		picker := mustNew(t, PredictedTime, benchTable(n))
		r := request(epoch)
		allocs := testing.AllocsPerRun(200, func() {
			_, _ = picker.Pick(r)
		})
		assert.Equal(t, allocs, 0.0, "replicas: %d", n)
	}
}
