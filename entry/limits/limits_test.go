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

// settleRounds is the number of rounds after which demand that moved is served.
const settleRounds = 8

// TestSumOfRatesNeverExceedsLimit injects random faults: lost messages, replaced or
// paused processes, differing membership views, partitioned zones, platform outages.
func TestSumOfRatesNeverExceedsLimit(t *testing.T) {
	served := 0.0
	rapid.Check(t, func(t *rapid.T) {
		fleet := newTestFleet(t, 3, 2, oneTeam())
		fleet.seed = rapid.Uint64().Draw(t, "seed")
		fleet.loss = float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100
		rng := rand.New(rand.NewPCG(fleet.seed, 0))
		for range 100 {
			fleet.injectFaults(rng)
			fleet.round(func(*node) float64 { return float64(rng.IntN(2 * testLimit)) })
			for _, z := range []id.Zone{"zone-0", "zone-1", "zone-2"} {
				served = max(served, fleet.zoneRate(z, testTeam))
			}
		}
	})
	assert.Assert(t, served > 0.5*testLimit, "grants were in force: at most %.0f in one zone", served)
}

func TestDemandThatMovesIsServedElsewhere(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		t.Run(fmt.Sprintf("loss %g", loss), func(t *testing.T) {
			fleet := newTestFleet(t, 3, 2, oneTeam())
			fleet.seed, fleet.loss = 7, loss
			for _, z := range []id.Zone{"zone-0", "zone-2", "zone-1"} {
				rounds := 0
				for fleet.zoneRate(z, testTeam) < 0.8*testLimit && rounds < 50 {
					fleet.round(inZone(z))
					rounds++
				}
				t.Logf("zone %s: %d exchanges", z, rounds)
				assert.Assert(t, rounds <= 2*settleRounds, "%d exchanges", rounds)
			}
		})
	}
}

func TestEvenDemandUsesTheLimit(t *testing.T) {
	fleet := newTestFleet(t, 3, 2, oneTeam())
	fleet.rounds(2*settleRounds, everywhere)
	sum := fleet.zoneRate("zone-0", testTeam) + fleet.zoneRate("zone-1", testTeam) + fleet.zoneRate("zone-2", testTeam)
	assert.Assert(t, sum > 0.95*testLimit, "%.0f", sum)
}

func TestPartitionedZoneHasItsFloors(t *testing.T) {
	fleet := newTestFleet(t, 3, 2, oneTeam())
	fleet.rounds(settleRounds, everywhere)
	holder := fleet.leaseHolder()
	for _, zone := range []id.Zone{holder.zone, fleet.other(holder.zone)} {
		fleet.partition = func(from, to *node) bool { return (from.zone == zone) != (to.zone == zone) }
		fleet.rounds(2*settleRounds, everywhere)
		floor := testLimit * fleet.config.FloorFraction / 3
		if zone == holder.zone {
			assert.Assert(t, fleet.zoneRate(zone, testTeam) > 0.8*testLimit, "the zone with the authority uses the rest")
			assert.Assert(t, math.Abs(fleet.zoneRate(fleet.other(zone), testTeam)-floor) < 1)
		} else {
			assert.Assert(t, math.Abs(fleet.zoneRate(zone, testTeam)-floor) < 1, "%.0f", fleet.zoneRate(zone, testTeam))
			assert.Assert(t, fleet.zoneRate(holder.zone, testTeam) > 0.3*testLimit)
		}
		fleet.partition = nil
		fleet.rounds(settleRounds, everywhere)
		assert.Assert(t, fleet.zoneRate(fleet.other(zone), testTeam) > 0.25*testLimit, "after the cut")
	}
}

// leaseHolder returns the node that holds the lease of testTeam's shard.
func (f *testFleet) leaseHolder() *node {
	for _, n := range f.nodes {
		if _, ok := n.limits.shards[keyOf(testTeam).shard()].lease.Valid(f.clock()); ok {
			return n
		}
	}
	return nil
}

func (f *testFleet) other(zone id.Zone) id.Zone {
	for _, n := range f.nodes {
		if n.zone != zone {
			return n.zone
		}
	}
	return ""
}

// TestPausedLeaseHolderResumes pauses the lease holder until another entry has taken over.
func TestPausedLeaseHolderResumes(t *testing.T) {
	fleet := newTestFleet(t, 3, 2, oneTeam())
	fleet.rounds(settleRounds, everywhere)
	old := fleet.leaseHolder()
	old.paused = true
	fleet.rounds(20, everywhere)
	next := fleet.leaseHolder()
	assert.Assert(t, next != nil && next != old, "another holder took over")
	assert.Assert(t, fleet.zoneRate(next.zone, testTeam) > 0.25*testLimit, "%.0f", fleet.zoneRate(next.zone, testTeam))
	old.resume()
	fleet.rounds(settleRounds, everywhere)
	assert.Equal(t, fleet.leaseHolder(), next)
	assert.Assert(t, fleet.zoneRate(old.zone, testTeam) > 0.2*testLimit, "the old holder's zone is served again")
}

