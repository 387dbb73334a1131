package scheduler

import (
	"math"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// PaceConfig describes the engines of a service whose ranks run in lock-step, so that the pace of a group can be
// predicted from its load and corrected by observed gaps between events.
type PaceConfig struct {
	// Overhead is the time between two events of a stream without load, PerRequest what each running
	// request of a rank adds to it. Required.
	Overhead, PerRequest time.Duration
	// MaxGap is the longest gap between events with which a stream is on time. Required.
	MaxGap time.Duration
	// InitialSlowness is how much slower than predicted a group is right after it has formed, as its experts
	// are not yet placed by demand. Default: 2.
	InitialSlowness float64
}

const (
	// gapMargin is the part of MaxGap that predictions use up. Gaps vary with the prompts that are read.
	gapMargin = 0.9
	// slownessDivisor is the inverse weight of an observed gap.
	slownessDivisor = 32
	// maxSlowness bounds the ratio of a gap, and maxSlownessStep what one gap adds to the mean before it is weighted: longer
	// ones are stalls, or clients that read slowly.
	maxSlowness     = 4
	maxSlownessStep = 1
	// slownessFreshFor is the time after the last observed gap for which a slowness keeps its value. After it, it
	// returns to one with slownessHalfLife: a group that gets no requests is never seen to be faster.
	slownessFreshFor = time.Second
	slownessHalfLife = time.Second
	// longestGapDeviations is how many mean deviations the longest of some twenty gaps lies above the mean.
	longestGapDeviations = 3
	// minPacedFraction is the part of its slots that an endpoint keeps, however slow its group is.
	minPacedFraction = 0.6
)

// groupPace is the pace of a group relative to the prediction: moving averages of the ratio and of its absolute
// deviation.
type groupPace struct {
	mean, deviation float64
	observedAt      time.Duration
}

// at returns the pace at a time.
func (p *groupPace) at(now time.Duration) groupPace {
	age := now - p.observedAt - slownessFreshFor
	if age <= 0 {
		return *p
	}
	weight := math.Exp2(-float64(age) / float64(slownessHalfLife))
	return groupPace{mean: 1 + (p.mean-1)*weight, deviation: p.deviation * weight}
}

// longest is the ratio that the longest gap of a stream of usual length seldom exceeds.
func (p groupPace) longest() float64 { return max(p.mean+longestGapDeviations*p.deviation, 1) }

func (p *groupPace) add(ratio float64, now time.Duration) {
	next := p.at(now)
	diff := min(ratio-next.mean, maxSlownessStep)
	next.mean += diff / slownessDivisor
	next.deviation += (math.Abs(diff) - next.deviation) / slownessDivisor
	next.observedAt = now
	*p = next
}

// SetPace sets how the pace of groups is predicted. Nil ends the limits by pace.
func (s *Scheduler) SetPace(c *PaceConfig) {
	if c != nil && c.InitialSlowness == 0 {
		with := *c
		with.InitialSlowness = 2
		c = &with
	}
	s.pace = c
}

// RecordGap records the time between two events of a stream from an endpoint.
func (s *Scheduler) RecordGap(name id.Endpoint, gap, now time.Duration) {
	e := s.byName[name]
	if s.pace == nil || e == nil || e.group == "" {
		return
	}
	ratio := min(float64(gap)/float64(s.predictedGap(s.meanRunning(e.group))), maxSlowness)
	s.groupPace(e.group).add(ratio, now)
}

// RecordFormation records that a group serves again after it was down.
func (s *Scheduler) RecordFormation(group id.Group, now time.Duration) {
	if s.pace == nil || group == "" {
		return
	}
	*s.groupPace(group) = groupPace{mean: s.pace.InitialSlowness, observedAt: now}
}

func (s *Scheduler) groupPace(group id.Group) *groupPace {
	p := s.paces[group]
	if p == nil {
		p = &groupPace{mean: 1}
		s.paces[group] = p
	}
	return p
}

// predictedGap returns the time between two events at a number of running requests a rank.
func (s *Scheduler) predictedGap(running float64) time.Duration {
	return s.pace.Overhead + time.Duration(running*float64(s.pace.PerRequest))
}

// meanRunning returns the mean number of requests at the ranks of a group, which wait for each other.
func (s *Scheduler) meanRunning(group id.Group) float64 {
	sum, n := 0, 0
	for _, e := range s.endpoints {
		if e.group == group {
			sum += e.ownLoad.Running + e.peerLoad.Running
			n++
		}
	}
	return float64(sum) / float64(max(n, 1))
}

// updatePace sets the places and the cost of the endpoints by the pace of their groups.
func (s *Scheduler) updatePace(now time.Duration) {
	if s.pace == nil {
		return
	}
	for _, e := range s.endpoints {
		pace := groupPace{mean: 1}
		if p := s.paces[e.group]; p != nil {
			pace = p.at(now)
		}
		e.slowness = max(pace.mean, 1)
		e.pacedSlots = s.pacedSlots(e, pace.longest())
	}
}

// pacedSlots returns the number of requests with which the streams of an endpoint are still on time.
func (s *Scheduler) pacedSlots(e *endpoint, slowness float64) int {
	room := gapMargin*float64(s.pace.MaxGap)/slowness - float64(s.pace.Overhead)
	limit := int(room / float64(max(s.pace.PerRequest, 1)))
	return min(max(limit, int(math.Ceil(minPacedFraction*float64(e.Slots)))), e.Slots)
}

// places returns the number of requests that an endpoint may have: its slots, or fewer while its group is so slow
// that streams would be late with more.
func (s *Scheduler) places(e *endpoint) int {
	if s.pace == nil || e.group == "" || e.pacedSlots == 0 {
		return e.Slots
	}
	return e.pacedSlots
}
