package scheduler

import (
	"math"
	"time"
)

const (
	// estimateDivisor is the inverse weight of an observation.
	estimateDivisor = 16
	// estimateFreshFor is the time after the last observation for which an estimate keeps its
	// value. After it, the difference from the initial value halves per estimateHalfLife:
	// requests that are refused because of an estimate never correct it.
	estimateFreshFor = time.Second
	estimateHalfLife = time.Second
	// estimateTrialInterval is the time between requests that start although the estimates
	// say that they start too late.
	estimateTrialInterval = 250 * time.Millisecond
	// uncertainUtilization is the fraction of the slots below which an empty queue makes an
	// estimate of long waits implausible.
	uncertainUtilization = 0.5
)

// average holds the moving averages of a duration and of its absolute deviation.
type average struct{ mean, deviation time.Duration }

// upper returns the mean plus one deviation, which most observations do not exceed.
func (a average) upper() time.Duration { return a.mean + a.deviation }

// estimate is an average that returns to its initial value without observations.
type estimate struct {
	initial, current average
	// observedAt is the time of the last observation.
	observedAt time.Duration
}

func newEstimate(d time.Duration) estimate {
	a := average{mean: d, deviation: d / 4}
	return estimate{initial: a, current: a}
}

// at returns the average at a time.
func (e *estimate) at(now time.Duration) average {
	age := now - e.observedAt - estimateFreshFor
	if age <= 0 {
		return e.current
	}
	weight := math.Exp2(-float64(age) / float64(estimateHalfLife))
	return average{
		mean:      weighted(e.initial.mean, e.current.mean, weight),
		deviation: weighted(e.initial.deviation, e.current.deviation, weight),
	}
}

// weighted returns a value between from, at weight zero, and to.
func weighted(from, to time.Duration, weight float64) time.Duration {
	return from + time.Duration(float64(to-from)*weight)
}

func (e *estimate) add(d, now time.Duration) {
	a := e.at(now)
	diff := d - a.mean
	a.mean += diff / estimateDivisor
	if diff < 0 {
		diff = -diff
	}
	a.deviation += (diff - a.deviation) / estimateDivisor
	e.current, e.observedAt = a, now
}

// trialDue reports whether a request may start although the estimates say that it starts too
// late. One that would be too late by the initial estimate gets no trial.
func (s *Scheduler) trialDue(r *Request, now time.Duration) bool {
	if s.down || now+s.firstEventLatency.initial.mean/2 > r.lastStart() || s.leastCost(r, now) == nil {
		return false
	}
	if float64(s.busy()) < uncertainUtilization*float64(s.slots(now)) {
		return true
	}
	return now-s.lastTrial >= estimateTrialInterval
}

// lastStart is the time after which the client no longer waits for a first event.
func (r *Request) lastStart() time.Duration {
	if r.FirstEventDeadline != 0 {
		return min(r.Deadline, r.FirstEventDeadline)
	}
	return r.Deadline
}
