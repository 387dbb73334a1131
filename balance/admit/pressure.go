package admit

import (
	"math"
	"time"
)

const (
	// targetPressure is the setpoint of the average pressure. It leaves room for
	// prediction errors before the deadline.
	targetPressure = 0.4
	// pressureTimeConstant is the time constant of the average pressure.
	pressureTimeConstant = 100 * time.Millisecond
	// usageLimitTimeConstant is the time constant at which usageLimit follows the pressure.
	usageLimitTimeConstant = 2 * time.Second
	// pressureSensitivity is the relative decrease of the allowed usage per unit of pressure.
	pressureSensitivity = 1
	// minUsageLimit and maxUsageLimit bound usageLimit.
	minUsageLimit = 1.0 / 8
	maxUsageLimit = 64
)

// pressure controls how far a team may exceed its share, by the predicted time to
// first token relative to the time until the deadline, averaged over requests.
type pressure struct {
	mean float64
	at   time.Time
	// usageLimit is the allowed usage relative to the fair share at the target
	// pressure. It converges to where teams beyond it leave enough for all others.
	usageLimit float64
}

// update adds a request's pressure x and returns the greatest usage, relative to the
// fair share, at which a team is served without refusals. It is unlimited up to the
// contention threshold and falls as the pressure rises.
func (p *pressure) update(x, contention float64, now time.Time) float64 {
	passed := min(max(now.Sub(p.at), 0), pressureTimeConstant)
	p.at = now
	p.mean += (1 - math.Exp(-float64(passed)/float64(pressureTimeConstant))) * (x - p.mean)
	p.usageLimit *= math.Exp(float64(passed) / float64(usageLimitTimeConstant) * (targetPressure - p.mean) / targetPressure)
	p.usageLimit = min(max(p.usageLimit, minUsageLimit), maxUsageLimit)
	if p.mean <= contention {
		return math.Inf(1)
	}
	return p.usageLimit * math.Exp(pressureSensitivity*(targetPressure-p.mean))
}
