package direct

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/evacuation"
)

// evacuatedZones is the set of zones whose endpoints receive no requests. A nil set is not known
// yet and contains all zones. It is not modified.
type evacuatedZones map[id.Zone]bool

func (z evacuatedZones) isOut(zone id.Zone) bool { return z == nil || z[zone] }

// errZoneEvacuated reports that a request was not written because its endpoint's zone is out of service.
var errZoneEvacuated = errors.New("the endpoint's zone is evacuated")

const (
	// reasonEvacuated is the reason of refusals because the operator took out all zones of a service.
	reasonEvacuated scheduler.Reason = "all zones with an endpoint for it are evacuated"
	// reasonEvacuationsUnknown is that of refusals because the entry does not know the zones yet.
	reasonEvacuationsUnknown scheduler.Reason = "the evacuated zones are not known yet"
)

// SetEvacuated replaces the zones that are out of service. From then on no request is written to an
// endpoint of theirs. Requests that were written before go on.
func (h *Handler) SetEvacuated(zones []evacuation.Zone) {
	next := make(evacuatedZones, len(zones))
	for _, z := range zones {
		next[z.Name] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuated = next
	for _, s := range h.services {
		s.setEvacuated(next)
	}
}

// ZoneEndpoints returns the number of registered endpoints in each zone.
func (h *Handler) ZoneEndpoints() map[id.Zone]int { return h.directory.zones() }

func (d *Directory) zones() map[id.Zone]int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make(map[id.Zone]int)
	for _, b := range d.backends {
		out[b.Endpoint().Zone]++
	}
	return out
}

func (s *Service) setEvacuated(next evacuatedZones) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.evacuated
	s.evacuated = next
	restored := func(zone id.Zone) bool { return before[zone] && !next[zone] }
	for name, b := range s.backends {
		if e := b.Endpoint(); !restored(e.Zone) {
			s.scheduler.SetUsable(name, s.isUsable(e))
		}
	}
	for zone := range before {
		if restored(zone) {
			s.zoneRestored(zone)
		}
	}
	s.dispatch()
}

// zoneRestored takes the endpoints of a zone into use that was known to be out of service and no
// longer is. No request is started before it returns. The caller holds mu.
func (s *Service) zoneRestored(zone id.Zone) {
	s.markZoneColdLocked(zone)
	for name, b := range s.backends {
		if e := b.Endpoint(); e.Zone == zone {
			s.scheduler.SetUsable(name, s.isUsable(e))
		}
	}
}

// mayWrite returns an error if the zone of the slot's endpoint has been evacuated since the slot
// was granted.
func (x *Slot) mayWrite() error {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.evacuated.isOut(x.Backend.Endpoint().Zone) {
		return nil
	}
	s.set.GetOrCreateCounter(fmt.Sprintf("siskinford_evacuated_attempts_total{service=%q}", string(s.name))).Inc()
	return errZoneEvacuated
}

// explainEvacuation returns the refusal with its reason, if only evacuations keep the service from
// having a usable endpoint. The caller holds mu.
func (s *Service) explainEvacuation(d scheduler.Decision) scheduler.Decision {
	if d.Reason != scheduler.NoEndpoint {
		return d
	}
	withheld := false
	for _, b := range s.backends {
		e := b.Endpoint()
		if s.isUsable(e) {
			return d
		}
		withheld = withheld || s.evacuated.isOut(e.Zone)
	}
	switch {
	case !withheld:
	case s.evacuated == nil:
		d.Reason = reasonEvacuationsUnknown
	default:
		d.Reason = reasonEvacuated
	}
	return d
}
