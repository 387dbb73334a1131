package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// maxLag is the time within which an entry must catch up while one member with the newer version
// still answers: the default time within which a configuration must be in force.
const maxLag = 2 * time.Second

func stopAll(nodes []*node) {
	for _, n := range nodes {
		n.cancel()
	}
	for _, n := range nodes {
		<-n.done
	}
}

// TestLagIsBoundedByTime guards against an entry that stays behind for several exchange rounds,
// which take seconds in a large fleet: all members but one stop answering after they announced a
// newer version.
func TestLagIsBoundedByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.cfg.BytesPerSecond = 150
		var nodes []*node
		for i := range 12 {
			nodes = append(nodes, f.start(fmt.Sprintf("h%d", i), "1"))
		}
		time.Sleep(30 * time.Second)
		behind := nodes[0]
		assert.Assert(t, behind.mesh.Interval() > 2*time.Second, "%v", behind.mesh.Interval())
		const answering = "h11"
		f.net.Partition(func(from, to string) bool {
			return (from == address("h0") && to != address(answering)) || (to == address("h0") && from != address(answering))
		})
		for _, n := range nodes[1:] {
			n.set(Value{Version: 9, Data: []byte("nine")})
		}
		behind.mesh.mu.Lock()
		for _, p := range behind.mesh.peers {
			p.versions = map[Topic]uint64{topic: 9}
		}
		behind.mesh.mu.Unlock()
		// Entries with a version wait for their own watch first; this one has none.
		behind.mesh.fetchNewer(t.Context(), time.Now())
		time.Sleep(maxLag)
		assert.Equal(t, behind.get().Version, uint64(9))
		f.net.Partition(nil)
		stopAll(nodes)
	})
}

// TestFailedSourceIsTriedLast checks that a fetch never goes twice running to a member that
// failed while another one offers a newer version.
func TestFailedSourceIsTriedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		nodes := []*node{f.start("a", "1"), f.start("b", "1"), f.start("c", "1")}
		time.Sleep(time.Second)
		m := nodes[0].mesh
		m.mu.Lock()
		m.peers["b"].versions = map[Topic]uint64{topic: 9}
		m.peers["c"].versions = map[Topic]uint64{topic: 4}
		first := m.sources(topic, 1, time.Now())
		m.mu.Unlock()
		assert.Equal(t, first[0].host, id.Host("b"))
		m.recordFetchFailure("b")
		m.mu.Lock()
		then := m.sources(topic, 1, time.Now())
		m.mu.Unlock()
		assert.Equal(t, then[0].host, id.Host("c"))
		assert.Equal(t, then[1].host, id.Host("b"))
		stopAll(nodes)
	})
}

// TestWrongOfferIsNotFetchedInALoop covers a member that announces a version that it does not
// have.
func TestWrongOfferIsNotFetchedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		nodes := []*node{f.start("a", "1"), f.start("b", "1")}
		time.Sleep(time.Second)
		a := nodes[0]
		lie := func() {
			a.mesh.mu.Lock()
			a.mesh.peers["b"].versions = map[Topic]uint64{topic: 1 << 63}
			a.mesh.mu.Unlock()
		}
		lie()
		a.mesh.fetchNewer(t.Context(), time.Now())
		before := a.net.Traffic().Calls
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			lie()
		}
		calls := a.net.Traffic().Calls - before
		assert.Assert(t, calls < 150, "%d calls in 10 s", calls) // Exchanges make up to a hundred.
		stopAll(nodes)
	})
}

// maxSpread is the time within which all entries of a large fleet have a new version. It leaves
// half of the default time within which a configuration must be in force to the readers' watches.
const maxSpread = time.Second

// TestNewVersionSpreadsFasterThanRounds guards against entries that learn of a newer version and
// fetch it only with their next exchange round, which adds up over the cells of a large fleet.
func TestNewVersionSpreadsFasterThanRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.cfg.BytesPerSecond = 300
		var nodes []*node
		for i := range 60 {
			nodes = append(nodes, f.startIn(id.Zone(fmt.Sprintf("z%d", i%5)), fmt.Sprintf("h%d", i), "1"))
		}
		time.Sleep(60 * time.Second)
		assert.Assert(t, nodes[0].mesh.Interval() > 2*time.Second, "%v", nodes[0].mesh.Interval())
		nodes[7].set(Value{Version: 9, Data: []byte("nine")})
		nodes[7].mesh.NotifyChange()
		time.Sleep(maxSpread)
		for i, n := range nodes {
			assert.Equal(t, n.get().Version, uint64(9), "entry %d", i)
		}
		stopAll(nodes)
	})
}
