package scheduler

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// backoff is the time for which an endpoint asked to get no requests. After it, one request at
// a time is sent as a trial, until the endpoint answers one.
type backoff struct {
	until time.Duration
	// active is true from BackOff to the first answer to a trial.
	active bool
	// trialRunning is true while a trial request has not been answered.
	trialRunning bool
}

// blocks reports whether the back-off keeps requests from the endpoint.
func (b *backoff) blocks(now time.Duration) bool {
	return b.active && (now < b.until || b.trialRunning)
}

// recordStart records that a request starts at the endpoint.
func (b *backoff) recordStart() { b.trialRunning = b.active }

// recordEnd records the end of a request that started at a time. Requests from before the end
// of the back-off say nothing about it.
func (b *backoff) recordEnd(started time.Duration, answered bool) {
	if !b.active || started < b.until {
		return
	}
	b.trialRunning = false
	b.active = !answered
}

// BackOff keeps all requests from an endpoint until a time. A shorter back-off than the one
// in force has no effect.
func (s *Scheduler) BackOff(name id.Endpoint, until time.Duration) {
	if e := s.byName[name]; e != nil {
		e.backoff = backoff{until: max(until, e.backoff.until), active: true}
	}
}

// earliestStart returns when an endpoint next accepts requests by its back-off and by the limit of
// cold endpoints: now if one does, zero if the request may go to none.
func (s *Scheduler) earliestStart(r *Request, now time.Duration) (earliest time.Duration) {
	for _, e := range s.endpoints {
		if !e.Usable || e.blocked || slices.Contains(r.Exclude, e.Name) {
			continue
		}
		at, _ := s.coldNext(e, now)
		if e.backoff.active {
			at = max(at, e.backoff.until)
		}
		if at <= now {
			return now
		}
		if earliest == 0 || at < earliest {
			earliest = at
		}
	}
	return earliest
}

// accepts reports whether requests may start at an endpoint as far as its group and its
// back-off are concerned.
func (e *endpoint) accepts(now time.Duration) bool {
	return e.Usable && !e.blocked && !e.backoff.blocks(now)
}
