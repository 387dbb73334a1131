package limit

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func exactClock() clock { return clock{rate: 1} }

// network delivers messages late, repeatedly or not at all.
type network struct {
	rng                       *rand.Rand
	lost, late, repeated, gap int // percentages; gap: nodes that skip a round
	longest                   time.Duration
	pending                   []delayed
	f                         *fleet
}

type delayed struct {
	message
	at time.Duration
}

func (n *network) chance(percent int) bool { return n.rng.IntN(100) < percent }

func (n *network) send(m message) {
	if n.chance(n.lost) {
		return
	}
	if n.chance(n.repeated) {
		n.pending = append(n.pending, delayed{m, n.f.now + n.delay()})
	}
	if n.chance(n.late) {
		n.pending = append(n.pending, delayed{m, n.f.now + n.delay()})
		return
	}
	m.deliver(n.f.now)
}

func (n *network) delay() time.Duration { return time.Duration(n.rng.Int64N(int64(n.longest))) }

// deliver delivers the messages that are due, in random order.
func (n *network) deliver() {
	due := n.pending
	n.pending = nil
	n.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		if d.at > n.f.now {
			n.pending = append(n.pending, d)
			continue
		}
		d.deliver(n.f.now)
	}
}

// round sends demands of random nodes and sometimes restarts a node or the root.
func (n *network) round(check func()) {
	f := n.f
	for _, z := range f.zones {
		for _, e := range z.entries {
			if n.chance(n.gap) {
				continue
			}
			if n.chance(30) {
				e.share.Consume(float64(n.rng.IntN(20_000)), e.at(f.now))
			}
			f.demandEntry(z, e)
			if n.rng.IntN(2000) == 0 {
				f.restartEntry(e)
			}
		}
		if !n.chance(n.gap) {
			f.demandZone(z)
		}
		check()
		if n.rng.IntN(1000) == 0 {
			f.restartZone(z)
		}
	}
	if n.chance(80) {
		f.renewRoot()
	}
	if n.rng.IntN(300) == 0 {
		f.now = max(f.now, f.root.until+time.Millisecond)
		f.takeOverRoot()
	}
	f.now += time.Duration(n.rng.IntN(600)) * time.Millisecond
	n.deliver()
	check()
}

// TestSumNeverExceedsLimit sends random demands over a network that loses, delays,
// repeats and reorders messages, while clocks drift, entries and zone allocators
// restart and the lease of the root allocator expires.
func TestSumNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{
			rng:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			lost:     rapid.IntRange(0, 40).Draw(t, "lost"),
			late:     rapid.IntRange(0, 80).Draw(t, "late"),
			repeated: rapid.IntRange(0, 30).Draw(t, "repeated"),
			gap:      rapid.IntRange(0, 80).Draw(t, "gap"),
			longest:  time.Duration(rapid.IntRange(1, 10_000).Draw(t, "longest")) * time.Millisecond,
		}
		newClock := func() clock {
			return clock{
				offset: time.Duration(n.rng.IntN(10_000)) * time.Millisecond,
				rate:   1 + float64(n.rng.IntN(11)-5)/1000,
			}
		}
		n.f = newFleet(0.2, newClock, n.send)
		for range 200 {
			n.round(func() {
				assert.Assert(t, n.f.rate() <= testLimit*(1+1e-9), "sum of rates %.1f at %s", n.f.rate(), n.f.now)
			})
		}
	})
}

// exchange runs rounds of demands; demand returns the load of an entry in tokens per
// second, and zones for which cut is true cannot reach the root.
func exchange(f *fleet, rounds int, demand func(zone, entry int) float64, cut func(zone int) bool) {
	const period = 500 * time.Millisecond
	for range rounds {
		for zi, z := range f.zones {
			for ei, e := range z.entries {
				e.share.Consume(demand(zi, ei)*period.Seconds(), e.at(f.now))
				f.demandEntry(z, e)
			}
			if !cut(zi) {
				f.demandZone(z)
			}
		}
		f.renewRoot()
		f.now += period
	}
}

func directFleet(part float64) *fleet {
	var f *fleet
	f = newFleet(part, exactClock, func(m message) { m.deliver(f.now) })
	return f
}

func noneCutOff(int) bool { return false }

func TestSharesFollowDemand(t *testing.T) {
	f := directFleet(0.2)
	inZone := func(busy int) func(zone, entry int) float64 {
		return func(zone, entry int) float64 {
			if zone == busy && entry < 2 {
				return testLimit
			}
			return 0
		}
	}
	exchange(f, 20, inZone(0), noneCutOff)
	assert.Assert(t, f.zoneRate(f.zones[0]) > 0.84*testLimit, "%.0f", f.zoneRate(f.zones[0]))
	exchange(f, 20, inZone(2), noneCutOff)
	assert.Assert(t, f.zoneRate(f.zones[2]) > 0.84*testLimit, "%.0f", f.zoneRate(f.zones[2]))
	assert.Assert(t, f.rate() <= testLimit*(1+1e-9))
	busy := f.zones[2].entries[1]
	assert.Assert(t, busy.share.Rate(busy.at(f.now)) > 0.4*testLimit)
}

// TestEvenDemandUsesLimit checks that even demand above the limit gets at least 95 % of it.
func TestEvenDemandUsesLimit(t *testing.T) {
	f := directFleet(0.2)
	exchange(f, 20, func(int, int) float64 { return testLimit }, noneCutOff)
	assert.Assert(t, f.rate() > 0.95*testLimit && f.rate() <= testLimit*(1+1e-9), "%.0f", f.rate())
}