// TestStoppedLeaseHolderIsReplaced stops the lease holder as at a shutdown: the lease
// is released, and the next holder waits until the grants have expired.
func TestStoppedLeaseHolderIsReplaced(t *testing.T) {
	fleet := newTestFleet(t, 3, 2, oneTeam())
	fleet.rounds(settleRounds, everywhere)
	old := fleet.leaseHolder()
	for i := range old.limits.shards {
		assert.NilError(t, old.limits.shards[i].lease.Release(context.Background()))
	}
	old.paused = true
	fleet.rounds(settleRounds+5, everywhere)
	next := fleet.leaseHolder()
	assert.Assert(t, next != nil && next != old)
	assert.Assert(t, fleet.zoneRate(next.zone, testTeam) > 0.25*testLimit, "%.0f", fleet.zoneRate(next.zone, testTeam))
}

// TestPlatformOutage checks the documented behavior: nothing changes until the lease
// expires, then all zones have their floors until the platform returns.
func TestPlatformOutage(t *testing.T) {
	fleet := newTestFleet(t, 3, 2, oneTeam())
	fleet.config.LeaseTTL = 30 * time.Second
	for _, n := range fleet.nodes {
		n.restart()
	}
	fleet.rounds(settleRounds, everywhere)
	fleet.platformDown = true
	fleet.rounds(3, everywhere)
	sum := fleet.zoneRate("zone-0", testTeam) + fleet.zoneRate("zone-1", testTeam) + fleet.zoneRate("zone-2", testTeam)
	assert.Assert(t, sum > 0.95*testLimit, "within the lease: %.0f", sum)
	// A zone leader that starts now finds the lease holder through other zones.
	holder := fleet.leaseHolder()
	for _, n := range fleet.nodes {
		if n.zone != holder.zone && n.limits.zoneLeaders()[keyOf(testTeam).shard()] == n.peer.Address {
			n.restart()
			assert.Assert(t, n.limits.shards[keyOf(testTeam).shard()].leaseAddress() == "")
		}
	}
	fleet.rounds(2*settleRounds, everywhere)
	assert.Assert(t, fleet.zoneRate(fleet.other(holder.zone), testTeam) > 0.2*testLimit)
	fleet.rounds(2*settleRounds, everywhere)
	sum = fleet.zoneRate("zone-0", testTeam) + fleet.zoneRate("zone-1", testTeam) + fleet.zoneRate("zone-2", testTeam)
	assert.Assert(t, math.Abs(sum-fleet.config.FloorFraction*testLimit) < 1, "after the lease: %.0f", sum)
	fleet.platformDown = false
	fleet.rounds(2*settleRounds, everywhere)
	sum = fleet.zoneRate("zone-0", testTeam) + fleet.zoneRate("zone-1", testTeam) + fleet.zoneRate("zone-2", testTeam)
	assert.Assert(t, sum > 0.95*testLimit, "after the outage: %.0f", sum)
}

func TestTeamsChange(t *testing.T) {
	fleet := newTestFleet(t, 1, 1, oneTeam())
	n := fleet.nodes[0]
	_, ok := n.limits.Consume("free", 1e12, fleet.clock())
	assert.Assert(t, ok, "a team without a limit")
	fleet.rounds(settleRounds, everywhere)
	fleet.teams = []config.Team{{Name: testTeam, TokensPerSecond: 100}}
	n.limits.SetTeams(fleet.teams)
	fleet.advance(5 * fleet.config.Interval)
	fleet.rounds(settleRounds, everywhere)
	retry, ok := n.limits.Consume(testTeam, 1, fleet.clock())
	assert.Assert(t, !ok && retry > 0, "the demand so far exceeds the limit")
	n.limits.SetTeams(nil)
	_, ok = n.limits.Consume(testTeam, 1e12, fleet.clock())
	assert.Assert(t, ok, "the limit is gone")
	n.limits.Refund(testTeam, 1, fleet.clock())
}

// TestFloorsFollowSize checks that more entries than configured lower the floors.
func TestFloorsFollowSize(t *testing.T) {
	fleet := newTestFleet(t, 2, 2, oneTeam())
	fleet.config.Zones, fleet.config.EntriesPerZone = 1, 1
	for _, n := range fleet.nodes {
		n.restart()
		n.limits.exchange(context.Background())
	}
	fleet.check()
	assert.Assert(t, math.Abs(fleet.zoneRate("zone-0", testTeam)-testLimit*fleet.config.FloorFraction/2) < 1)
}

func TestHandleRefusesIncompleteRequests(t *testing.T) {
	fleet := newTestFleet(t, 1, 1, oneTeam())
	tests := []request{
		{Level: zoneLevel, Shard: shardCount},
		{Level: zoneLevel, Teams: []teamKey{1}},
		{Level: fleetLevel, Teams: []teamKey{1}, Seqs: []uint64{1}, Lags: []byte{0}},
	}
	for _, r := range tests {
		payload, err := codec.Marshal(r)
		assert.NilError(t, err)
		_, err = fleet.nodes[0].limits.Handle(context.Background(), payload)
		assert.ErrorContains(t, err, "incomplete")
	}
	_, err := fleet.nodes[0].limits.Handle(context.Background(), []byte{0xff})
	assert.Assert(t, err != nil)
}

func TestConfigReportsAllFindings(t *testing.T) {
	assert.Equal(t, len(Config{FloorFraction: 2}.Validate()), 6)
	assert.Equal(t, len(DefaultConfig().Validate()), 0)
}
