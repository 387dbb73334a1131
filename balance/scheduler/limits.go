package scheduler

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Limits are learnt limits and speeds of endpoints. The Scheduler's owner calls it from one
// goroutine at a time.
type Limits interface {
	// Limit returns the number of requests that an endpoint takes well.
	Limit(endpoint id.Endpoint, now time.Duration) int
	// Relative returns the predicted time of a request over the usual one, if the endpoint has
	// the number of concurrent requests.
	Relative(endpoint id.Endpoint, concurrent int, now time.Duration) float64
}

// SetLimits sets the source of learnt limits. Without one the configured slots apply.
func (s *Scheduler) SetLimits(l Limits) { s.limits = l }

// Concurrent returns the number of known requests at an endpoint.
func (s *Scheduler) Concurrent(name id.Endpoint) int {
	if e := s.byName[name]; e != nil {
		return e.ownLoad.Running + e.peerLoad.Running
	}
	return 0
}

// limit returns the number of requests that an endpoint may have: its slots and the overcommit,
// or fewer if a lower limit was learnt.
func (s *Scheduler) limit(e *endpoint, now time.Duration) int {
	most := e.Slots + s.cfg.Overcommit
	if s.limits == nil {
		return most
	}
	return max(min(s.limits.Limit(e.Name, now), most), 1)
}

// pace returns the factor of an endpoint's cost: the polled slowdown of its rank or the learnt
// relative time, whichever is greater. Their product would count a slow rank twice, since
// the learnt time of its group contains it.
func (s *Scheduler) pace(e *endpoint, now time.Duration) float64 {
	if s.limits == nil {
		return e.slowdown
	}
	learnt := s.limits.Relative(e.Name, e.ownLoad.Running+e.peerLoad.Running+1, now)
	if e.slowdown > 1 {
		return max(e.slowdown, learnt)
	}
	return learnt
}