func TestCutOffZoneFallsBackToFloor(t *testing.T) {
	f := directFleet(0.2)
	even := func(int, int) float64 { return testLimit }
	exchange(f, 20, even, noneCutOff)
	exchange(f, 20, even, func(zone int) bool { return zone == 1 })
	assert.Assert(t, math.Abs(f.zoneRate(f.zones[1])-f.floors.Zone()) < 1, "%.0f", f.zoneRate(f.zones[1]))
	assert.Assert(t, f.rate() > 0.95*testLimit, "the other zones use what the cut-off zone lost: %.0f", f.rate())
	exchange(f, 20, even, noneCutOff)
	assert.Assert(t, f.zoneRate(f.zones[1]) > 0.3*testLimit, "%.0f", f.zoneRate(f.zones[1]))
}

func TestExpiredRootLeaseLeavesFloors(t *testing.T) {
	f := directFleet(0.2)
	exchange(f, 10, func(int, int) float64 { return testLimit }, noneCutOff)
	f.now += rootLease
	for _, z := range f.zones {
		f.demandZone(z)
	}
	assert.Assert(t, math.Abs(f.rate()-0.2*testLimit) < 1, "%.0f", f.rate())
}

// TestAllocatorCoversLeaseOfSlowClock checks that a grant stays reserved for as long as its node uses it.
func TestAllocatorCoversLeaseOfSlowClock(t *testing.T) {
	for _, tt := range []struct{ node, allocator float64 }{{1, 1}, {0.995, 1.0049}, {1.005, 0.995}} {
		node, allocator := clock{rate: tt.node}, clock{rate: tt.allocator}
		d := NewAllocator[string]()
		d.SetPool(Pool{Generation: 1, Rate: 100, Until: allocator.at(time.Hour)})
		var l Lease
		g, ok := d.Grant("n", l.NextDemand(100, node.at(0)), allocator.at(0))
		assert.Assert(t, ok)
		assert.Assert(t, l.Apply(g, node.at(0)))
		for at := time.Duration(0); at < 2*maxLeaseTime; at += time.Millisecond {
			used, counted := l.Rate(node.at(at)), d.Reserved(allocator.at(at))
			assert.Assert(t, used <= counted, "at %s the node uses %.0f of %.0f", at, used, counted)
		}
		assert.Equal(t, d.Reserved(allocator.at(2*maxLeaseTime)), 0.0)
	}
}

func TestConsumeIsBoundByRate(t *testing.T) {
	now := epoch
	s := NewShare(100, now)
	taken := 0.0
	for range 1000 {
		if _, ok := s.Consume(10, now); ok {
			taken += 10
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, taken >= 1000 && taken <= 1120, "10 s at 100 tokens/s and the burst: %.0f", taken)
}

func TestLargeRequestCreatesDebt(t *testing.T) {
	s := NewShare(100, epoch)
	_, ok := s.Consume(500, epoch)
	assert.Assert(t, ok)
	after, ok := s.Consume(1, epoch)
	assert.Assert(t, !ok)
	assert.Equal(t, after, 4*time.Second)
	_, ok = s.Consume(1, epoch.Add(after-time.Millisecond))
	assert.Assert(t, !ok)
	_, ok = s.Consume(1, epoch.Add(after+time.Millisecond))
	assert.Assert(t, ok)
	s.Refund(50, epoch.Add(after+time.Millisecond))
	_, ok = s.Consume(40, epoch.Add(after+time.Millisecond))
	assert.Assert(t, ok)
}

func TestApplyRejectsInvalidGrants(t *testing.T) {
	tests := []struct {
		name  string
		grant Grant
		after time.Duration
		want  bool
	}{
		{"answer", Grant{Generation: 2, Seq: 2, Rate: 1, TTL: time.Second}, 0, true},
		{"late", Grant{Generation: 2, Seq: 2, Rate: 1, TTL: time.Second}, time.Second, false},
		{"overtaken", Grant{Generation: 2, Seq: 1, Rate: 1, TTL: time.Second}, 0, false},
		{"never asked for", Grant{Generation: 2, Seq: 3, Rate: 1, TTL: time.Second}, 0, false},
		{"void generation", Grant{Generation: 1, Seq: 2, Rate: 1, TTL: time.Second}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Lease
			l.NextDemand(0, epoch)
			assert.Assert(t, l.Apply(Grant{Generation: 2, Seq: 1, Rate: 7, TTL: time.Minute}, epoch))
			l.NextDemand(0, epoch)
			at := epoch.Add(tt.after)
			assert.Equal(t, l.Apply(tt.grant, at), tt.want)
			if tt.want {
				assert.Assert(t, !l.Apply(tt.grant, at), "repeated")
				return
			}
			assert.Equal(t, l.Rate(at), 7.0)
		})
	}
}

func TestIdleUpToFloor(t *testing.T) {
	s := NewShare(10, epoch)
	assert.Assert(t, s.Idle(epoch))
	s.Consume(20, epoch)
	assert.Assert(t, !s.Idle(epoch))
	s.SetFloor(30, epoch)
	assert.Assert(t, s.Idle(epoch))
	s.SetFloor(0, epoch)
	assert.Assert(t, !s.Idle(epoch.Add(time.Second)))
	assert.Assert(t, s.Idle(epoch.Add(time.Minute)))
}

func TestShareConcurrentUse(t *testing.T) {
	s := NewShare(1000, epoch)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 200 {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				s.Consume(1, now)
				m := s.NextDemand(now)
				s.Apply(Grant{Generation: 1, Seq: m.Seq, Rate: 10, TTL: time.Second}, now)
				s.Rate(now)
			}
		})
	}
	wg.Wait()
}
