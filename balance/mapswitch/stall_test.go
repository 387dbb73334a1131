package mapswitch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalled is a world in which the host of a rank stalls as soon as its relay has
// passed a hold on: orders through it, and reports of its rank, are lost from then on.
type stalled struct {
	*world
	host int
	// answered tells whether the result of the hold still gets out.
	answered bool
}

func newStalled(ranks int, answered bool) *stalled {
	w := newWorld(0, ranks)
	w.faults = false
	return &stalled{world: w, host: -1, answered: answered}
}

// exchange delivers orders and results at once, except through the stalled host.
func (s *stalled) exchange(orders []Order) {
	m := s.coords[0]
	for _, o := range orders {
		if o.Via == s.host {
			continue
		}
		out := s.engine.apply(o)
		if o.Op == Hold && s.host < 0 {
			s.host = o.Via
			if !s.answered {
				continue
			}
		}
		m.Result(o.ID, out, s.now)
	}
}

func (s *stalled) reports() {
	for i := range s.engine.ranks {
		if i != s.host {
			s.coords[0].Report(s.engine.report(i), s.now)
		}
		s.coords[0].Learn(s.engine.epoch, s.engine.ranks[i].version, mapWith(s.engine.ranks[i].content))
	}
}

// TestHostStallsAsItPassesAHoldOn: the group must not stand until a host wakes that
// stalls while it works on an order.
func TestHostStallsAsItPassesAHoldOn(t *testing.T) {
	for _, answered := range []bool{true, false} {
		s := newStalled(4, answered)
		m := s.coords[0]
		var heldSince time.Duration
		for range 400 {
			s.now += 5 * time.Millisecond
			s.reports()
			if s.host < 0 && m.Phase() == Idle {
				m.Start(mapWith(7), s.now)
			}
			s.exchange(m.Tick(s.now))
			if s.now%(60*time.Millisecond) != 0 {
				continue
			}
			began, err := s.engine.begin()
			assert.NilError(t, err)
			if began {
				heldSince = 0
			} else if heldSince == 0 {
				heldSince = s.now
			}
			assert.Assert(t, heldSince == 0 || s.now-heldSince < 300*time.Millisecond, "the group stands for %v, the machine is %v", s.now-heldSince, m.Phase())
		}
		assert.Assert(t, s.host >= 0, "no step was held")
		for i, r := range s.engine.ranks {
			assert.Equal(t, r.armed, uint64(0), "rank %d", i)
		}
	}
}
