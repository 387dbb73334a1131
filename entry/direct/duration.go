package direct

import (
	"time"

	"github.com/siskinford/siskinford/entry/routes"
)

const (
	// durationDivisor is the inverse weight of an observation.
	durationDivisor = 16
	// durationDeviations is the number of mean deviations above the mean that few answers exceed.
	durationDeviations = 2
)

// durationStats is the moving average of how long answers take at the endpoints, and of its
// absolute deviation. It keeps its value without observations.
type durationStats struct{ mean, deviation time.Duration }

func (s *durationStats) add(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	diff := d - s.mean
	s.mean += diff / durationDivisor
	s.deviation += (diff.Abs() - s.deviation) / durationDivisor
}

// upper returns a duration that few answers exceed.
func (s *durationStats) upper() time.Duration { return s.mean + durationDeviations*s.deviation }

// expectedDuration returns the time that an answer of the service takes, from the sending of the
// request on. Without any answer so far it is the route's target.
func (s *Service) expectedDuration(r *routes.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.durations.mean == 0 {
		return r.TargetLatency
	}
	return s.durations.upper()
}
