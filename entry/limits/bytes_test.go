package limits

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
)

var experiment = flag.Bool("experiment", false, "measure also at 10 zones of 36 entries")

// TestBytesWithinBudget counts the payload bytes of each node with 890 limited
// teams, of which a tenth has demand at every entry. Packet headers are not counted.
func TestBytesWithinBudget(t *testing.T) {
	const (
		teams, active = 890, 89
		budget        = 9 << 10 // bytes per second
		rounds        = 3
	)
	type size struct {
		zones, entries int
		interval       time.Duration
	}
	sizes := []size{{3, 2, time.Second}, {10, 4, time.Second}, {1, 36, 2 * time.Second}}
	if *experiment {
		sizes = append(sizes, size{10, 36, 2 * time.Second})
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d zones of %d entries", size.zones, size.entries), func(t *testing.T) {
			list := limitedTeams(teams)
			fleet := newTestFleet(t, size.zones, size.entries, list)
			fleet.teams = list[:active]
			fleet.config.Interval = size.interval
			fleet.rounds(3, everywhere)
			for _, n := range fleet.nodes {
				n.bytes, n.calls = 0, 0
			}
			fleet.rounds(rounds, everywhere)
			most, sum, calls := 0, 0, 0
			for _, n := range fleet.nodes {
				most, sum, calls = max(most, n.bytes), sum+n.bytes, calls+n.calls
			}
			seconds := rounds * int(size.interval/time.Second)
			nodes := len(fleet.nodes)
			t.Logf("payload bytes per node and second: mean %d, most %d; calls %.1f",
				sum/nodes/seconds, most/seconds, float64(calls)/float64(nodes*seconds))
			assert.Assert(t, most/seconds < budget, "%d bytes per second", most/seconds)
		})
	}
}

func limitedTeams(n int) []config.Team {
	var list []config.Team
	for i := range n {
		list = append(list, config.Team{Name: id.Team(fmt.Sprintf("team-%d", i)), TokensPerSecond: 1000})
	}
	return list
}

func BenchmarkConsume(b *testing.B) {
	for _, n := range []int{10, 890} {
		b.Run(fmt.Sprintf("%d teams", n), func(b *testing.B) {
			l, err := New(DefaultConfig())
			if err != nil {
				b.Fatal(err)
			}
			list := limitedTeams(n)
			l.SetTeams(list)
			now := time.Now()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				l.Consume(list[i%n].Name, 1, now)
			}
		})
	}
}
