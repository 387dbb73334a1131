package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

const zoneSize = 36

// detectionBound is the time after a kill by which no host gives the victim new work.
const detectionBound = 3 * time.Second

func TestKilledHostGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		sim := newSimulation(t, seed)
		all := sim.startZones(1, zoneSize)
		sim.run(time.Duration(seed) * 37 * time.Millisecond)
		victim := all[int(seed)%zoneSize]
		victim.killed = true
		killed := sim.now
		sim.run(detectionBound)
		assert.Equal(t, sim.countObservers(victim, Alive), 0, "seed %d: hosts that give new work", seed)
		sim.run(2 * time.Second)
		assert.Equal(t, sim.countObservers(victim, Dead), zoneSize-1, "seed %d", seed)
		assert.Equal(t, sim.deaths, zoneSize-1, "seed %d: only the victim died", seed)
		c := sim.changes[victim.peer.Host]
		t.Logf("seed %d: suspected after %v, dead after %v", seed, c[Suspect].Sub(killed), c[Dead].Sub(killed))
	}
}

func TestPauseOfTwoSecondsIsNotDeclaredDead(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		sim := newSimulation(t, seed)
		all := sim.startZones(1, zoneSize)
		sim.run(time.Duration(seed) * 41 * time.Millisecond)
		paused := all[int(seed)%zoneSize]
		paused.paused = true
		sim.run(2 * time.Second)
		sim.resume(paused)
		sim.run(3 * time.Second)
		assert.Equal(t, sim.deaths, 0, "seed %d", seed)
		assert.Equal(t, sim.countObservers(paused, Alive), zoneSize-1, "seed %d: hosts that see it alive", seed)
		for _, h := range all {
			if h != paused {
				_, suspected := sim.changes[h.peer.Host][Suspect]
				assert.Assert(t, !suspected, "seed %d: %s was suspected though only %s paused",
					seed, h.peer.Host, paused.peer.Host)
			}
		}
	}
}

func TestSilentConnectionIsReplacedBeforeSuspicion(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1)
	all := sim.startZones(1, zoneSize)
	for _, from := range all[:12] {
		for _, to := range all {
			sim.blackholed[[2]string{from.peer.Address, to.peer.Address}] = true
		}
	}
	sim.run(10 * time.Second)
	assert.Equal(t, sim.suspicions, 0)
	for _, from := range all[:12] {
		for _, h := range from.table.successors {
			to := from.table.entries[h].peer.Address
			assert.Assert(t, !sim.blackholed[[2]string{from.peer.Address, to}], "%s still uses its silent connection to %s", from.peer.Host, h)
		}
	}
}

func TestLossOfOneInFiveMessages(t *testing.T) {
	t.Parallel()
	deaths, suspicions := 0, 0
	for seed := range uint64(3) {
		sim := newSimulation(t, seed)
		sim.startZones(1, zoneSize)
		sim.loss = 0.2
		sim.run(2 * time.Minute)
		deaths += sim.deaths
		suspicions += sim.suspicions
		victim := sim.order[3]
		victim.killed = true
		sim.run(detectionBound)
		assert.Equal(t, sim.countObservers(victim, Alive), 0, "seed %d: hosts that give new work under loss", seed)
	}
	t.Logf("3 runs of 2 minutes with %d hosts: %d false suspicions and %d false deaths recorded", zoneSize, suspicions, deaths)
	assert.Equal(t, deaths, 0)
}

func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3)
	sim.startZones(1, zoneSize)
	const replacements, together = 160, 4
	for first := 0; first < replacements; first += together {
		var list []objectapi.Host
		for _, h := range sim.order {
			list = append(list, objectapi.Host{Name: h.peer.Host, Zone: h.zone, Address: h.peer.Address, State: objectapi.HostLive})
		}
		leaving := slices.Clone(sim.order[:together])
		for _, h := range leaving {
			h.table.Leave()
		}
		sim.run(detectionBound)
		for _, h := range leaving {
			assert.Equal(t, sim.countObservers(h, Leaving), zoneSize-1, "replacement %d", first)
		}
		for _, h := range leaving {
			h.killed = true
		}
		sim.order = sim.order[together:]
		for i, h := range leaving {
			name := h.peer.Host
			if i%2 == 0 {
				name = id.Host(fmt.Sprintf("new-%03d", first+i))
			}
			sim.start(name, h.zone, list)
		}
		sim.run(5 * time.Second)
		for _, h := range sim.order[zoneSize-together:] {
			assert.Equal(t, sim.countObservers(h, Alive), zoneSize-1, "replacement %d", first)
		}
	}
	sim.run(2 * time.Minute)
	for _, h := range sim.order {
		assert.Equal(t, len(h.table.Live()), zoneSize)
		assert.Equal(t, len(h.table.entries), zoneSize-1, "hosts remembered by %s after retention", h.peer.Host)
	}
}

