package configsync

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi/faultstore"
	"github.com/siskinford/siskinford/fleet/transport"
)

// settleTime is the virtual time after which membership has converged.
const settleTime = 30 * time.Second

// convergenceBound is the time within which a new version must be in force everywhere.
const convergenceBound = 2 * time.Second

// takeoverBound is convergenceBound plus the time to detect and replace a dead reader.
const takeoverBound = 8 * time.Second

// runSimulation runs a test in virtual time once a first version is in force everywhere.
func runSimulation(t *testing.T, zones, n int, loss float64, test func(*simulation)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, zones, n, loss)
		first := sim.publish(config.KindServices, "first")
		sim.startAll()
		defer sim.stopAll()
		sleep(settleTime)
		sim.await(config.KindServices, first, 0, sim.all)
		test(sim)
	})
}

func TestReplicationUnderLoss(t *testing.T) {
	runSimulation(t, 2, 18, 0.05, func(sim *simulation) {
		for range 10 {
			took := sim.await(config.KindTeams, sim.publish(config.KindTeams, "teams"), convergenceBound, sim.all)
			t.Logf("in force everywhere after %v", took)
			sleep(time.Second)
		}
	})
}

func TestPlatformCallsDoNotGrowWithHosts(t *testing.T) {
	t.Parallel()
	calls := func(n int) int {
		var made int
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, 1, n, 0)
			sim.publish(config.KindServices, "first")
			sim.startAll()
			defer sim.stopAll()
			sleep(settleTime)
			before := sim.platformCalls()
			sleep(2 * time.Minute)
			made = sim.platformCalls() - before
		})
		return made
	}
	small, large := calls(4), calls(24)
	t.Logf("platform calls in two minutes: %d with 4 hosts, %d with 24", small, large)
	assert.Assert(t, large <= small+2)
}

func TestDeadReader(t *testing.T) {
	runSimulation(t, 1, 12, 0.05, func(sim *simulation) {
		sim.reader("zone-0").node.Kill()
		alive := slices.DeleteFunc(slices.Clone(sim.all), func(p *process) bool { return p.node.Paused() })
		assert.Equal(t, len(alive), 11)
		took := sim.await(config.KindTeams, sim.publish(config.KindTeams, "teams"), takeoverBound, alive)
		t.Logf("in force at the others after %v", took)
	})
}

func TestOutageAndRestartedHost(t *testing.T) {
	runSimulation(t, 2, 6, 0, func(sim *simulation) {
		version := sim.publish(config.KindTeams, "teams")
		sim.await(config.KindTeams, version, convergenceBound, sim.all)
		sim.injectFault(outage)
		victim := sim.all[2]
		victim.stop()
		sleep(time.Minute)
		fresh := sim.start(victim.name, victim.zone)
		sim.all[2] = fresh
		fresh.store.SetDown(true)
		assert.Assert(t, !fresh.syncer.Ready(), "ready before it bootstrapped")
		sim.await(config.KindTeams, version, 5*time.Second, []*process{fresh})
		sleep(time.Second)
		assert.Assert(t, fresh.syncer.Ready())
		assert.Equal(t, string(fresh.applier.values[config.KindServices].Value), "first")
		sim.injectFault(outageEnds)
		sim.await(config.KindTeams, sim.publish(config.KindTeams, "later"), Default().BackoffMax+convergenceBound, sim.all)
	})
}

func TestNeitherPeersNorPlatformIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 2, 3, 0)
		version := sim.publish(config.KindServices, "first")
		sim.startAll()
		sim.injectFault(outage)
		defer sim.stopAll()
		sleep(2 * time.Minute)
		for _, p := range sim.all {
			assert.Assert(t, !p.syncer.Ready(), "%s", p.name)
		}
		sim.injectFault(outageEnds)
		sim.await(config.KindServices, version, Default().BackoffMax+convergenceBound, sim.all)
		sleep(Default().BackoffMax)
		for _, p := range sim.all {
			assert.Assert(t, p.syncer.Ready(), "%s", p.name)
		}
	})
}

func TestZoneCutOffAndHealed(t *testing.T) {
	runSimulation(t, 3, 6, 0, func(sim *simulation) {
		in, out := sim.inZone("zone-1")
		isIn := func(address string) bool {
			return slices.ContainsFunc(in, func(p *process) bool { return "addr-"+string(p.name) == address })
		}
		sim.net.Partition(func(from, to string) bool { return isIn(from) != isIn(to) })
		for _, p := range in {
			p.store.SetDown(true)
		}
		version := sim.publish(config.KindTeams, "teams")
		sim.await(config.KindTeams, version, convergenceBound, out)
		sleep(2 * time.Minute)
		for _, p := range in {
			assert.Equal(t, p.applier.Versions()[config.KindTeams], uint64(0))
			assert.Assert(t, p.syncer.Ready(), "%s keeps its configuration", p.name)
		}
		sim.net.Partition(nil) // The zone still can't reach the platform.
		took := sim.await(config.KindTeams, version, 19*time.Second, in)
		t.Logf("in force in the zone %v after the network healed, without the platform", took)
		for _, p := range in {
			assert.Equal(t, p.events(EventApplied, "teams version 1 from the platform"), 0)
			p.store.SetDown(false)
		}
	})
}

