package direct

import (
	"slices"

	"github.com/siskinford/siskinford/core/id"
)

// maxSharedEntries is the number of entries up to which all of them share all endpoints. They
// know each other's loads within a few hundred milliseconds, a fraction of a request's duration.
const maxSharedEntries = 8

// SetEntries sets the hosts of all entries, sorted, and the own one. In a large fleet each entry
// prefers its share of the endpoints of a service. It must be called regularly, also without a
// change: hosts that are missing keep their shares of cold endpoints for a while.
func (h *Handler) SetEntries(hosts []id.Host, self id.Host) {
	h.mu.Lock()
	h.entries, h.self = hosts, self
	h.mu.Unlock()
	for _, s := range h.Services() {
		s.setEntries(hosts, self)
	}
}

func (s *Service) setEntries(hosts []id.Host, self id.Host) {
	place, count := slices.Index(hosts, self), len(hosts)
	if count <= maxSharedEntries {
		place, count = 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.setFleet(hosts, self)
	if place == s.place && count == s.placeCount {
		return
	}
	s.place, s.placeCount = place, count
	s.applyShare()
	s.dispatch()
}

// applyShare sets the preferred endpoints. The caller holds mu.
func (s *Service) applyShare() {
	names, _ := s.endpointNamesLocked()
	preferred := make(map[id.Endpoint]bool)
	for i, name := range names {
		if inShare(i, len(names), s.place, s.placeCount) {
			preferred[name] = true
		}
	}
	s.scheduler.SetPreferred(func(name id.Endpoint) bool { return preferred[name] })
}

// inShare reports whether an endpoint belongs to the share of an entry, by their positions among
// all of their kind. With fewer endpoints than entries, several entries have the same one.
func inShare(endpoint, endpoints, entry, entries int) bool {
	switch {
	case entries == 0:
		return false
	case endpoints >= entries:
		return endpoint*entries/endpoints == entry
	default:
		return entry*endpoints/entries == endpoint
	}
}
