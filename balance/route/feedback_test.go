package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// picks counts the choices of n picks at one time.
func picks(t *testing.T, table *Table, n int, now time.Time) map[id.Endpoint]int {
	t.Helper()
	picker := mustNew(t, PredictedTime, table)
	got := map[id.Endpoint]int{}
	for range n {
		c, err := picker.Pick(request(now))
		assert.NilError(t, err)
		got[c.Endpoint]++
	}
	return got
}

func TestEndpointThatFailsFastIsAvoided(t *testing.T) {
	table, _ := testTable(2, "a")
	table.Report(idle("a-0", 1), epoch)
	table.Report(busy("a-1", 1, 0), epoch)
	c, ok := table.PinnedChoice(request(epoch), "a-0", "i1")
	assert.Assert(t, ok)
	table.RecordStart(c, epoch)
	table.RecordFinish(c, epoch)
	table.RecordFailure(c, epoch)
	assert.Equal(t, picks(t, table, 20, epoch)["a-0"], 0)
	later := epoch.Add(5 * time.Second)
	table.Report(idle("a-0", 2), later)
	table.Report(busy("a-1", 2, 0), later)
	assert.Equal(t, picks(t, table, 20, later)["a-0"], 20, "it is tried again after a while")
}

func TestSilentEndpointIsAvoidedBeforeItsReportExpires(t *testing.T) {
	table, _ := testTable(2, "a")
	now := epoch
	for seq := range uint64(20) {
		now = now.Add(100 * time.Millisecond)
		table.Report(busy("a-0", seq+1, 0), now)
		if seq < 12 {
			table.Report(idle("a-1", seq+1), now)
		}
	}
	assert.Equal(t, picks(t, table, 20, now)["a-1"], 0)
}

func TestGainFollowsObservationsAndFades(t *testing.T) {
	g := newGain()
	assert.Equal(t, g.value(0, time.Second), initialGain)
	g.observe(100*time.Millisecond, 300*time.Millisecond, 0)
	assert.Assert(t, g.value(0, time.Second) > 2.99)
	for range 1000 {
		g.observe(100*time.Millisecond, 50*time.Millisecond, time.Second)
	}
	v := g.value(time.Second, time.Second)
	assert.Assert(t, v > 0.45 && v < 0.55, "%f", v)
	assert.Assert(t, g.value(4*time.Second, time.Second) < 0.2)
}

func TestOtherZonesPenaltyGrowsWithReportAge(t *testing.T) {
	for _, age := range []time.Duration{0, 2 * time.Second} {
		table, list := testTable(3, "a", "b")
		for _, e := range list {
			r := idle(e.Name, 1)
			if e.Zone == "a" {
				r = busy(e.Name, 1, 4)
			}
			r.Age = age
			table.Report(r, epoch)
		}
		c, err := mustNew(t, PredictedTime, table).Pick(request(epoch))
		assert.NilError(t, err)
		assert.Equal(t, c.Zone == "b", age == 0, "age %s", age)
	}
}
