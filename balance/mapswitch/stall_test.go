package mapswitch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalled is a world in which the host of a rank stalls after its relay has passed a
// hold on: orders through it, and reports of its rank, are lost from then on.
type stalled struct {
	*world
	// host is the rank beside the host, and at the time from which on it stalls.
	host int
	at   time.Duration
	// after is the time between the hold and the stall. A negative one means that
	// the result of the hold does not get out.
	after time.Duration
}

func newStalled(ranks int, after time.Duration) *stalled {
	w := newWorld(0, ranks)
	w.faults = false
	return &stalled{world: w, host: -1, after: after}
}

func (s *stalled) gone(rank int) bool { return rank == s.host && s.now >= s.at }

// exchange delivers orders and results at once, except through the stalled host.
func (s *stalled) exchange(orders []Order) {
	m := s.coords[0]
	for _, o := range orders {
		if s.gone(o.Via) {
			continue
		}
		out := s.engine.apply(o)
		if o.Op == Hold && s.host < 0 {
			s.host, s.at = o.Via, s.now+max(s.after, 0)
			if s.after < 0 {
				continue
			}
		}
		m.Result(o.ID, out, s.now)
	}
}

func (s *stalled) reports() {
	for i := range s.engine.ranks {
		if !s.gone(i) {
			s.coords[0].Report(s.engine.report(i), s.now)
		}
		s.coords[0].SetContent(s.engine.epoch, s.engine.ranks[i].version, mapWith(s.engine.ranks[i].content))
	}
}

// TestHostStallsAsItPassesAHoldOn: the group must not stand until a host wakes that
// stalls while it works on an order.
func TestHostStallsAsItPassesAHoldOn(t *testing.T) {
	for _, after := range []time.Duration{-1, 0, 5 * time.Millisecond, 10 * time.Millisecond} {
		s := newStalled(4, after)
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
