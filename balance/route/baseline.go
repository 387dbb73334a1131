package route

import "time"

// roundRobin rotates through the ready endpoints of the zone. It ignores load and weight.
type roundRobin struct{ table *Table }

func (p *roundRobin) Pick(r Request) (Choice, error) {
	return p.table.pickFrom(r, func(z *zoneSet, usable func(*member) bool) *member {
		n := uint64(len(z.ready))
		first := z.load.picks.Add(1)
		for i := range n {
			if m := z.ready[(first+i)%n]; usable(m) {
				return m
			}
		}
		return nil
	})
}

// leastConnections picks the ready endpoint of the zone with the fewest own
// requests in flight relative to its weight, rotating among equals.
type leastConnections struct{ table *Table }

func (p *leastConnections) Pick(r Request) (Choice, error) {
	return p.table.pickFrom(r, func(z *zoneSet, usable func(*member) bool) *member {
		var best *member
		var least float64
		n := uint64(len(z.ready))
		first := z.load.picks.Add(1)
		for i := range n {
			m := z.ready[(first+i)%n]
			open := float64(m.state.openCount.Load()) / m.Weight
			if usable(m) && (best == nil || open < least) {
				best, least = m, open
			}
		}
		return best
	})
}

// pickFrom applies a baseline policy to the request's zone, then to the others by name.
func (t *Table) pickFrom(r Request, pick func(*zoneSet, func(*member) bool) *member) (Choice, error) {
	now := t.clock(r.Now)
	for range maxRebuilds {
		s := t.view.Load().services[r.Service]
		if s == nil {
			break
		}
		expired := false
		usable := func(m *member) bool {
			if t.reason(m, now) != ReasonReady {
				expired = true
				return false
			}
			return !excluded(r.Exclude, m.Name)
		}
		m := s.pickZone(r, usable, pick)
		if m != nil {
			return t.singleChoice(m, r, now), nil
		}
		if !expired {
			break
		}
		t.rebuildReadySet(r.Service, now)
	}
	return Choice{}, t.noEndpoint(r, now)
}

func (s *serviceSet) pickZone(r Request, usable func(*member) bool, pick func(*zoneSet, func(*member) bool) *member) *member {
	if own := s.zone(r.Zone); own != nil {
		if m := pick(own, usable); m != nil {
			return m
		}
	}
	for _, z := range s.zones {
		if z.name == r.Zone {
			continue
		}
		if m := pick(z, usable); m != nil {
			return m
		}
	}
	return nil
}

// singleChoice returns the choice of an endpoint without comparison.
func (t *Table) singleChoice(m *member, r Request, now time.Duration) Choice {
	c := comparison{t: t, r: r, now: now}
	c.append(m, m.Weight, m.Zone != r.Zone)
	return c.choice()
}