func TestZonePartitionAndHeal(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 5)
	all := sim.startZones(4, 9)
	sim.run(20 * time.Second)
	reachable := func(h *host) int {
		n := 0
		for _, z := range h.table.Zones(sim.now) {
			if z.Reachable {
				assert.Equal(t, z.Alive, 9)
				n++
			}
		}
		return n
	}
	for _, h := range all {
		assert.Equal(t, reachable(h), 3, "zones that %s reaches", h.peer.Host)
	}
	sim.partition = func(from, to *host) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
	sim.run(30 * time.Second)
	for _, h := range all {
		want := 2
		if h.zone == "zone-0" {
			want = 0
		}
		assert.Equal(t, reachable(h), want, "zones that %s reaches during the partition", h.peer.Host)
		assert.Equal(t, len(h.table.Live()), 9, "the own zone of %s goes on", h.peer.Host)
	}
	sim.partition = nil
	sim.run(30 * time.Second)
	for _, h := range all {
		assert.Equal(t, reachable(h), 3, "zones that %s reaches after the partition", h.peer.Host)
	}
}

func TestPartitionInsideZoneHeals(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 6)
	sim.startZones(1, zoneSize)
	side := map[*host]bool{}
	for _, h := range sim.order[:9] {
		side[h] = true
	}
	sim.partition = func(from, to *host) bool { return side[from] != side[to] }
	sim.run(3 * time.Minute)
	assert.Equal(t, len(sim.order[0].table.Live()), 9)
	assert.Equal(t, len(sim.order[20].table.Live()), zoneSize-9)
	sim.partition = nil
	sim.run(30 * time.Second)
	for _, h := range sim.order {
		assert.Equal(t, len(h.table.Live()), zoneSize, "live hosts seen by %s", h.peer.Host)
	}
}

func TestLeavingInHostList(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 7)
	all := sim.startZones(1, zoneSize)
	sim.run(time.Minute)
	leaving := all[4]
	hostList := []objectapi.Host{{Name: leaving.peer.Host, Zone: leaving.zone, Address: leaving.peer.Address, State: objectapi.HostLeaving}}
	all[9].table.SetHostList(hostList, sim.now)
	sim.run(detectionBound)
	assert.Equal(t, sim.countObservers(leaving, Leaving), zoneSize-1)
	assert.Equal(t, leaving.table.Self().State, Leaving)

	leaving.killed = true
	fresh := sim.start(leaving.peer.Host, leaving.zone, nil)
	sim.order = append(sim.order[:4], append([]*host{fresh}, sim.order[5:zoneSize]...)...)
	fresh.table.SetHostList([]objectapi.Host{{Name: all[9].peer.Host, Zone: leaving.zone, Address: all[9].peer.Address}}, sim.now)
	sim.run(5 * time.Second)
	assert.Equal(t, sim.countObservers(fresh, Alive), zoneSize-1, "the restarted host takes work")
	all[9].table.SetHostList(hostList, sim.now)
	sim.run(5 * time.Second)
	assert.Equal(t, sim.countObservers(fresh, Alive), zoneSize-1, "a list that lags does not mark the restarted host again")
}

func TestTrafficDoesNotGrowWithZones(t *testing.T) {
	t.Parallel()
	const hostsPerZone = 12
	for _, zones := range []int{1, 10} {
		sim := newSimulation(t, 9)
		all := sim.startZones(zones, hostsPerZone)
		start := make([]int, len(all))
		for i, h := range all {
			start[i] = h.bytes
		}
		const span = 20
		sim.run(span * time.Second)
		sum, most := 0, 0
		for i, h := range all {
			sent := (h.bytes - start[i]) / span
			sum += sent
			most = max(most, sent)
		}
		t.Logf("%d zones of %d: %d bytes/s sent by a host on average, %d at most", zones, hostsPerZone, sum/len(all), most)
		assert.Assert(t, most < 9000, "bytes/s sent")
	}
}

func TestDelegateCount(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 10)
	n := 0
	for _, h := range sim.startZones(1, zoneSize) {
		if _, ok := h.table.delegateRank(); ok {
			n++
		}
	}
	assert.Equal(t, n, Default().Cross.Delegates)
}

func TestBrokenLinkIsNotSuspected(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 11)
	all := sim.startZones(1, zoneSize)
	watcher := all[2]
	target := watcher.table.entries[watcher.table.successors[0]].peer.Address
	sim.partition = func(from, to *host) bool {
		return (from == watcher && to.peer.Address == target) || (to == watcher && from.peer.Address == target)
	}
	sim.run(time.Minute)
	assert.Equal(t, sim.suspicions, 0)
}

func TestOwnPauseIsNotSilenceOfOthers(t *testing.T) {
	t.Parallel()
	table := New(Options{Config: Default(), Zone: "zone-0", Host: "self", Address: "addr-self"}, epoch)
	other := Peer{Host: "other", Address: "addr-other", Incarnation: 1}
	table.Handle(Message{Type: Ping, Zone: "zone-0", From: other}, epoch)
	other.State = Suspect
	table.applyUpdate(other, epoch)
	now := epoch.Add(TickInterval)
	table.Tick(now)
	now = now.Add(time.Minute)
	table.Tick(now)
	p, _ := table.Lookup("other")
	assert.Equal(t, p.State, Suspect, "a process that was paused declared another one dead at once")
	for range 2 * int(Default().Zone.DeadAfter/TickInterval) {
		now = now.Add(TickInterval)
		table.Tick(now)
	}
	p, _ = table.Lookup("other")
	assert.Equal(t, p.State, Dead)
}
