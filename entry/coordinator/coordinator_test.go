package coordinator

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

type fakeLease struct {
	token    uint64
	held     bool
	expiring bool
	fenced   []uint64
}

func (l *fakeLease) FencingToken() (uint64, bool) { return l.token, l.held }

func (l *fakeLease) CoversChange() bool      { return !l.expiring }
func (l *fakeLease) MarkFenced(token uint64) { l.fenced = append(l.fenced, token) }

type sentOrders struct{ orders []groupmsg.Order }

func (s *sentOrders) Send(o groupmsg.Order) { s.orders = append(s.orders, o) }

// drain returns the orders sent since the last call.
func (s *sentOrders) drain() []groupmsg.Order {
	out := s.orders
	s.orders = nil
	return out
}

func testConfig() Config {
	return Config{
		Group: "g", Layers: 1, PlanTicks: 2,
		Shape: expertmap.Config{Ranks: 2, Experts: 3, SlotsPerRank: 2},
	}
}

func newTestCoordinator() (*Coordinator, *fakeLease, *sentOrders) {
	l, s := &fakeLease{token: 1, held: true}, &sentOrders{}
	return New(testConfig(), l, s), l, s
}

// statusOfRunningRank returns the status of a rank with a map of an earlier coordinator.
func statusOfRunningRank(rank int, epoch lockstep.Epoch, seq uint64) groupmsg.Status {
	return groupmsg.Status{Group: "g", Report: lockstep.Report{
		Rank: rank, Incarnation: "inc", Seq: seq, Epoch: epoch, Next: 100, Staged: []lockstep.Version{9},
		Committed: lockstep.Decision{Formation: 5, Map: 9},
	}}
}

func TestFollowsLease(t *testing.T) {
	c, l, s := newTestCoordinator()
	l.held = false
	c.Tick()
	assert.Equal(t, len(s.drain()), 0)
	assert.Assert(t, !c.Status().Active)
	l.held = true
	c.Tick()
	orders := s.drain()
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[0].Command, lockstep.Command{Kind: lockstep.Join, Epoch: lockstep.NewEpoch(1)})
	l.token = 2
	c.Tick()
	assert.Equal(t, s.drain()[1].Command.Epoch, lockstep.NewEpoch(2))
	c.Receive(statusOfRunningRank(0, lockstep.NewEpoch(3), 1))
	c.Tick()
	assert.DeepEqual(t, l.fenced, []uint64{2})
	assert.Equal(t, c.Status().Phase, lockstep.PhaseFenced)
	assert.Equal(t, len(s.drain()), 0)
}

// TestFencingTokenIsUsedOnce checks that a lease that returns with an old token starts no
// coordinator: its epochs and versions would repeat.
func TestFencingTokenIsUsedOnce(t *testing.T) {
	c, l, s := newTestCoordinator()
	c.Tick()
	s.drain()
	l.held = false
	c.Tick()
	for _, token := range []uint64{1, 0} {
		l.token, l.held = token, true
		c.Tick()
		assert.Equal(t, len(s.drain()), 0, "lease %d", token)
		assert.Assert(t, !c.Status().Active, "lease %d", token)
	}
	assert.DeepEqual(t, l.fenced, []uint64{1, 0})
	l.token = 2
	c.Tick()
	assert.Assert(t, c.Status().Active)
}

func TestIgnoresStrayStatus(t *testing.T) {
	c, _, s := newTestCoordinator()
	c.Receive(statusOfRunningRank(0, lockstep.NewEpoch(1), 1))
	c.Tick()
	s.drain()
	other := statusOfRunningRank(0, lockstep.NewEpoch(1), 1)
	other.Group = "other"
	c.Receive(other)
	c.Receive(statusOfRunningRank(2, lockstep.NewEpoch(1), 1))
	assert.Equal(t, len(s.drain()), 0)
	assert.DeepEqual(t, c.Status().WaitsFor, []int{0, 1})
}

