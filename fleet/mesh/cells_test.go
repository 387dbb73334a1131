package mesh

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

func members(n, zones int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Host: id.Host(fmt.Sprintf("h%d", i)), Zone: id.Zone(fmt.Sprintf("z%d", i%zones))})
	}
	return out
}

func answersAll(id.Host) bool { return true }

// TestExchangesGrowWithSquareRoot checks that the exchanges of a member grow only
// with the square root of the fleet.
func TestExchangesGrowWithSquareRoot(t *testing.T) {
	for _, c := range []struct{ members, zones int }{{2, 1}, {4, 3}, {18, 4}, {20, 3}, {21, 3}, {50, 3}, {125, 3}, {360, 10}} {
		all := members(c.members, c.zones)
		l := newLayout(all)
		total, most := 0, 0
		for _, m := range all {
			mates := l.cellMembers(m.Host)
			for _, h := range mates {
				assert.Assert(t, l.sameCell(m.Host, h))
			}
			contacts := l.contacts(m.Host, answersAll)
			assert.Equal(t, len(contacts), len(l.cellNames)-1, "one contact in each other cell")
			n := len(mates) - 1 + len(contacts)
			total += n
			most = max(most, n)
		}
		mean := float64(total) / float64(c.members)
		t.Logf("%d members in %d zones: %d cells, %.1f neighbors, %d at most", c.members, c.zones, len(l.cellNames), mean, most)
		if c.members <= maxFullMesh {
			assert.Equal(t, len(l.cellNames), 1)
			continue
		}
		assert.Assert(t, mean <= 2.5*math.Sqrt(float64(c.members)), "%.1f neighbors of %d", mean, c.members)
	}
}

func TestCellsAreOfOneZone(t *testing.T) {
	all := members(60, 3)
	l := newLayout(all)
	for _, a := range all {
		for _, b := range all {
			assert.Assert(t, a.Zone == b.Zone || !l.sameCell(a.Host, b.Host))
		}
	}
}

// TestCellsAreStable checks that adding a member doesn't move others to other cells.
func TestCellsAreStable(t *testing.T) {
	before, after := newLayout(members(125, 3)), newLayout(members(126, 3))
	moved := 0
	for host, cell := range before.cellByHost {
		if after.cellByHost[host] != cell {
			moved++
		}
	}
	assert.Equal(t, moved, 0)
}

func TestContactThatDoesNotAnswerIsReplaced(t *testing.T) {
	l := newLayout(members(60, 3))
	for _, usual := range l.contacts("h0", answersAll) {
		others := l.contacts("h0", func(h id.Host) bool { return h != usual })
		replaced := 0
		for i, h := range l.contacts("h0", answersAll) {
			if others[i] != h {
				replaced++
				assert.Assert(t, h == usual && l.sameCell(h, others[i]))
			}
		}
		assert.Assert(t, replaced == 1 || len(l.cellMembers(usual)) == 1)
	}
	none := l.contacts("h0", func(id.Host) bool { return false })
	assert.DeepEqual(t, none, l.contacts("h0", answersAll))
}

// TestEachPairHasOneCaller checks that of two members exactly one calls the other.
func TestEachPairHasOneCaller(t *testing.T) {
	own := 0
	for _, a := range members(20, 1) {
		for _, b := range members(20, 1) {
			if a.Host != b.Host {
				assert.Assert(t, initiates(a.Host, b.Host) != initiates(b.Host, a.Host))
			}
			if a.Host == "h3" && b.Host != "h3" && initiates(a.Host, b.Host) {
				own++
			}
		}
	}
	assert.Assert(t, own > 4 && own < 15, "%d of 19 pairs", own)
}

