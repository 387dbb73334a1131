package scheduler

import (
	"math"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// ColdLimit bounds the starts at endpoints that are cold: those that have just started and fail
// under a rate that they tolerate later.
type ColdLimit interface {
	// Next returns when the next request may start at an endpoint: at most now if one may. Limited is
	// false for an endpoint that is not cold.
	Next(endpoint id.Endpoint, now time.Duration) (at time.Duration, limited bool)
	// Take reports whether a request may start at an endpoint now, and counts it.
	Take(endpoint id.Endpoint, now time.Duration) bool
	// Interval returns the time between starts at a cold endpoint, false if there are none.
	Interval(endpoint id.Endpoint, now time.Duration) (time.Duration, bool)
	// Until returns the end of the cold time of an endpoint.
	Until(endpoint id.Endpoint) time.Duration
	// Cold returns the number of endpoints that may be cold.
	Cold() int
}

// coldLoad is the load that is added to that of a cold endpoint when endpoints are compared, as a
// fraction of its slots. With half of them, the endpoints of a zone that came back stayed empty until
// they were warm while the others were 70 % full.
const coldLoad = 0.25

// SetColdLimit sets the limit of cold endpoints. Without one no endpoint is cold.
func (s *Scheduler) SetColdLimit(l ColdLimit) { s.cold = l }

// anyCold reports whether an endpoint may be cold.
func (s *Scheduler) anyCold() bool { return s.cold != nil && s.cold.Cold() > 0 }

// coldNext returns when the next request may start at an endpoint as far as it is cold.
func (s *Scheduler) coldNext(e *endpoint, now time.Duration) (at time.Duration, limited bool) {
	if !s.anyCold() {
		return now, false
	}
	return s.cold.Next(e.Name, now)
}

// coldBlocks reports whether an endpoint is cold and takes no request now.
func (s *Scheduler) coldBlocks(e *endpoint, now time.Duration) bool {
	at, limited := s.coldNext(e, now)
	return limited && at > now
}

// coldCost returns the additional cost of an endpoint while it is cold, as a number of requests.
func (s *Scheduler) coldCost(e *endpoint, now time.Duration) float64 {
	if _, limited := s.coldNext(e, now); !limited {
		return 0
	}
	return coldLoad * float64(e.Slots)
}

// takeCold counts a start at an endpoint. It follows leastCost at the same time.
func (s *Scheduler) takeCold(e *endpoint, now time.Duration) {
	if s.anyCold() {
		s.cold.Take(e.Name, now)
	}
}

// coldStarts bounds a number of starts at an endpoint by those that it takes now.
func (s *Scheduler) coldStarts(e *endpoint, n int, now time.Duration) int {
	at, limited := s.coldNext(e, now)
	switch {
	case !limited:
		return n
	case at > now:
		return 0
	default:
		return min(n, 1)
	}
}

// usableSlots returns the slots of an endpoint that may be used now. The empty slots of a cold
// endpoint do not raise the number of requests that others may have beyond theirs.
func (s *Scheduler) usableSlots(e *endpoint, now time.Duration) int {
	running := e.ownLoad.Running + e.peerLoad.Running
	if running >= e.Slots {
		return e.Slots
	}
	return running + s.coldStarts(e, e.Slots-running, now)
}

// coldWait returns the time until as many requests as given can start, if all endpoints that accept
// requests are cold. It returns false if another one accepts requests.
func (s *Scheduler) coldWait(requests int, now time.Duration) (time.Duration, bool) {
	if !s.anyCold() {
		return 0, false
	}
	rate, ready := 0.0, 0
	first, warm := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, e := range s.endpoints {
		if !e.accepts(now) {
			continue
		}
		at, limited := s.cold.Next(e.Name, now)
		if !limited {
			return 0, false
		}
		first, warm = min(first, at), min(warm, s.cold.Until(e.Name))
		if at <= now {
			ready++
		}
		if interval, ok := s.cold.Interval(e.Name, now); ok && interval > 0 {
			rate += 1 / interval.Seconds()
		}
	}
	switch {
	case first == math.MaxInt64:
		return 0, false // None accepts requests, for another reason.
	case requests <= ready:
		return 0, true
	case rate == 0:
		return warm - now, true
	}
	wait := time.Duration(float64(requests-ready) / rate * float64(time.Second))
	if ready == 0 {
		wait = first - now + time.Duration(float64(requests-1)/rate*float64(time.Second))
	}
	return min(wait, warm-now), true
}

// coldOnly reports whether all endpoints that accept requests are cold. The prediction of a wait is
// then firm, and a refused request is told all of it.
func (s *Scheduler) coldOnly(now time.Duration) bool {
	_, ok := s.coldWait(1, now)
	return ok
}

// DefersCold reports whether a cold endpoint with free capacity is left out now because it takes no
// request yet.
func (s *Scheduler) DefersCold(now time.Duration) bool {
	if !s.anyCold() {
		return false
	}
	for _, e := range s.endpoints {
		if e.accepts(now) && e.ownLoad.Running+e.peerLoad.Running < e.Slots && s.coldBlocks(e, now) {
			return true
		}
	}
	return false
}
