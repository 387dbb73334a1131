package spread

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

// settle is the virtual time after which all processes of a bench know each other.
const settle = 30 * time.Second

// spreadBound is the time within which a version must be in force everywhere.
const spreadBound = 2 * time.Second

// takeoverBound adds the time to notice a dead reader.
const takeoverBound = 8 * time.Second

// virtual runs a test with virtual time over a settled fleet.
func virtual(t *testing.T, zones, n int, loss float64, test func(*bench)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, zones, n, loss)
		first := b.accept(config.KindServices, "first")
		b.startAll()
		defer b.stopAll()
		pass(settle)
		b.await(config.KindServices, first, 0, b.all)
		test(b)
	})
}

func TestSpreadUnderLoss(t *testing.T) {
	virtual(t, 2, 18, 0.05, func(b *bench) {
		for range 10 {
			took := b.await(config.KindTeams, b.accept(config.KindTeams, "teams"), spreadBound, b.all)
			t.Logf("in force everywhere after %v", took)
			pass(time.Second)
		}
	})
}

func TestPlatformCallsDoNotGrowWithHosts(t *testing.T) {
	t.Parallel()
	calls := func(n int) int {
		var made int
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, 1, n, 0)
			b.accept(config.KindServices, "first")
			b.startAll()
			defer b.stopAll()
			pass(settle)
			before := b.calls()
			pass(2 * time.Minute)
			made = b.calls() - before
		})
		return made
	}
	small, large := calls(4), calls(24)
	t.Logf("platform calls in two minutes: %d with 4 hosts, %d with 24", small, large)
	assert.Assert(t, large <= small+2)
}

func TestDeadReader(t *testing.T) {
	virtual(t, 1, 12, 0.05, func(b *bench) {
		b.reader("zone-0").node.Kill()
		alive := slices.DeleteFunc(slices.Clone(b.all), func(p *process) bool { return p.node.Paused() })
		assert.Equal(t, len(alive), 11)
		took := b.await(config.KindTeams, b.accept(config.KindTeams, "teams"), takeoverBound, alive)
		t.Logf("in force at the others after %v", took)
	})
}

func TestOutageAndRestartedHost(t *testing.T) {
	virtual(t, 2, 6, 0, func(b *bench) {
		version := b.accept(config.KindTeams, "teams")
		b.await(config.KindTeams, version, spreadBound, b.all)
		b.each(outage)
		victim := b.all[2]
		victim.stop()
		pass(time.Minute)
		fresh := b.start(victim.name, victim.zone)
		b.all[2] = fresh
		fresh.store.SetDown(true)
		assert.Assert(t, !fresh.spread.Ready(), "ready before it asked anyone")
		b.await(config.KindTeams, version, 5*time.Second, []*process{fresh})
		pass(time.Second)
		assert.Assert(t, fresh.spread.Ready())
		assert.Equal(t, string(fresh.applier.values[config.KindServices].Value), "first")
		b.each(outageEnds)
		b.await(config.KindTeams, b.accept(config.KindTeams, "later"), Default().BackoffMax+spreadBound, b.all)
	})
}

func TestNeitherPeersNorPlatformIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, 3, 0)
		version := b.accept(config.KindServices, "first")
		b.startAll()
		b.each(outage)
		defer b.stopAll()
		pass(2 * time.Minute)
		for _, p := range b.all {
			assert.Assert(t, !p.spread.Ready(), "%s", p.name)
		}
		b.each(outageEnds)
		b.await(config.KindServices, version, Default().BackoffMax+spreadBound, b.all)
		pass(Default().BackoffMax)
		for _, p := range b.all {
			assert.Assert(t, p.spread.Ready(), "%s", p.name)
		}
	})
}

func TestZoneCutOffAndHealed(t *testing.T) {
	virtual(t, 3, 6, 0, func(b *bench) {
		in, out := b.inZone("zone-1")
		isIn := func(address string) bool {
			return slices.ContainsFunc(in, func(p *process) bool { return "addr-"+string(p.name) == address })
		}
		b.net.Cut(func(from, to string) bool { return isIn(from) != isIn(to) })
		for _, p := range in {
			p.store.SetDown(true)
		}
		version := b.accept(config.KindTeams, "teams")
		b.await(config.KindTeams, version, spreadBound, out)
		pass(2 * time.Minute)
		for _, p := range in {
			assert.Equal(t, p.applier.Versions()[config.KindTeams], uint64(0))
			assert.Assert(t, p.spread.Ready(), "%s goes on with what it has", p.name)
		}
		b.net.Cut(nil) // The way to the platform stays cut.
		took := b.await(config.KindTeams, version, 19*time.Second, in)
		t.Logf("in force in the zone %v after the network healed, without the platform", took)
		for _, p := range in {
			assert.Equal(t, p.events(EventApplied, "teams version 1 from the platform"), 0)
			p.store.SetDown(false)
		}
	})
}

