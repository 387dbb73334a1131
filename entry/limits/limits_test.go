package limits

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/wire/codec"
)

// settle is the number of rounds after which demand that moved is served.
const settle = 8

// TestSumOfRatesNeverExceedsLimit disturbs the fleet at random: messages are
// lost, processes are replaced or paused, views of the membership differ, zones
// are cut off and the platform is down.
func TestSumOfRatesNeverExceedsLimit(t *testing.T) {
	served := 0.0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, 2, oneTeam())
		w.seed = rapid.Uint64().Draw(t, "seed")
		w.loss = float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100
		rng := rand.New(rand.NewPCG(w.seed, 0))
		for range 100 {
			w.disturb(rng)
			w.round(func(*node) float64 { return float64(rng.IntN(2 * testLimit)) })
			for _, z := range []id.Zone{"zone-0", "zone-1", "zone-2"} {
				served = max(served, w.zoneRate(z, testTeam))
			}
		}
	})
	assert.Assert(t, served > 0.5*testLimit, "grants were in force: at most %.0f in one zone", served)
}

func TestDemandThatMovesIsServedElsewhere(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		t.Run(fmt.Sprintf("loss %g", loss), func(t *testing.T) {
			w := newWorld(t, 3, 2, oneTeam())
			w.seed, w.loss = 7, loss
			for _, z := range []id.Zone{"zone-0", "zone-2", "zone-1"} {
				rounds := 0
				for w.zoneRate(z, testTeam) < 0.8*testLimit && rounds < 50 {
					w.round(inZone(z))
					rounds++
				}
				t.Logf("zone %s: %d exchanges", z, rounds)
				assert.Assert(t, rounds <= 2*settle, "%d exchanges", rounds)
			}
		})
	}
}

func TestEvenDemandUsesTheLimit(t *testing.T) {
	w := newWorld(t, 3, 2, oneTeam())
	w.rounds(2*settle, everywhere)
	sum := w.zoneRate("zone-0", testTeam) + w.zoneRate("zone-1", testTeam) + w.zoneRate("zone-2", testTeam)
	assert.Assert(t, sum > 0.95*testLimit, "%.0f", sum)
}

func TestCutOffZoneHasItsFloors(t *testing.T) {
	w := newWorld(t, 3, 2, oneTeam())
	w.rounds(settle, everywhere)
	holder := w.leaseHolder()
	for _, zone := range []id.Zone{holder.zone, w.other(holder.zone)} {
		w.cut = func(from, to *node) bool { return (from.zone == zone) != (to.zone == zone) }
		w.rounds(2*settle, everywhere)
		floor := testLimit * w.size.FloorFraction / 3
		if zone == holder.zone {
			assert.Assert(t, w.zoneRate(zone, testTeam) > 0.8*testLimit, "the zone with the authority uses the rest")
			assert.Assert(t, math.Abs(w.zoneRate(w.other(zone), testTeam)-floor) < 1)
		} else {
			assert.Assert(t, math.Abs(w.zoneRate(zone, testTeam)-floor) < 1, "%.0f", w.zoneRate(zone, testTeam))
			assert.Assert(t, w.zoneRate(holder.zone, testTeam) > 0.3*testLimit)
		}
		w.cut = nil
		w.rounds(settle, everywhere)
		assert.Assert(t, w.zoneRate(w.other(zone), testTeam) > 0.25*testLimit, "after the cut")
	}
}

// leaseHolder returns the node that has the authority over testTeam.
func (w *world) leaseHolder() *node {
	for _, n := range w.nodes {
		if _, ok := n.limits.shards[keyOf(testTeam).shard()].lease.Valid(w.clock()); ok {
			return n
		}
	}
	return nil
}

func (w *world) other(zone id.Zone) id.Zone {
	for _, n := range w.nodes {
		if n.zone != zone {
			return n.zone
		}
	}
	return ""
}

// TestPausedHolderWakes pauses the holder of the lease until another has taken over.
func TestPausedHolderWakes(t *testing.T) {
	w := newWorld(t, 3, 2, oneTeam())
	w.rounds(settle, everywhere)
	old := w.leaseHolder()
	old.paused = true
	w.rounds(20, everywhere)
	next := w.leaseHolder()
	assert.Assert(t, next != nil && next != old, "another holder took over")
	assert.Assert(t, w.zoneRate(next.zone, testTeam) > 0.25*testLimit, "%.0f", w.zoneRate(next.zone, testTeam))
	old.wake()
	w.rounds(settle, everywhere)
	assert.Equal(t, w.leaseHolder(), next)
	assert.Assert(t, w.zoneRate(old.zone, testTeam) > 0.2*testLimit, "the old holder's zone is served again")
}

