package endpoints

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
)

// placeKey groups the endpoints of a service in a zone.
type placeKey struct {
	service id.Service
	zone    id.Zone
}

// ranked is an endpoint with its place among those of its service.
type ranked struct {
	config.Endpoint
	rank int
}

// selectUsed returns the endpoints that this host uses. Rendezvous hashing ranks
// the endpoints of each service in each zone; the first ones are taken until the
// bound is reached, those of the own zone before those of others. The
// connections of a node then grow neither with its zone nor with the others.
func (m *Manager) selectUsed(endpoints []config.Endpoint) []config.Endpoint {
	groups := make(map[placeKey][]config.Endpoint)
	for _, e := range endpoints {
		key := placeKey{service: e.Service, zone: e.Zone}
		groups[key] = append(groups[key], e)
	}
	var all []ranked
	for key, group := range groups {
		slices.SortFunc(group, m.byScore)
		all = append(all, m.rank(key, group)...)
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return m.byScore(a.Endpoint, b.Endpoint)
	})
	out := make([]config.Endpoint, 0, min(len(all), m.config.MaxEndpoints))
	for _, e := range all[:min(len(all), m.config.MaxEndpoints)] {
		out = append(out, e.Endpoint)
	}
	return out
}

// rank numbers the endpoints of a group. Those of another zone come one place
// later and only up to their bound.
func (m *Manager) rank(key placeKey, group []config.Endpoint) []ranked {
	offset := 0
	if key.zone != m.config.Zone {
		offset = 1
		group = group[:min(len(group), m.config.RemoteEndpoints)]
	}
	out := make([]ranked, len(group))
	for i, e := range group {
		out[i] = ranked{Endpoint: e, rank: i + offset}
	}
	return out
}

func (m *Manager) byScore(a, b config.Endpoint) int {
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
