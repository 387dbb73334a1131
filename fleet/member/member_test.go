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

// workBound is the time after which a killed host must get no new work.
const workBound = 3 * time.Second

func TestKilledHostGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		b := newBench(t, seed)
		all := b.fleet(1, zoneSize)
		b.run(time.Duration(seed) * 37 * time.Millisecond)
		victim := all[int(seed)%zoneSize]
		victim.killed = true
		killed := b.now
		b.run(workBound)
		assert.Equal(t, b.seen(victim, Alive), 0, "seed %d: hosts that give new work", seed)
		b.run(2 * time.Second)
		assert.Equal(t, b.seen(victim, Dead), zoneSize-1, "seed %d", seed)
		assert.Equal(t, b.deaths, zoneSize-1, "seed %d: only the victim died", seed)
		c := b.changes[victim.peer.Host]
		t.Logf("seed %d: suspected after %v, dead after %v", seed, c[Suspect].Sub(killed), c[Dead].Sub(killed))
	}
}

func TestPauseOfTwoSecondsIsNotDeath(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		b := newBench(t, seed)
		all := b.fleet(1, zoneSize)
		b.run(time.Duration(seed) * 41 * time.Millisecond)
		paused := all[int(seed)%zoneSize]
		paused.paused = true
		b.run(2 * time.Second)
		b.resume(paused)
		b.run(3 * time.Second)
		assert.Equal(t, b.deaths, 0, "seed %d", seed)
		assert.Equal(t, b.seen(paused, Alive), zoneSize-1, "seed %d: hosts that see it alive", seed)
		for _, h := range all {
			if h != paused {
				_, suspected := b.changes[h.peer.Host][Suspect]
				assert.Assert(t, !suspected, "seed %d: %s was suspected though only %s paused",
					seed, h.peer.Host, paused.peer.Host)
			}
		}
	}
}

func TestSilentConnectionIsReplacedBeforeSuspicion(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	all := b.fleet(1, zoneSize)
	for _, from := range all[:12] {
		for _, to := range all {
			b.silent[[2]string{from.peer.Address, to.peer.Address}] = true
		}
	}
	b.run(10 * time.Second)
	assert.Equal(t, b.suspect, 0)
	for _, from := range all[:12] {
		for _, h := range from.table.ring {
			to := from.table.entries[h].peer.Address
			assert.Assert(t, !b.silent[[2]string{from.peer.Address, to}], "%s still uses its silent connection to %s", from.peer.Host, h)
		}
	}
}

func TestLossOfOneInFiveMessages(t *testing.T) {
	t.Parallel()
	deaths, suspicions := 0, 0
	for seed := range uint64(3) {
		b := newBench(t, seed)
		b.fleet(1, zoneSize)
		b.loss = 0.2
		b.run(2 * time.Minute)
		deaths += b.deaths
		suspicions += b.suspect
		victim := b.order[3]
		victim.killed = true
		b.run(workBound)
		assert.Equal(t, b.seen(victim, Alive), 0, "seed %d: hosts that give new work under loss", seed)
	}
	t.Logf("3 runs of 2 minutes with %d hosts: %d beliefs in a false suspicion, %d in a false death", zoneSize, suspicions, deaths)
	assert.Equal(t, deaths, 0)
}

func TestReplacements(t *testing.T) {
	t.Parallel()
	b := newBench(t, 3)
	b.fleet(1, zoneSize)
	const replacements, together = 160, 4
	for first := 0; first < replacements; first += together {
		var list []objectapi.Host
		for _, h := range b.order {
			list = append(list, objectapi.Host{Name: h.peer.Host, Zone: h.zone, Address: h.peer.Address, State: objectapi.HostLive})
		}
		leaving := slices.Clone(b.order[:together])
		for _, h := range leaving {
			h.table.Leave()
		}
		b.run(workBound)
		for _, h := range leaving {
			assert.Equal(t, b.seen(h, Leaving), zoneSize-1, "replacement %d", first)
		}
		for _, h := range leaving {
			h.killed = true
		}
		b.order = b.order[together:]
		for i, h := range leaving {
			name := h.peer.Host
			if i%2 == 0 {
				name = id.Host(fmt.Sprintf("new-%03d", first+i))
			}
			b.start(name, h.zone, list)
		}
		b.run(5 * time.Second)
		for _, h := range b.order[zoneSize-together:] {
			assert.Equal(t, b.seen(h, Alive), zoneSize-1, "replacement %d", first)
		}
	}
	b.run(2 * time.Minute)
	for _, h := range b.order {
		assert.Equal(t, len(h.table.Live()), zoneSize)
		assert.Equal(t, len(h.table.entries), zoneSize-1, "hosts remembered by %s after retention", h.peer.Host)
	}
}