// TestStoppedHolderHandsOver ends the holder as at a shutdown. The lease is
// released, and the next holder waits for the end of the grants.
func TestStoppedHolderHandsOver(t *testing.T) {
	w := newWorld(t, 3, 2, oneTeam())
	w.rounds(settle, everywhere)
	old := w.leaseHolder()
	for i := range old.limits.shards {
		assert.NilError(t, old.limits.shards[i].lease.Release(context.Background()))
	}
	old.paused = true
	w.rounds(settle+5, everywhere)
	next := w.leaseHolder()
	assert.Assert(t, next != nil && next != old)
	assert.Assert(t, w.zoneRate(next.zone, testTeam) > 0.25*testLimit, "%.0f", w.zoneRate(next.zone, testTeam))
}

// TestPlatformOutage checks what the documentation promises: nothing changes for
// the time of the lease, then all zones have their floors until the platform returns.
func TestPlatformOutage(t *testing.T) {
	w := newWorld(t, 3, 2, oneTeam())
	w.size.LeaseTTL = 30 * time.Second
	for _, n := range w.nodes {
		n.restart()
	}
	w.rounds(settle, everywhere)
	w.down = true
	w.rounds(3, everywhere)
	sum := w.zoneRate("zone-0", testTeam) + w.zoneRate("zone-1", testTeam) + w.zoneRate("zone-2", testTeam)
	assert.Assert(t, sum > 0.95*testLimit, "within the lease: %.0f", sum)
	// A zone's holder that starts now finds the authority through other zones.
	holder := w.leaseHolder()
	for _, n := range w.nodes {
		if n.zone != holder.zone && n.limits.holders()[keyOf(testTeam).shard()] == n.peer.Address {
			n.restart()
			assert.Assert(t, n.limits.shards[keyOf(testTeam).shard()].leaseAddress() == "")
		}
	}
	w.rounds(2*settle, everywhere)
	assert.Assert(t, w.zoneRate(w.other(holder.zone), testTeam) > 0.2*testLimit)
	w.rounds(2*settle, everywhere)
	sum = w.zoneRate("zone-0", testTeam) + w.zoneRate("zone-1", testTeam) + w.zoneRate("zone-2", testTeam)
	assert.Assert(t, math.Abs(sum-w.size.FloorFraction*testLimit) < 1, "after the lease: %.0f", sum)
	w.down = false
	w.rounds(2*settle, everywhere)
	sum = w.zoneRate("zone-0", testTeam) + w.zoneRate("zone-1", testTeam) + w.zoneRate("zone-2", testTeam)
	assert.Assert(t, sum > 0.95*testLimit, "after the outage: %.0f", sum)
}

func TestTeamsChange(t *testing.T) {
	w := newWorld(t, 1, 1, oneTeam())
	n := w.nodes[0]
	_, ok := n.limits.Take("free", 1e12, w.clock())
	assert.Assert(t, ok, "a team without a limit")
	w.rounds(settle, everywhere)
	w.teams = []config.Team{{Name: testTeam, TokensPerSecond: 100}}
	n.limits.SetTeams(w.teams)
	w.advance(5 * w.size.Interval)
	w.rounds(settle, everywhere)
	retry, ok := n.limits.Take(testTeam, 1, w.clock())
	assert.Assert(t, !ok && retry > 0, "the demand so far exceeds the limit")
	n.limits.SetTeams(nil)
	_, ok = n.limits.Take(testTeam, 1e12, w.clock())
	assert.Assert(t, ok, "the limit is gone")
	n.limits.Return(testTeam, 1, w.clock())
}

// TestFloorsFollowSize checks that more entries than configured lower the floors.
func TestFloorsFollowSize(t *testing.T) {
	w := newWorld(t, 2, 2, oneTeam())
	w.size.Zones, w.size.EntriesPerZone = 1, 1
	for _, n := range w.nodes {
		n.restart()
		n.limits.exchange(context.Background())
	}
	w.check()
	assert.Assert(t, math.Abs(w.zoneRate("zone-0", testTeam)-testLimit*w.size.FloorFraction/2) < 1)
}

func TestHandleRefusesIncompleteRequests(t *testing.T) {
	w := newWorld(t, 1, 1, oneTeam())
	tests := []request{
		{Level: zoneLevel, Shard: shards},
		{Level: zoneLevel, Teams: []teamKey{1}},
		{Level: fleetLevel, Teams: []teamKey{1}, Seqs: []uint64{1}, Lags: []byte{0}},
	}
	for _, r := range tests {
		payload, err := codec.Marshal(r)
		assert.NilError(t, err)
		_, err = w.nodes[0].limits.Handle(context.Background(), payload)
		assert.ErrorContains(t, err, "incomplete")
	}
	_, err := w.nodes[0].limits.Handle(context.Background(), []byte{0xff})
	assert.Assert(t, err != nil)
}

func TestConfigReportsAllFindings(t *testing.T) {
	assert.Equal(t, len(Config{FloorFraction: 2}.Validate()), 6)
	assert.Equal(t, len(DefaultConfig().Validate()), 0)
}
