package admit

import (
	"math"
	"time"
)

const (
	// targetPressure is the pressure at which teams are held to their shares. It
	// leaves room for errors of the predictions before the deadline.
	targetPressure = 0.4
	// pressureMemory is the time constant of the average pressure.
	pressureMemory = 100 * time.Millisecond
	// levelTime is the time constant at which the level follows the pressure.
	levelTime = 2 * time.Second
	// steepness is the relative change of what is allowed per change of pressure.
	steepness = 1
	// minLevel and maxLevel bound the level.
	minLevel = 1.0 / 8
	maxLevel = 64
)

// pressure is the predicted time to first token relative to the time that
// remains, averaged over requests. It sets how far a team may exceed its share.
type pressure struct {
	mean float64
	at   time.Time
	// level is the usage, relative to the fair share, that is allowed at the
	// target pressure. It settles where the teams beyond it leave just enough
	// capacity for all others.
	level float64
}

// allowed adds a request's pressure and returns the greatest usage, relative to
// the fair share, at which a team is served. It is unlimited below the start of
// contention and falls as the pressure rises.
func (p *pressure) allowed(x, contention float64, now time.Time) float64 {
	passed := min(max(now.Sub(p.at), 0), pressureMemory)
	p.at = now
	p.mean += (1 - math.Exp(-float64(passed)/float64(pressureMemory))) * (x - p.mean)
	p.level *= math.Exp(float64(passed) / float64(levelTime) * (targetPressure - p.mean) / targetPressure)
	p.level = min(max(p.level, minLevel), maxLevel)
	if p.mean <= contention {
		return math.Inf(1)
	}
	return p.level * math.Exp(steepness*(targetPressure-p.mean))
}