func TestStalePlatformReadIsIgnored(t *testing.T) {
	runSimulation(t, 1, 6, 0, func(sim *simulation) {
		version := sim.publish(config.KindServices, "second")
		sim.await(config.KindServices, version, convergenceBound, sim.all)
		sim.injectFault(func(s *faultstore.Store) { s.SetReadLag(1) })
		sleep(2 * time.Minute)
		recorded := 0
		for _, p := range sim.all {
			assert.Equal(t, p.applier.Versions()[config.KindServices], version, "version at %s", p.name)
			recorded += p.events(EventPlatformBehind, "platform shows services version 1, version 2 stays in force")
		}
		assert.Assert(t, recorded > 0, "no event records the stale platform")
	})
}

func TestLostResponsesOfPlatform(t *testing.T) {
	runSimulation(t, 1, 6, 0, func(sim *simulation) {
		version := sim.publish(config.KindTeams, "teams")
		sim.await(config.KindTeams, version, convergenceBound, sim.all)
		sim.injectFault(func(s *faultstore.Store) { s.LoseResponses(3) })
		sleep(6 * time.Second) // The pending watch ends and its answer is lost.
		sim.await(config.KindTeams, sim.publish(config.KindTeams, "later"), 4*time.Second, sim.all)
	})
}

func TestMissedVersionComesFromPeerInZone(t *testing.T) {
	runSimulation(t, 2, 6, 0, func(sim *simulation) {
		reader := sim.reader("zone-0")
		in, _ := sim.inZone("zone-0")
		missed := in[slices.IndexFunc(in, func(p *process) bool { return p != reader })]
		missed.node.Serve(func(ctx context.Context, payload []byte) ([]byte, error) {
			if transport.Purpose(payload[0]) == transport.Configuration {
				return nil, errors.New("push is lost")
			}
			return missed.members.Handle(ctx, payload[1:])
		})
		calls := sim.platformCalls()
		version := sim.publish(config.KindTeams, "teams")
		sim.await(config.KindTeams, version, convergenceBound, sim.all)
		made := sim.platformCalls() - calls
		assert.Assert(t, made <= 2, "%d calls while the version spread, more than the watches of two readers", made)
		recovered := 0
		for _, p := range in {
			recovered += missed.events(EventApplied, "teams version 1 from addr-"+string(p.name))
		}
		assert.Equal(t, recovered, 1)
	})
}

func TestPushReachesWholeZone(t *testing.T) {
	runSimulation(t, 2, 18, 0, func(sim *simulation) {
		sim.await(config.KindTeams, sim.publish(config.KindTeams, "teams"), convergenceBound, sim.all)
		pushed, read := 0, 0
		for _, p := range sim.all {
			pushed += p.events(EventApplied, "teams version 1 from push")
			read += p.events(EventApplied, "teams version 1 from the platform")
		}
		assert.Equal(t, read, 2, "hosts that read the platform")
		assert.Equal(t, pushed, len(sim.all)-2)
	})
}

func TestTwoReadersOfAZone(t *testing.T) {
	runSimulation(t, 1, 8, 0, func(sim *simulation) {
		side := func(address string) bool { return address < "addr-host-0-04" }
		sim.net.Partition(func(from, to string) bool { return side(from) != side(to) })
		sleep(10 * time.Second)
		readers := 0
		for _, p := range sim.all {
			if p.syncer.isReader() {
				readers++
			}
		}
		assert.Equal(t, readers, 2)
		sim.await(config.KindTeams, sim.publish(config.KindTeams, "divided"), convergenceBound, sim.all)
		sim.net.Partition(nil)
		sim.await(config.KindTeams, sim.publish(config.KindTeams, "joined"), convergenceBound, sim.all)
	})
}

func TestUnavailableVersionIsAbandoned(t *testing.T) {
	runSimulation(t, 1, 4, 0, func(sim *simulation) {
		p := sim.all[0]
		encoded, err := encode(Digest{Ready: true, Versions: map[config.Kind]uint64{config.KindTeams: 9}})
		assert.NilError(t, err)
		p.syncer.HandleDigest(member.Peer{Host: "gone", Address: "addr-gone"}, p.zone, encoded)
		gets := func() (n int) {
			for _, c := range p.store.Calls() {
				if c.Method == "get" {
					n++
				}
			}
			return n
		}
		sleep(time.Minute)
		first := gets()
		assert.Assert(t, first > 0, "the platform is asked last")
		sleep(5 * time.Minute)
		assert.Equal(t, gets(), first)
	})
}

func TestInvalidVersionIsRecordedOnce(t *testing.T) {
	runSimulation(t, 1, 4, 0, func(sim *simulation) {
		odd := sim.all[1]
		odd.applier.invalid = "strange"
		version := sim.publish(config.KindTeams, "strange")
		others := slices.DeleteFunc(slices.Clone(sim.all), func(p *process) bool { return p == odd })
		sim.await(config.KindTeams, version, convergenceBound, others)
		sleep(time.Minute)
		assert.Equal(t, odd.events(EventRejected, "teams version 1"), 1)
		sim.await(config.KindTeams, sim.publish(config.KindTeams, "fine"), convergenceBound, sim.all)
	})
}

func TestSplit(t *testing.T) {
	targets := make([]target, 35)
	for i := range targets {
		targets[i].Address = string(rune('A' + i))
	}
	var joined []target
	for _, part := range splitTargets(targets, 3) {
		assert.Assert(t, len(part) == 11 || len(part) == 12)
		joined = append(joined, part...)
	}
	assert.DeepEqual(t, joined, targets)
	assert.Equal(t, len(splitTargets(nil, 3)), 0)
}

var _ Peers = (*member.Runner)(nil)