// TestPlansFromMapOfEarlierCoordinator checks that a new coordinator requests the layout
// of a map that it did not plan, and plans from it with the reported loads.
func TestPlansFromMapOfEarlierCoordinator(t *testing.T) {
	c, _, s := newTestCoordinator()
	epoch := lockstep.NewEpoch(1)
	c.Tick()
	for rank := range 2 {
		c.Receive(statusOfRunningRank(rank, epoch, 1))
	}
	s.drain()
	for range 4 {
		c.Tick()
	}
	for _, o := range s.drain() {
		assert.Equal(t, o.Describe, lockstep.Version(9))
	}
	layouts := []groupmsg.Layout{{{0, 1}}, {{2, 0}}}
	tokens := [][]uint64{{1000, 100_000}, {1000, 1000}}
	for rank := range 2 {
		status := statusOfRunningRank(rank, epoch, 2)
		status.Described = &groupmsg.Weights{Map: 9, Layout: layouts[rank]}
		status.Loads = &groupmsg.Loads{Map: 9, Steps: 1, Tokens: [][]uint64{tokens[rank]}}
		c.Receive(status)
	}
	c.Tick()
	var staged []groupmsg.Order
	for _, o := range s.drain() {
		if o.Command.Kind == lockstep.Stage {
			staged = append(staged, o)
		}
	}
	assert.Equal(t, len(staged), 2)
	v := lockstep.NewVersion(1, 1)
	assert.DeepEqual(t, staged[1].Weights, &groupmsg.Weights{
		Map: v, Layout: groupmsg.Layout{{2, 1}}, Moves: [][]expertmap.Move{{{Expert: 1, Rank: 1, Slot: 1, Source: 0}}},
	})
	assert.Equal(t, len(staged[0].Weights.Moves[0]), 0)
	// The layout of an earlier map must not replace that of the base.
	stray := statusOfRunningRank(0, epoch, 3)
	stray.Described = &groupmsg.Weights{Map: 8, Layout: groupmsg.Layout{{2, 2}}}
	c.Receive(stray)
	held, ok := c.maps.heldMaps()
	assert.Assert(t, ok)
	assert.DeepEqual(t, held[0].Slots, [][]expertmap.Expert{{0, 1}, {2, 0}})
}

func TestValidLayout(t *testing.T) {
	m := newMapState(testConfig().withDefaults())
	tests := []struct {
		name   string
		layout groupmsg.Layout
		want   bool
	}{
		{"fits", groupmsg.Layout{{0, expertmap.NoExpert}}, true},
		{"layers", groupmsg.Layout{{0, 1}, {0, 1}}, false},
		{"slots", groupmsg.Layout{{0}}, false},
		{"unknown expert", groupmsg.Layout{{0, 3}}, false},
		{"negative expert", groupmsg.Layout{{0, -2}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, m.validLayout(tt.layout), tt.want) })
	}
}

// TestNewGroupLoadsFromStore checks that a group without weights loads its first map from
// the store.
func TestNewGroupLoadsFromStore(t *testing.T) {
	c, _, s := newTestCoordinator()
	c.Tick()
	for rank := range 2 {
		status := statusOfRunningRank(rank, lockstep.NewEpoch(1), 1)
		status.Report.Committed, status.Report.Staged = lockstep.Decision{}, nil
		c.Receive(status)
	}
	s.drain()
	c.Tick()
	var moves int
	for _, o := range s.drain() {
		if o.Command.Kind != lockstep.Stage {
			continue
		}
		for _, m := range o.Weights.Moves[0] {
			assert.Equal(t, m.Source, expertmap.FromStore)
			moves++
		}
	}
	assert.Equal(t, moves, 4)
}

// TestVersionsNeverRepeat checks that a lease without versions left is given up.
func TestVersionsNeverRepeat(t *testing.T) {
	c, l, _ := newTestCoordinator()
	c.Tick()
	c.versionsUsed = math.MaxUint16
	c.setTarget(proposal{})
	assert.DeepEqual(t, l.fenced, []uint64{1})
	assert.Equal(t, c.versionsUsed, uint16(math.MaxUint16))
}

// TestNoChangeWithoutRenewal checks that no change begins while the lease renewal is late,
// and that the change proceeds after the renewal.
func TestNoChangeWithoutRenewal(t *testing.T) {
	c, l, s := newTestCoordinator()
	c.Tick()
	epoch := lockstep.NewEpoch(1)
	layouts := []groupmsg.Layout{{{0, 1}}, {{2, 0}}}
	for seq := range uint64(2) {
		for rank := range 2 {
			status := statusOfRunningRank(rank, epoch, seq+1)
			status.Described = &groupmsg.Weights{Map: 9, Layout: layouts[rank]}
			status.Loads = &groupmsg.Loads{Map: 9, Steps: 1, Tokens: [][]uint64{{1000, 100_000}}}
			c.Receive(status)
		}
	}
	l.expiring = true
	s.drain()
	for range 3 {
		c.Tick()
	}
	for _, o := range s.drain() {
		assert.Equal(t, o.Command.Kind, lockstep.Join)
	}
	l.expiring = false
	c.Tick()
	assert.Equal(t, c.Status().Phase, lockstep.PhaseStaging)
}
