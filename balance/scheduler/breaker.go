package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// trialInterval is the time between trial requests to a group whose breaker is
// open. Two fit into the time in which a group usually re-forms.
const trialInterval = 300 * time.Millisecond

// breaker is the open circuit breaker of a group that refused a request because a
// rank is missing, which reports of its ranks may not show yet.
type breaker struct {
	lastRefusal, lastTrial time.Duration
}

// SetGroup sets the group of an endpoint.
func (s *Scheduler) SetGroup(name id.Endpoint, group id.Group) {
	if e := s.byName[name]; e != nil && e.group != group {
		e.group = group
		s.removeUnusedBreakers()
	}
}

// removeUnusedBreakers removes the breakers of groups without an endpoint.
func (s *Scheduler) removeUnusedBreakers() {
	maps.DeleteFunc(s.breakers, func(group id.Group, _ *breaker) bool {
		return !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.group == group })
	})
}

// TripBreaker records that an endpoint refused a request because its group is down.
// Until there is evidence that the group is up, it gets one trial request per
// trialInterval and other requests wait.
func (s *Scheduler) TripBreaker(name id.Endpoint, now time.Duration) {
	e := s.byName[name]
	if e == nil {
		return
	}
	b := s.breakers[e.group]
	if b == nil {
		b = &breaker{lastTrial: now}
		s.breakers[e.group] = b
	}
	b.lastRefusal = now
}

// OpenBreakers returns the number of groups whose breaker is open.
func (s *Scheduler) OpenBreakers() int { return len(s.breakers) }

// RecordGroupProgress records that a group began a pass or re-formed at a time.
func (s *Scheduler) RecordGroupProgress(group id.Group, at time.Duration) { s.closeBreaker(group, at) }

// closeBreaker closes the breaker of a group that was up after its last refusal.
func (s *Scheduler) closeBreaker(group id.Group, at time.Duration) {
	if b := s.breakers[group]; b != nil && at > b.lastRefusal {
		delete(s.breakers, group)
	}
}

// breakerBlocks reports whether the breaker of its group keeps requests from an endpoint.
func (s *Scheduler) breakerBlocks(e *endpoint, now time.Duration) bool {
	b := s.breakers[e.group]
	return b != nil && now-b.lastTrial < trialInterval
}

// allBreakersOpen reports whether the breakers of all usable endpoints are open.
func (s *Scheduler) allBreakersOpen() bool {
	for _, e := range s.endpoints {
		if e.Usable && !e.blocked && s.breakers[e.group] == nil {
			return false
		}
	}
	return len(s.breakers) > 0
}