func TestStalePlatformIsNotObeyed(t *testing.T) {
	virtual(t, 1, 6, 0, func(b *bench) {
		version := b.accept(config.KindServices, "second")
		b.await(config.KindServices, version, spreadBound, b.all)
		b.each(func(s *faultstore.Store) { s.SetReadLag(1) })
		pass(2 * time.Minute)
		recorded := 0
		for _, p := range b.all {
			assert.Equal(t, p.applier.Versions()[config.KindServices], version, "version at %s", p.name)
			recorded += p.events(EventPlatformBehind, "platform shows services version 1, version 2 stays in force")
		}
		assert.Assert(t, recorded > 0, "no event tells of the stale platform")
	})
}

func TestLostAnswersOfPlatform(t *testing.T) {
	virtual(t, 1, 6, 0, func(b *bench) {
		version := b.accept(config.KindTeams, "teams")
		b.await(config.KindTeams, version, spreadBound, b.all)
		b.each(func(s *faultstore.Store) { s.LoseResponses(3) })
		pass(6 * time.Second) // The watch that waits ends and its answer is lost.
		b.await(config.KindTeams, b.accept(config.KindTeams, "later"), 4*time.Second, b.all)
	})
}

func TestMissedVersionComesFromPeerInZone(t *testing.T) {
	virtual(t, 2, 6, 0, func(b *bench) {
		reader := b.reader("zone-0")
		in, _ := b.inZone("zone-0")
		missed := in[slices.IndexFunc(in, func(p *process) bool { return p != reader })]
		missed.node.Serve(func(ctx context.Context, payload []byte) ([]byte, error) {
			if transport.Purpose(payload[0]) == transport.Configuration {
				return nil, errors.New("push is lost")
			}
			return missed.members.Handle(ctx, payload[1:])
		})
		calls := b.calls()
		version := b.accept(config.KindTeams, "teams")
		b.await(config.KindTeams, version, spreadBound, b.all)
		made := b.calls() - calls
		assert.Assert(t, made <= 2, "%d calls while the version spread, more than the watches of two readers", made)
		recovered := 0
		for _, p := range in {
			recovered += missed.events(EventApplied, "teams version 1 from addr-"+string(p.name))
		}
		assert.Equal(t, recovered, 1)
	})
}

func TestPushReachesWholeZone(t *testing.T) {
	virtual(t, 2, 18, 0, func(b *bench) {
		b.await(config.KindTeams, b.accept(config.KindTeams, "teams"), spreadBound, b.all)
		pushed, read := 0, 0
		for _, p := range b.all {
			pushed += p.events(EventApplied, "teams version 1 from push")
			read += p.events(EventApplied, "teams version 1 from the platform")
		}
		assert.Equal(t, read, 2, "hosts that read the platform")
		assert.Equal(t, pushed, len(b.all)-2)
	})
}

func TestTwoReadersOfAZone(t *testing.T) {
	virtual(t, 1, 8, 0, func(b *bench) {
		side := func(address string) bool { return address < "addr-host-0-04" }
		b.net.Cut(func(from, to string) bool { return side(from) != side(to) })
		pass(10 * time.Second)
		readers := 0
		for _, p := range b.all {
			if p.spread.reader() {
				readers++
			}
		}
		assert.Equal(t, readers, 2)
		b.await(config.KindTeams, b.accept(config.KindTeams, "divided"), spreadBound, b.all)
		b.net.Cut(nil)
		b.await(config.KindTeams, b.accept(config.KindTeams, "joined"), spreadBound, b.all)
	})
}

func TestVersionThatNobodyHasIsGivenUp(t *testing.T) {
	virtual(t, 1, 4, 0, func(b *bench) {
		p := b.all[0]
		note, err := encode(Digest{Ready: true, Versions: map[config.Kind]uint64{config.KindTeams: 9}})
		assert.NilError(t, err)
		p.spread.OnNote(member.Peer{Host: "gone", Address: "addr-gone"}, p.zone, note)
		gets := func() (n int) {
			for _, c := range p.store.Calls() {
				if c.Method == "get" {
					n++
				}
			}
			return n
		}
		pass(time.Minute)
		first := gets()
		assert.Assert(t, first > 0, "the platform is asked last")
		pass(5 * time.Minute)
		assert.Equal(t, gets(), first)
	})
}

func TestInvalidVersionIsRecordedOnce(t *testing.T) {
	virtual(t, 1, 4, 0, func(b *bench) {
		odd := b.all[1]
		odd.applier.invalid = "strange"
		version := b.accept(config.KindTeams, "strange")
		others := slices.DeleteFunc(slices.Clone(b.all), func(p *process) bool { return p == odd })
		b.await(config.KindTeams, version, spreadBound, others)
		pass(time.Minute)
		assert.Equal(t, odd.events(EventRejected, "teams version 1"), 1)
		b.await(config.KindTeams, b.accept(config.KindTeams, "fine"), spreadBound, b.all)
	})
}

func TestSplit(t *testing.T) {
	targets := make([]target, 35)
	for i := range targets {
		targets[i].Address = string(rune('A' + i))
	}
	var joined []target
	for _, part := range split(targets, 3) {
		assert.Assert(t, len(part) == 11 || len(part) == 12)
		joined = append(joined, part...)
	}
	assert.DeepEqual(t, joined, targets)
	assert.Equal(t, len(split(nil, 3)), 0)
}

var _ Peers = (*member.Runner)(nil)
