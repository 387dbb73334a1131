package scheduler

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

const (
	// unreachableFailures is the number of connections that fail until a zone counts as unreachable, to as many of its
	// endpoints as it has. One endpoint may have ended, and one connection may fail by chance.
	unreachableFailures = 3
	// unreachableWindow is the time within which these failures count together.
	unreachableWindow = time.Second
	// zoneTrialInterval is the time between trial requests to an unreachable zone, whose recovery is seen first
	// by the polls of its ranks where it has any.
	zoneTrialInterval = 300 * time.Millisecond
)

// zoneReach is what an entry knows of its connections to the endpoints of a zone.
type zoneReach struct {
	// failed holds the endpoints to which connections failed, and when last.
	failed map[id.Endpoint]time.Duration
	// failures counts the failed connections, each within unreachableWindow after the one before.
	failures int
	// unreachable is true from the last of enough failures to the first sign of life.
	unreachable bool
	lastFailure time.Duration
	lastTrial   time.Duration
}

// RecordUnreachable records that a connection to an endpoint could not be opened. It reports whether its zone
// counts as unreachable from now on.
func (s *Scheduler) RecordUnreachable(name id.Endpoint, now time.Duration) bool {
	e := s.byName[name]
	if e == nil {
		return false
	}
	z := s.zones[e.Zone]
	if z == nil {
		z = &zoneReach{failed: make(map[id.Endpoint]time.Duration)}
		s.zones[e.Zone] = z
	}
	if now-z.lastFailure > unreachableWindow {
		z.failures = 0
	}
	z.failures++
	z.lastFailure = now
	z.failed[name] = now
	if z.unreachable {
		return false
	}
	recent := 0
	for _, at := range z.failed {
		if now-at <= unreachableWindow {
			recent++
		}
	}
	if z.failures < unreachableFailures || recent < min(unreachableFailures, s.endpointsIn(e.Zone)) {
		return false
	}
	z.unreachable, z.lastTrial = true, now
	return true
}

// RecordReachable records a sign of life from a zone at a time, and reports whether the zone counted as unreachable until then.
func (s *Scheduler) RecordReachable(zone id.Zone, at time.Duration) bool {
	z := s.zones[zone]
	if z == nil || at <= z.lastFailure {
		return false
	}
	delete(s.zones, zone)
	return z.unreachable
}

// UnreachableZones returns the number of zones that count as unreachable.
func (s *Scheduler) UnreachableZones() int {
	n := 0
	for _, z := range s.zones {
		if z.unreachable {
			n++
		}
	}
	return n
}

// endpointsIn returns the number of usable endpoints in a zone.
func (s *Scheduler) endpointsIn(zone id.Zone) int {
	n := 0
	for _, e := range s.endpoints {
		if e.Usable && e.Zone == zone {
			n++
		}
	}
	return n
}

// inUnreachableZone reports whether an endpoint's zone counts as unreachable.
func (s *Scheduler) inUnreachableZone(e *endpoint) bool {
	z := s.zones[e.Zone]
	return z != nil && z.unreachable
}

// zoneBlocks reports whether requests are kept from an endpoint because its zone is unreachable.
func (s *Scheduler) zoneBlocks(e *endpoint, now time.Duration) bool {
	z := s.zones[e.Zone]
	return z != nil && z.unreachable && now-z.lastTrial < zoneTrialInterval
}

// recordZoneTrial records that a request starts at an endpoint, which is a trial if its zone is unreachable.
func (s *Scheduler) recordZoneTrial(e *endpoint, now time.Duration) {
	if z := s.zones[e.Zone]; z != nil {
		z.lastTrial = now
	}
}

// allUnreachable reports whether all usable endpoints that are not blocked are in unreachable zones, and there are any.
func (s *Scheduler) allUnreachable() bool {
	found := false
	for _, e := range s.endpoints {
		if !e.Usable || e.blocked {
			continue
		}
		if !s.inUnreachableZone(e) {
			return false
		}
		found = true
	}
	return found
}

// outageCause is why no endpoint of a service can be used.
type outageCause uint8

const (
	groupsDown outageCause = iota
	zonesUnreachable
	outageCauses = iota
)

// updateOutage begins or ends the outage of a service whose groups are down or whose endpoints cannot be reached.
func (s *Scheduler) updateOutage(now time.Duration) {
	unreachable := s.allUnreachable()
	switch {
	case s.down:
	case unreachable:
		s.cause = zonesUnreachable
	case s.groupsDown:
		s.cause = groupsDown
	}
	s.setDown(s.groupsDown || unreachable, now)
}

// zoneTrialDue reports whether a request may start as the trial of an unreachable zone, while nothing else can be reached.
// Without ranks that are polled, a trial is the only sign of life.
func (s *Scheduler) zoneTrialDue(r *Request, now time.Duration) bool {
	return s.Unreachable() && !s.groupsDown && s.leastCost(r, now) != nil
}

// Unreachable reports whether the entry can reach no endpoint that could serve.
func (s *Scheduler) Unreachable() bool { return s.down && s.cause == zonesUnreachable }

// SetElsewhere sets after which time a new connection of a client reaches another entry, which may still reach
// endpoints. A negative time means that this entry serves. While it is set, requests are refused with this time in an outage.
func (s *Scheduler) SetElsewhere(after time.Duration) { s.elsewhereAfter = after }

// elsewhere returns the refusal of a request that is better served by another entry.
func (s *Scheduler) elsewhere(r *Request) (Decision, bool) {
	if !s.down || s.elsewhereAfter < 0 || r.Resumed {
		return Decision{}, false
	}
	return Decision{Reason: Elsewhere, RetryAfter: s.elsewhereAfter}, true
}
