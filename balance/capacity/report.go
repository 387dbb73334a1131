package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Report is what an entry learnt of an endpoint from its own requests, in one byte: the speed
// in the upper half, on a logarithmic scale, and the limit in the lower. Zero is no report.
type Report byte

const (
	// noLimit is the limit in a report of an endpoint that has none below the configured one.
	noLimit = 15
	// usualSpeed is the code of the relative time one. Code 1 is 0.5, code 15 is 5.7.
	usualSpeed = 5
	// speedSteps is the number of codes between a speed and its double.
	speedSteps = 4
)

// newReport returns the report of a relative time and a limit.
func newReport(speed float64, limit int) Report {
	code := usualSpeed + int(math.Round(speedSteps*math.Log2(speed)))
	return Report(min(max(code, 1), 15)<<4 | min(max(limit, 1), noLimit))
}

func (r Report) speed() float64 { return math.Exp2(float64(int(r>>4)-usualSpeed) / speedSteps) }

func (r Report) limit() int { return int(r & noLimit) }

// valid reports whether the report is one that an entry may send.
func (r Report) valid() bool { return r>>4 != 0 && r.limit() != 0 }

// usual reports whether a report says that nothing differs.
func (r Report) usual() bool { return r>>4 == usualSpeed && r.limit() == noLimit }

// MaxReports is the number of endpoints of a service that an entry reports at most. The exchange of loads
// has a budget in bytes.
const MaxReports = 64

// Reports returns what this entry learnt of the endpoints that differ, without what others told.
// A group is reported as the first of its ranks by name.
func (l *Learner) Reports(now time.Duration) map[id.Endpoint]Report {
	l.evaluate(now)
	out := make(map[id.Endpoint]Report)
	seen := make(map[*pacer]id.Endpoint)
	for name, e := range l.endpoints {
		if e.pacer == nil {
			continue
		}
		r := e.pacer.report()
		if r.usual() {
			continue
		}
		if first, ok := seen[e.pacer]; ok {
			if first < name {
				continue
			}
			delete(out, first)
		}
		seen[e.pacer] = name
		out[name] = r
	}
	if len(out) <= MaxReports {
		return out
	}
	names := make([]id.Endpoint, 0, len(out))
	for name := range out {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b id.Endpoint) int {
		return cmp.Or(cmp.Compare(out[b].difference(), out[a].difference()), cmp.Compare(a, b))
	})
	for _, name := range names[MaxReports:] {
		delete(out, name)
	}
	return out
}

// difference orders reports by how much they tell.
func (r Report) difference() int {
	return max(int(r>>4)-usualSpeed, usualSpeed-int(r>>4)) + noLimit - r.limit()
}

func (p *pacer) report() Report {
	limit := noLimit
	if p.knee > 0 && p.limit < p.most {
		limit = p.knee
	}
	return newReport(p.estimate, limit)
}

// SetPeers replaces the reports of other entries and cells. Sources is the number of them, those
// included that reported nothing.
func (l *Learner) SetPeers(reports map[id.Endpoint][]Report, sources int) {
	byGroup := make(map[*pacer][]Report)
	for name, list := range reports {
		if e := l.endpoints[name]; e != nil && e.Shared && e.pacer != nil {
			byGroup[e.pacer] = append(byGroup[e.pacer], list...)
		}
	}
	for name, e := range l.endpoints {
		e.peers = reports[name]
		if e.Shared {
			e.peers = byGroup[e.pacer]
		}
		e.told = Combine(e.peers, sources)
	}
}

const (
	// quorumFraction and minQuorum give the number of sources that must report that an endpoint
	// differs: a quarter, since with shares of endpoints a third of the entries know each. A single
	// source never decides.
	quorumFraction = 0.25
	minQuorum      = 2
)

// Combine returns the medians of the reports of sources on one endpoint, or zero if too few
// report it.
func Combine(reports []Report, sources int) Report {
	reports = slices.DeleteFunc(slices.Clone(reports), func(r Report) bool { return !r.valid() })
	quorum := max(minQuorum, int(math.Ceil(quorumFraction*float64(sources))))
	if len(reports) < quorum {
		return 0
	}
	speeds, limits := make([]int, len(reports)), make([]int, len(reports))
	for i, r := range reports {
		speeds[i], limits[i] = int(r>>4), r.limit()
	}
	slices.Sort(speeds)
	slices.Sort(limits)
	// Of two middle values the one closer to the usual counts.
	low, high := speeds[(len(speeds)-1)/2], speeds[len(speeds)/2]
	speed := high
	if high > usualSpeed {
		speed = max(low, usualSpeed)
	}
	return Report(speed<<4 | limits[len(limits)/2])
}

const (
	// maxToldFactor bounds the factor by which reports change a speed.
	maxToldFactor = 2
	// minToldFraction bounds limits by reports, as a fraction of the slots.
	minToldFraction = 0.5
)

// toldLimit returns the limit by the reports of others, most without one.
func (e *endpoint) toldLimit(most int) int {
	if e.told == 0 || e.told.limit() == noLimit {
		return most
	}
	return max(e.told.limit(), int(math.Ceil(minToldFraction*float64(max(e.Slots, 1)))))
}

// speed returns the relative time of the endpoint by own and others' evidence.
func (e *endpoint) speed() float64 {
	if e.pacer == nil {
		return 1
	}
	own := e.pacer.speed
	if e.toldSpeed == 1 {
		return own
	}
	return min(max(e.toldSpeed, own/maxToldFactor), own*maxToldFactor)
}
