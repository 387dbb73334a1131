package mapswitch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stallWorld is a world in which the host of a rank stalls after its relay has forwarded
// a hold: orders through it, and reports of its rank, are lost from then on.
type stallWorld struct {
	*world
	// stalledRank is -1 until the hold, and stalls from stallAt on.
	stalledRank int
	stallAt     time.Duration
	// delay is the time between the hold and the stall. If it is negative, the result of
	// the hold is lost too.
	delay time.Duration
}

func newStallWorld(ranks int, delay time.Duration) *stallWorld {
	w := newWorld(0, ranks)
	w.faults = false
	return &stallWorld{world: w, stalledRank: -1, delay: delay}
}

func (s *stallWorld) isStalled(rank int) bool { return rank == s.stalledRank && s.now >= s.stallAt }

// exchange delivers orders and results at once, except through the stalled host.
func (s *stallWorld) exchange(orders []Order) {
	m := s.coordinators[0]
	for _, o := range orders {
		if s.isStalled(o.Via) {
			continue
		}
		out := s.engine.apply(o)
		if o.Op == Hold && s.stalledRank < 0 {
			s.stalledRank, s.stallAt = o.Via, s.now+max(s.delay, 0)
			if s.delay < 0 {
				continue
			}
		}
		m.Result(o.ID, out, s.now)
	}
}

func (s *stallWorld) sendReports() {
	for i := range s.engine.ranks {
		if !s.isStalled(i) {
			s.coordinators[0].Report(s.engine.report(i), s.now)
		}
		s.coordinators[0].SetContent(s.engine.epoch, s.engine.ranks[i].version, mapWith(s.engine.ranks[i].content))
	}
}

// TestHostStallsWhileForwardingHold guards against a group that stays held until the host
// recovers, if the host of the forwarding relay stalls while it works on the hold.
func TestHostStallsWhileForwardingHold(t *testing.T) {
	for _, delay := range []time.Duration{-1, 0, 5 * time.Millisecond, 10 * time.Millisecond} {
		s := newStallWorld(4, delay)
		m := s.coordinators[0]
		var heldSince time.Duration
		for range 400 {
			s.now += 5 * time.Millisecond
			s.sendReports()
			if s.stalledRank < 0 && m.Phase() == Idle {
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
			assert.Assert(t, heldSince == 0 || s.now-heldSince < 300*time.Millisecond, "the group is held for %v, the coordinator is %v", s.now-heldSince, m.Phase())
		}
		assert.Assert(t, s.stalledRank >= 0, "no step was held")
		for i, r := range s.engine.ranks {
			assert.Equal(t, r.armed, uint64(0), "rank %d", i)
		}
	}
}
