package direct

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// departure records that an endpoint said that it is leaving. It outlasts the endpoint's
// removal from the platform's list, which may be incomplete after an outage of the platform.
type departure struct {
	// registration is the revision of the endpoint's registration. A later one belongs to
	// another start of it.
	registration uint64
	at           time.Duration
	source       DepartureSource
}

// DepartureSource is how an entry learned that an endpoint is leaving.
type DepartureSource uint8

const (
	// OwnResponse is a response or report that this entry received.
	OwnResponse DepartureSource = iota
	// CellMember is another entry of the cell.
	CellMember
	// OtherCell is the summary of another cell, which is not passed on.
	OtherCell
)

func (s DepartureSource) String() string {
	return [...]string{"response", "cell", "other cell"}[s]
}

const (
	// departureTTL is the time for which the departure of an unlisted endpoint is kept. It
	// exceeds the time for which registrations return after an outage of the platform.
	departureTTL = time.Minute
	// departureShareTime is the time for which departures are sent to other entries, several
	// exchange intervals.
	departureShareTime = 5 * time.Second
	// maxSharedDepartures bounds the departures in a message between entries.
	maxSharedDepartures = 64
)

// MarkLeaving takes an endpoint out of use that said that it is leaving. Registration is the
// revision of the registration that it speaks of, zero for the current one. What an endpoint says in its own
// last responses counts also after its removal from the list: an older list may bring it back.
func (s *Service) MarkLeaving(name id.Endpoint, registration uint64, source DepartureSource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[name]
	switch {
	case b == nil && (registration == 0 || source != OwnResponse):
		return
	case registration == 0:
		registration = b.Endpoint().RegistrationRevision
	}
	if d, ok := s.departures[name]; ok && d.registration >= registration {
		return
	}
	s.departures[name] = departure{registration: registration, at: s.now(), source: source}
	if b != nil && !s.isUsable(b.Endpoint()) {
		s.scheduler.SetUsable(name, false)
	}
	s.countSignal("leaving")
	s.log.Info().Str("event", "endpoint.leaving").Str("service", string(s.name)).Str("endpoint", string(name)).
		Uint64("registration", registration).Stringer("source", source).Int("waiting", s.scheduler.Waiting()).
		Msg("endpoint takes no new requests")
	s.dispatch()
}

// isUsable reports whether an endpoint may receive requests. The caller holds mu.
func (s *Service) isUsable(e Endpoint) bool {
	d, leaving := s.departures[e.Name]
	return !s.evacuated.isOut(e.Zone) && !e.Draining && !s.replaced[e.Name] && (!leaving || e.RegistrationRevision > d.registration)
}

// pruneSignals forgets departures and back-offs that no longer matter. The caller holds mu.
func (s *Service) pruneSignals() {
	now := s.now()
	for name, d := range s.departures {
		if b := s.backends[name]; (b == nil && now-d.at > departureTTL) || (b != nil && b.Endpoint().RegistrationRevision > d.registration) {
			delete(s.departures, name)
		}
	}
	for name, until := range s.backoffs {
		if until <= now {
			delete(s.backoffs, name)
		}
	}
}

// recentDepartures adds the registrations of endpoints that were recently learned to be
// leaving from a source up to the given one.
func (s *Service) recentDepartures(out map[id.Endpoint]uint64, source DepartureSource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for name, d := range s.departures {
		if d.source <= source && now-d.at < departureShareTime && len(out) < maxSharedDepartures {
			out[name] = d.registration
		}
	}
}

// Departures returns the endpoints that were recently learned to be leaving from a source up
// to the given one, with the revisions of their registrations.
func (h *Handler) Departures(source DepartureSource) map[id.Endpoint]uint64 {
	out := make(map[id.Endpoint]uint64)
	for _, s := range h.Services() {
		s.recentDepartures(out, source)
	}
	return out
}

// ApplyDepartures takes endpoints out of use that other entries learned to be leaving.
func (h *Handler) ApplyDepartures(list map[id.Endpoint]uint64, source DepartureSource) {
	if len(list) == 0 {
		return
	}
	for _, s := range h.Services() {
		for name, registration := range list {
			if registration != 0 { // Zero would name the current registration.
				s.MarkLeaving(name, registration, source)
			}
		}
	}
}

// maxBackOff bounds the back-off that an endpoint can ask for, so that a wrong value does not
// take it out for good.
const maxBackOff = 2 * time.Minute

// BackOff sends no requests to an endpoint for a time, at its own request.
func (s *Service) BackOff(name id.Endpoint, d time.Duration, request id.Request) {
	d = min(d, maxBackOff)
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.now() + d
	s.backoffs[name] = max(until, s.backoffs[name])
	s.scheduler.BackOff(name, until)
	s.countSignal("backoff")
	s.log.Info().Str("event", "endpoint.backoff").Str("service", string(s.name)).Str("endpoint", string(name)).
		Str("request", string(request)).Dur("for", d).Int("waiting", s.scheduler.Waiting()).Msg("endpoint asked for a pause")
}

// recordLeaving records that an endpoint says that it is leaving, in any response of its own.
func (s *Service) recordLeaving(slot *Slot, info ResponseInfo) {
	if info.Leaving && !info.WrongInstance { // Else another instance speaks.
		s.MarkLeaving(slot.Backend.Name, slot.registration, OwnResponse)
	}
}

// recordBackOff records the pause that an endpoint asks for in the response to a request.
func (s *Service) recordBackOff(slot *Slot, info ResponseInfo, request id.Request) {
	if info.RetryAfter > 0 && !info.WrongInstance {
		s.BackOff(slot.Backend.Name, info.RetryAfter, request)
	}
}
