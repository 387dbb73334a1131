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
	number uint64
	held   bool
	late   bool
	fenced []uint64
}

func (l *fakeLease) FencingToken() (uint64, bool) { return l.number, l.held }

func (l *fakeLease) CoversChange() bool       { return !l.late }
func (l *fakeLease) MarkFenced(number uint64) { l.fenced = append(l.fenced, number) }

type sentOrders struct{ orders []groupmsg.Order }

func (s *sentOrders) Send(o groupmsg.Order) { s.orders = append(s.orders, o) }

// take returns the orders since the last call.
func (s *sentOrders) take() []groupmsg.Order {
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

func newTestDuty() (*Coordinator, *fakeLease, *sentOrders) {
	l, s := &fakeLease{number: 1, held: true}, &sentOrders{}
	return New(testConfig(), l, s), l, s
}

// running returns a report of a rank that runs a map of an earlier coordinator in epoch.
func running(rank int, epoch lockstep.Epoch, seq uint64) groupmsg.Status {
	return groupmsg.Status{Group: "g", Report: lockstep.Report{
		Rank: rank, Incarnation: "inc", Seq: seq, Epoch: epoch, Next: 100, Staged: []lockstep.Version{9},
		Committed: lockstep.Decision{Formation: 5, Map: 9},
	}}
}

func TestFollowsLease(t *testing.T) {
	d, l, s := newTestDuty()
	l.held = false
	d.Tick()
	assert.Equal(t, len(s.take()), 0)
	assert.Assert(t, !d.Status().Active)
	l.held = true
	d.Tick()
	orders := s.take()
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[0].Command, lockstep.Command{Kind: lockstep.Join, Epoch: lockstep.NewEpoch(1)})
	l.number = 2
	d.Tick()
	assert.Equal(t, s.take()[1].Command.Epoch, lockstep.NewEpoch(2))
	d.Receive(running(0, lockstep.NewEpoch(3), 1))
	d.Tick()
	assert.DeepEqual(t, l.fenced, []uint64{2})
	assert.Equal(t, d.Status().Phase, lockstep.PhaseFenced)
	assert.Equal(t, len(s.take()), 0)
}

// TestLeaseNumberIsUsedOnce verifies that a lease which was given up and shows
// again with the same number gets no second coordinator: its epochs and versions
// would repeat.
func TestLeaseNumberIsUsedOnce(t *testing.T) {
	d, l, s := newTestDuty()
	d.Tick()
	s.take()
	l.held = false
	d.Tick()
	for _, number := range []uint64{1, 0} {
		l.number, l.held = number, true
		d.Tick()
		assert.Equal(t, len(s.take()), 0, "lease %d", number)
		assert.Assert(t, !d.Status().Active, "lease %d", number)
	}
	assert.DeepEqual(t, l.fenced, []uint64{1, 0})
	l.number = 2
	d.Tick()
	assert.Assert(t, d.Status().Active)
}

func TestIgnoresStrayStatus(t *testing.T) {
	d, _, s := newTestDuty()
	d.Receive(running(0, lockstep.NewEpoch(1), 1))
	d.Tick()
	s.take()
	other := running(0, lockstep.NewEpoch(1), 1)
	other.Group = "other"
	d.Receive(other)
	d.Receive(running(2, lockstep.NewEpoch(1), 1))
	assert.Equal(t, len(s.take()), 0)
	assert.DeepEqual(t, d.Status().WaitsFor, []int{0, 1})
}

// TestTakesOverMap verifies that a new coordinator asks for the layout of a map
// that it did not make and plans from it by the reported loads.
func TestTakesOverMap(t *testing.T) {
	d, _, s := newTestDuty()
	epoch := lockstep.NewEpoch(1)
	d.Tick()
	for rank := range 2 {
		d.Receive(running(rank, epoch, 1))
	}
	s.take()
	for range 4 {
		d.Tick()
	}
	for _, o := range s.take() {
		assert.Equal(t, o.Describe, lockstep.Version(9))
	}
	layouts := []groupmsg.Layout{{{0, 1}}, {{2, 0}}}
	tokens := [][]uint64{{1000, 100_000}, {1000, 1000}}
	for rank := range 2 {
		status := running(rank, epoch, 2)
		status.Described = &groupmsg.Weights{Map: 9, Layout: layouts[rank]}
		status.Loads = &groupmsg.Loads{Map: 9, Steps: 1, Tokens: [][]uint64{tokens[rank]}}
		d.Receive(status)
	}
	d.Tick()
	var staged []groupmsg.Order
	for _, o := range s.take() {
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
	// The layout of an earlier map does not replace what is known now.
	stray := running(0, epoch, 3)
	stray.Described = &groupmsg.Weights{Map: 8, Layout: groupmsg.Layout{{2, 2}}}
	d.Receive(stray)
	held, ok := d.atlas.held()
	assert.Assert(t, ok)
	assert.DeepEqual(t, held[0].Slots, [][]expertmap.Expert{{0, 1}, {2, 0}})
}

func TestRefusesMisfitLayouts(t *testing.T) {
	a := newAtlas(testConfig().withDefaults())
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
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, a.fits(tt.layout), tt.want) })
	}
}

// TestNewGroup verifies that a group which holds nothing gets its first map from the store.
func TestNewGroup(t *testing.T) {
	d, _, s := newTestDuty()
	d.Tick()
	for rank := range 2 {
		status := running(rank, lockstep.NewEpoch(1), 1)
		status.Report.Committed, status.Report.Staged = lockstep.Decision{}, nil
		d.Receive(status)
	}
	s.take()
	d.Tick()
	var moves int
	for _, o := range s.take() {
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

// TestVersionsNeverRepeat verifies that a lease without versions left is given up.
func TestVersionsNeverRepeat(t *testing.T) {
	d, l, _ := newTestDuty()
	d.Tick()
	d.made = math.MaxUint16
	d.set(proposal{})
	assert.DeepEqual(t, l.fenced, []uint64{1})
	assert.Equal(t, d.made, uint16(math.MaxUint16))
}

// TestNoChangeWithoutRenewal verifies that a lease which was not renewed in time
// begins no change, and that the change goes on after the renewal.
func TestNoChangeWithoutRenewal(t *testing.T) {
	d, l, s := newTestDuty()
	d.Tick()
	epoch := lockstep.NewEpoch(1)
	layouts := []groupmsg.Layout{{{0, 1}}, {{2, 0}}}
	for seq := range uint64(2) {
		for rank := range 2 {
			status := running(rank, epoch, seq+1)
			status.Described = &groupmsg.Weights{Map: 9, Layout: layouts[rank]}
			status.Loads = &groupmsg.Loads{Map: 9, Steps: 1, Tokens: [][]uint64{{1000, 100_000}}}
			d.Receive(status)
		}
	}
	l.late = true
	s.take()
	for range 3 {
		d.Tick()
	}
	for _, o := range s.take() {
		assert.Equal(t, o.Command.Kind, lockstep.Join)
	}
	l.late = false
	d.Tick()
	assert.Equal(t, d.Status().Phase, lockstep.PhaseStaging)
}
