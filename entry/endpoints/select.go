package endpoints

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
)

type serviceZone struct {
	service id.Service
	zone    id.Zone
}

// candidate is an endpoint with its position in the order of preference.
type candidate struct {
	config.Endpoint
	position int
}

// selectEndpoints returns the endpoints that this host uses. Rendezvous hashing
// orders the endpoints of each service in each zone; the first of each are taken
// up to MaxEndpoints, those of the local zone before others. The number of
// connections thus depends neither on the size nor on the number of zones.
func (m *Manager) selectEndpoints(endpoints []config.Endpoint) []config.Endpoint {
	groups := make(map[serviceZone][]config.Endpoint)
	for _, e := range endpoints {
		key := serviceZone{service: e.Service, zone: e.Zone}
		groups[key] = append(groups[key], e)
	}
	var all []candidate
	for key, group := range groups {
		slices.SortFunc(group, m.compareScores)
		all = append(all, m.candidates(key, group)...)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.position != b.position {
			return a.position - b.position
		}
		return m.compareScores(a.Endpoint, b.Endpoint)
	})
	out := make([]config.Endpoint, 0, min(len(all), m.config.MaxEndpoints))
	for _, e := range all[:min(len(all), m.config.MaxEndpoints)] {
		out = append(out, e.Endpoint)
	}
	return out
}

// candidates numbers the endpoints of a group. Those of another zone come one
// position later, and at most RemoteEndpoints of them.
func (m *Manager) candidates(key serviceZone, group []config.Endpoint) []candidate {
	offset := 0
	if key.zone != m.config.Zone {
		offset = 1
		group = group[:min(len(group), m.config.RemoteEndpoints)]
	}
	out := make([]candidate, len(group))
	for i, e := range group {
		out[i] = candidate{Endpoint: e, position: i + offset}
	}
	return out
}

func (m *Manager) compareScores(a, b config.Endpoint) int {
	x, y := m.score(a), m.score(b)
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	}
	return strings.Compare(string(a.Name), string(b.Name))
}

func (m *Manager) score(e config.Endpoint) uint64 {
	return xxhash.Sum64String(string(m.config.Host) + "\x00" + string(e.Name))
}