// TestLargeFleet checks with 60 members that the aggregated states of all arrive at
// each, that few read the platform, and that a new version reaches all.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60
		f := newFleet(t)
		f.cfg.ForgetAfter = 8 * time.Second
		var nodes []*node
		for i := range size {
			nodes = append(nodes, f.startIn(id.Zone(fmt.Sprintf("z%d", i%3)), fmt.Sprintf("h%d", i), "1"))
		}
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			assert.Equal(t, n.mesh.MemberCount(), size)
			assert.Equal(t, n.total(), size)
		}
		reading := 0
		for _, n := range nodes {
			if n.mesh.IsReader() {
				reading++
			}
		}
		cells := len(nodes[0].mesh.layout.cellNames)
		assert.Assert(t, reading <= 2*cells, "%d of %d read, in %d cells", reading, size, cells)
		assert.Assert(t, reading >= 3)

		nodes[7].set(Value{Version: 9, Data: []byte("nine")})
		nodes[7].mesh.NotifyChange()
		time.Sleep(1500 * time.Millisecond)
		for i, n := range nodes {
			assert.Equal(t, n.get().Version, uint64(9), "entry %d", i)
		}

		// After a whole cell fails, the others remove its members.
		l := nodes[0].mesh.layout
		lost := l.cellMembers("h1")
		gone := make(map[id.Host]bool)
		for _, h := range lost {
			gone[h] = true
		}
		for i, n := range nodes {
			if gone[id.Host(fmt.Sprintf("h%d", i))] {
				n.net.Kill()
				n.store.SetDown(true)
			}
		}
		time.Sleep(30 * time.Second)
		for i, n := range nodes {
			if !gone[id.Host(fmt.Sprintf("h%d", i))] {
				assert.Equal(t, n.mesh.MemberCount(), size-len(gone), "entry %d", i)
			}
		}
		for _, n := range nodes {
			n.cancel()
		}
		for _, n := range nodes {
			<-n.done
		}
	})
}

// total returns the number of entries whose states the node has: its own, those of
// its cell and those in the aggregates of other cells.
func (n *node) total() int {
	n.mesh.mu.Lock()
	l := n.mesh.currentLayout()
	n.mesh.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 1
	for host := range n.states {
		if l.sameCell(n.mesh.opt.Self.Host, host) {
			sum++ // States received before the fleet was divided into cells don't count.
		}
	}
	for cell, c := range n.cells {
		if len(l.hostsByCell[cell]) > 0 {
			sum += c
		}
	}
	return sum
}

// TestEveryMemberHearsEachCell guards against members that hear of another cell less often than
// others expect by their own interval: they would take a lease holder there for gone.
func TestEveryMemberHearsEachCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.cfg.BytesPerSecond = 3000
		var nodes []*node
		for i, zone := range []id.Zone{"a", "b", "c", "d", "e"} {
			for j := range 9 + 3*i { // Zones, and so cells, differ in size.
				nodes = append(nodes, f.startIn(zone, fmt.Sprintf("%s%d", zone, j), "1"))
			}
		}
		time.Sleep(30 * time.Second)
		shortest, longest := time.Hour, time.Duration(0)
		for _, n := range nodes {
			n.mu.Lock()
			n.heardAt, n.longestGap = make(map[string]time.Time), 0
			n.mu.Unlock()
			shortest, longest = min(shortest, n.mesh.Interval()), max(longest, n.mesh.Interval())
		}
		assert.Assert(t, longest < shortest*3/2, "intervals from %v to %v", shortest, longest)
		time.Sleep(30 * time.Second)
		for _, n := range nodes {
			n.mu.Lock()
			for _, cell := range n.mesh.layout.cellNames {
				_, heard := n.heardAt[cell]
				assert.Assert(t, heard || cell == n.mesh.layout.cellByHost[n.mesh.opt.Self.Host], "%s never heard of %s", n.mesh.opt.Self.Host, cell)
			}
			assert.Equal(t, len(n.heardAt), len(n.mesh.layout.cellNames)-1)
			assert.Assert(t, n.longestGap < 2*shortest, "%s: %v at intervals from %v", n.mesh.opt.Self.Host, n.longestGap, shortest)
			n.mu.Unlock()
		}
		stopAll(nodes)
	})
}

// TestFormerContactStaysRegistered guards against the removal of a live member whose one call
// failed, at its start or in a short cut, and that is not called again because it is no contact.
func TestFormerContactStaysRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.cfg.ForgetAfter = 8 * time.Second
		var nodes []*node
		for i := range 30 {
			nodes = append(nodes, f.startIn(id.Zone(fmt.Sprintf("z%d", i%3)), fmt.Sprintf("h%d", i), "1"))
		}
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			n.mesh.mu.Lock()
			for _, p := range n.mesh.peers {
				p.lastFailure, p.failingSince, p.lastSeen = time.Now(), time.Now(), time.Time{}
			}
			n.mesh.mu.Unlock()
		}
		_, before, err := f.store.List(t.Context(), Kind)
		assert.NilError(t, err)
		time.Sleep(40 * time.Second)
		_, after, err := f.store.List(t.Context(), Kind)
		assert.NilError(t, err)
		assert.Equal(t, after, before, "registrations were removed and written again")
		stopAll(nodes)
	})
}
