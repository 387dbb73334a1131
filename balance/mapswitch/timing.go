package mapswitch

import "time"

const (
	// maxRTT bounds the round-trip times that enter the estimate, well above those
	// between two regions.
	maxRTT = 500 * time.Millisecond
	// rttGrowthDivisor divides the increase of the estimate by a slower answer, so that
	// a host which stalls once hardly changes it.
	rttGrowthDivisor = 4
	// resendRTTs is the number of round trips after which an order is sent again.
	resendRTTs = 2
	// maxResendInterval bounds the time after which an order is sent again: two round
	// trips of 125 ms, and a fifth to spare.
	maxResendInterval = 300 * time.Millisecond
	// holdRTTs is the number of round trips for which a step may be held: one for a ping,
	// two for an arm order that is sent twice, and one to spare.
	holdRTTs = 5
	// leadRTTs is the number of round trips from the last report of a step until all
	// ranks are armed: report, hold, ping and arm.
	leadRTTs = 4
	// maxLeadSteps bounds the steps between the last one and that of a change: enough for
	// round trips of 125 ms and steps of 60 ms.
	maxLeadSteps = 12
	// stepTimeWindow is the least time over which the step time is averaged, several short steps.
	stepTimeWindow = 200 * time.Millisecond
	// firstWindowDivisor shortens the first window, as the first change comes soon.
	firstWindowDivisor = 4
	// minBackoff and maxBackoff bound the backoff after a change that was undone. Undoing
	// takes about as long as minBackoff and may hold the group meanwhile.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// recordRTT updates the estimate: it drops to a faster answer at once and rises slowly.
func (k *rank) recordRTT(took time.Duration) {
	switch {
	case took > maxRTT:
	case k.rtt == 0 || took < k.rtt:
		k.rtt = took
	default:
		k.rtt += (took - k.rtt) / rttGrowthDivisor
	}
}

// resendInterval returns the time after which an unanswered order is sent again.
func (c *Coordinator) resendInterval(o Order) time.Duration {
	trips := resendRTTs * max(c.ranks[o.Rank].rtt, c.ranks[o.Via].rtt)
	return max(c.cfg.ResendInterval, min(trips, maxResendInterval)) + c.transferTime(o)
}

// transferTime returns the time for which an order may be on its way besides the round trip.
func (c *Coordinator) transferTime(o Order) time.Duration {
	if o.Op == Prepare {
		return c.cfg.MapTransferTime
	}
	return 0
}

// longestRTT returns the largest estimate over all ranks.
func (c *Coordinator) longestRTT() time.Duration {
	var t time.Duration
	for i := range c.ranks {
		t = max(t, c.ranks[i].rtt)
	}
	return t
}

// recordStepTime updates the estimated step time from a report. It averages over a
// window because delayed reports are processed in bursts.
func (c *Coordinator) recordStepTime(step uint64, now time.Duration) {
	if step <= c.lastStep() {
		return
	}
	if step <= c.windowStep { // A report with a later step was wrong.
		c.windowStep, c.windowStart = step, now
		return
	}
	steps, took := step-c.windowStep, now-c.windowStart
	window := stepTimeWindow
	if c.stepTime == 0 {
		window /= firstWindowDivisor
	}
	if c.windowStep != 0 && took < window {
		return
	}
	if c.windowStep != 0 {
		c.stepTime = took / time.Duration(steps)
	}
	c.windowStep, c.windowStart = step, now
}

// leadSteps returns the number of steps between the last one begun and that of a
// change, so that all ranks are armed before it comes.
func (c *Coordinator) leadSteps() uint64 {
	if c.stepTime <= 0 {
		return c.cfg.LeadSteps
	}
	need := c.cfg.PingDelay + leadRTTs*c.longestRTT()
	return min(max(c.cfg.LeadSteps, uint64((need+c.stepTime-1)/c.stepTime)+1), max(maxLeadSteps, c.cfg.LeadSteps))
}

// backOff delays the next change exponentially after one that was undone.
func (c *Coordinator) backOff(now time.Duration) {
	c.backoffUntil = now + min(minBackoff<<min(c.undoneInARow, 16), maxBackoff)
	c.undoneInARow++
}