func TestZonePartitionAndHeal(t *testing.T) {
	t.Parallel()
	b := newBench(t, 5)
	all := b.fleet(4, 9)
	b.run(20 * time.Second)
	reachable := func(h *host) int {
		n := 0
		for _, z := range h.table.Zones(b.now) {
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
	b.cut = func(from, to *host) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
	b.run(30 * time.Second)
	for _, h := range all {
		want := 2
		if h.zone == "zone-0" {
			want = 0
		}
		assert.Equal(t, reachable(h), want, "zones that %s reaches during the partition", h.peer.Host)
		assert.Equal(t, len(h.table.Live()), 9, "the own zone of %s goes on", h.peer.Host)
	}
	b.cut = nil
	b.run(30 * time.Second)
	for _, h := range all {
		assert.Equal(t, reachable(h), 3, "zones that %s reaches after the partition", h.peer.Host)
	}
}

func TestPartitionInsideZoneHeals(t *testing.T) {
	t.Parallel()
	b := newBench(t, 6)
	b.fleet(1, zoneSize)
	side := map[*host]bool{}
	for _, h := range b.order[:9] {
		side[h] = true
	}
	b.cut = func(from, to *host) bool { return side[from] != side[to] }
	b.run(3 * time.Minute)
	assert.Equal(t, len(b.order[0].table.Live()), 9)
	assert.Equal(t, len(b.order[20].table.Live()), zoneSize-9)
	b.cut = nil
	b.run(30 * time.Second)
	for _, h := range b.order {
		assert.Equal(t, len(h.table.Live()), zoneSize, "live hosts seen by %s", h.peer.Host)
	}
}

func TestLeavingInHostList(t *testing.T) {
	t.Parallel()
	b := newBench(t, 7)
	all := b.fleet(1, zoneSize)
	b.run(time.Minute)
	leaving := all[4]
	hint := []objectapi.Host{{Name: leaving.peer.Host, Zone: leaving.zone, Address: leaving.peer.Address, State: objectapi.HostLeaving}}
	all[9].table.SetHostList(hint, b.now)
	b.run(workBound)
	assert.Equal(t, b.seen(leaving, Leaving), zoneSize-1)
	assert.Equal(t, leaving.table.Self().State, Leaving)

	leaving.killed = true
	fresh := b.start(leaving.peer.Host, leaving.zone, nil)
	b.order = append(b.order[:4], append([]*host{fresh}, b.order[5:zoneSize]...)...)
	fresh.table.SetHostList([]objectapi.Host{{Name: all[9].peer.Host, Zone: leaving.zone, Address: all[9].peer.Address}}, b.now)
	b.run(5 * time.Second)
	assert.Equal(t, b.seen(fresh, Alive), zoneSize-1, "the restarted host takes work")
	all[9].table.SetHostList(hint, b.now)
	b.run(5 * time.Second)
	assert.Equal(t, b.seen(fresh, Alive), zoneSize-1, "a list that lags does not mark the restarted host again")
}

func TestBytesOfHostDoNotGrowWithZones(t *testing.T) {
	t.Parallel()
	const hostsPerZone = 12
	for _, zones := range []int{1, 10} {
		b := newBench(t, 9)
		all := b.fleet(zones, hostsPerZone)
		start := make([]int, len(all))
		for i, h := range all {
			start[i] = h.bytes
		}
		const span = 20
		b.run(span * time.Second)
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

func TestDelegatesAreFew(t *testing.T) {
	t.Parallel()
	b := newBench(t, 10)
	n := 0
	for _, h := range b.fleet(1, zoneSize) {
		if _, ok := h.table.delegateRank(); ok {
			n++
		}
	}
	assert.Equal(t, n, Default().Cross.Delegates)
}

func TestBrokenPathBetweenTwoHostsIsNotDeath(t *testing.T) {
	t.Parallel()
	b := newBench(t, 11)
	all := b.fleet(1, zoneSize)
	watcher := all[2]
	target := watcher.table.entries[watcher.table.ring[0]].peer.Address
	b.cut = func(from, to *host) bool {
		return (from == watcher && to.peer.Address == target) || (to == watcher && from.peer.Address == target)
	}
	b.run(time.Minute)
	assert.Equal(t, b.suspect, 0)
}

func TestOwnPauseIsNotSilenceOfOthers(t *testing.T) {
	t.Parallel()
	table := New(Options{Config: Default(), Zone: "zone-0", Host: "self", Address: "addr-self"}, epoch)
	other := Peer{Host: "other", Address: "addr-other", Incarnation: 1}
	table.Handle(Message{Type: Ping, Zone: "zone-0", From: other}, epoch)
	other.State = Suspect
	table.apply(other, epoch)
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
