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

// selectUsed returns all endpoints of the own zone and, of each service in each
// other zone, those that rendezvous hashing selects for this host. The
// connections of a node then do not grow with the size of other zones.
func (m *Manager) selectUsed(endpoints []config.Endpoint) []config.Endpoint {
	var out []config.Endpoint
	remote := make(map[placeKey][]config.Endpoint)
	for _, e := range endpoints {
		if e.Zone == m.config.Zone {
			out = append(out, e)
			continue
		}
		key := placeKey{service: e.Service, zone: e.Zone}
		remote[key] = append(remote[key], e)
	}
	for _, group := range remote {
		slices.SortFunc(group, m.byScore)
		out = append(out, group[:min(len(group), m.config.RemoteEndpoints)]...)
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
