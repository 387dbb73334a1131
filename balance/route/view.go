package route

import (
	"maps"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// view is the immutable state that Pick reads.
type view struct {
	members  map[id.Endpoint]*member
	services map[id.Service]*serviceSet
}

// member is one configured endpoint with its state.
type member struct {
	Endpoint
	state *state
	zone  *zoneLoad
	gain  *gain
}

// serviceSet holds the endpoints of a service.
type serviceSet struct {
	members []*member
	zones   []*zoneSet // in order of zone name
	gain    *gain
}

// zoneSet holds the ready endpoints of a service in one zone.
type zoneSet struct {
	name      id.Zone
	load      *zoneLoad
	ready     []*member
	maxWeight float64
	sampler   aliasTable
}

func (s *serviceSet) zone(name id.Zone) *zoneSet {
	for _, z := range s.zones {
		if z.name == name {
			return z
		}
	}
	return nil
}

// withEndpoints returns a view of the given endpoints with the state of v.
// Zones have no ready endpoints until withReadySet adds them.
func (v *view) withEndpoints(endpoints []Endpoint) *view {
	next := &view{
		members:  make(map[id.Endpoint]*member, len(endpoints)),
		services: map[id.Service]*serviceSet{},
	}
	for _, e := range endpoints {
		m := &member{Endpoint: e, state: &state{}}
		if old := v.members[e.Name]; old != nil && old.Service == e.Service {
			m.state = old.state
		}
		s := next.services[e.Service]
		if s == nil {
			s = &serviceSet{gain: newGain()}
			if old := v.services[e.Service]; old != nil {
				s.gain = old.gain
			}
			next.services[e.Service] = s
		}
		m.zone = s.addZone(v.services[e.Service], e.Zone).load
		m.gain = s.gain
		s.members = append(s.members, m)
		next.members[e.Name] = m
	}
	for name, old := range v.members {
		if m := next.members[name]; m == nil || m.state != old.state {
			old.state.remove()
		}
	}
	return next
}

// addZone returns the named zone of s, adding it if necessary with its load from old.
func (s *serviceSet) addZone(old *serviceSet, name id.Zone) *zoneSet {
	if z := s.zone(name); z != nil {
		return z
	}
	z := &zoneSet{name: name, load: &zoneLoad{}}
	if old != nil {
		if prior := old.zone(name); prior != nil {
			z.load = prior.load
		}
	}
	s.zones = append(s.zones, z)
	slices.SortFunc(s.zones, func(a, b *zoneSet) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return z
}

// withReadySet returns v with recomputed ready endpoints of one service. Table.mu is held.
func (t *Table) withReadySet(v *view, service id.Service, now time.Duration) *view {
	old := v.services[service]
	if old == nil {
		return v
	}
	s := &serviceSet{members: old.members, gain: old.gain}
	for _, z := range old.zones {
		s.zones = append(s.zones, &zoneSet{name: z.name, load: z.load})
	}
	for _, m := range s.members {
		ready := t.reason(m, now) == ReasonReady
		m.state.inReadySet.Store(ready)
		t.updateZoneSums(m, now)
		if ready {
			z := s.zone(m.Zone)
			z.ready = append(z.ready, m)
			z.maxWeight = max(z.maxWeight, m.Weight)
		}
	}
	for _, z := range s.zones {
		z.sampler = newAliasTable(z.ready)
	}
	next := &view{members: v.members, services: maps.Clone(v.services)}
	next.services[service] = s
	return next
}

// aliasTable samples an index with a probability proportional to its weight in
// constant time, by Vose's alias method. It is empty if all weights are equal.
type aliasTable struct {
	keep  []float64 // probability of the index itself
	alias []int32   // index sampled otherwise
}

func newAliasTable(members []*member) aliasTable {
	n := len(members)
	sum, equal := 0.0, true
	for _, m := range members {
		sum += m.Weight
		equal = equal && m.Weight == members[0].Weight
	}
	if equal {
		return aliasTable{}
	}
	a := aliasTable{keep: make([]float64, n), alias: make([]int32, n)}
	var small, large []int32
	for i, m := range members {
		a.keep[i] = m.Weight / sum * float64(n)
		a.alias[i] = int32(i)
		if a.keep[i] < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		a.alias[s] = l
		a.keep[l] -= 1 - a.keep[s]
		if a.keep[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range small {
		a.keep[i] = 1 // Left over due to rounding.
	}
	return a
}

// index maps 64 random bits to one of n indices.
func (a aliasTable) index(n int, bits uint64) int {
	i := int(uint64(uint32(bits)) * uint64(n) >> 32)
	if a.keep == nil {
		return i
	}
	if float64(bits>>32)/(1<<32) < a.keep[i] {
		return i
	}
	return int(a.alias[i])
}
