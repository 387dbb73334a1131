package mapswitch

import "time"

const (
	// maxTrip bounds the time of an answer that is learned from, well above the way
	// between two regions and back.
	maxTrip = 500 * time.Millisecond
	// tripWeight is the part of a longer answer that counts, so that a host which
	// stalls once hardly changes the estimate.
	tripWeight = 4
	// resendTrips is the number of trips after which an order is sent again.
	resendTrips = 2
	// maxResend bounds the time after which an order is sent again: two trips of 125 ms,
	// and a fifth to spare.
	maxResend = 300 * time.Millisecond
	// holdTrips is the number of trips for which a step may be held: a ping, an arm
	// that is sent twice, and one to spare.
	holdTrips = 5
	// leadTrips is the number of trips from the last report of a step until all ranks
	// are armed: that of the report, hold, ping and arm.
	leadTrips = 4
	// maxLead bounds the steps between the last one and that of a change: enough for
	// trips of 125 ms and passes of 60 ms.
	maxLead = 12
	// passWindow is the least time over which passes are counted, several short ones.
	passWindow = 200 * time.Millisecond
	// firstWindowDivisor shortens the first window, as the first change comes soon.
	firstWindowDivisor = 4
	// minPause and maxPause bound the pause after a change that was undone. Undoing
	// takes about as long as minPause and may hold the group meanwhile.
	minPause = 250 * time.Millisecond
	maxPause = 8 * time.Second
)

// noteTrip learns how long an answer took.
func (k *rank) noteTrip(took time.Duration) {
	switch {
	case took > maxTrip:
	case k.trip == 0 || took < k.trip:
		k.trip = took
	default:
		k.trip += (took - k.trip) / tripWeight
	}
}

// resend returns the time after which an order is sent again.
func (m *Coordinator) resend(o Order) time.Duration {
	trips := resendTrips * max(m.ranks[o.Rank].trip, m.ranks[o.Via].trip)
	return max(m.cfg.ResendInterval, min(trips, maxResend))
}

// longestTrip returns the trip to the rank that is farthest away.
func (m *Coordinator) longestTrip() time.Duration {
	var t time.Duration
	for i := range m.ranks {
		t = max(t, m.ranks[i].trip)
	}
	return t
}

// notePass learns from a report how long a pass takes. Reports may wait and be handled
// together, so that only a while of them tells.
func (m *Coordinator) notePass(step uint64, now time.Duration) {
	if step <= m.lastStep() {
		return
	}
	steps, took := step-m.countedStep, now-m.countedAt
	window := passWindow
	if m.pass == 0 {
		window /= firstWindowDivisor
	}
	if m.countedStep != 0 && took < window {
		return
	}
	if m.countedStep != 0 {
		m.pass = took / time.Duration(steps)
	}
	m.countedStep, m.countedAt = step, now
}

// lead returns the number of steps between the last one begun and that of a change,
// so that all ranks are armed before it comes.
func (m *Coordinator) lead() uint64 {
	if m.pass <= 0 {
		return m.cfg.LeadSteps
	}
	need := m.cfg.PingDelay + leadTrips*m.longestTrip()
	return min(max(m.cfg.LeadSteps, uint64((need+m.pass-1)/m.pass)+1), max(maxLead, m.cfg.LeadSteps))
}

// pause keeps changes from being started for a while after one that was undone.
func (m *Coordinator) pause(now time.Duration) {
	m.pausedUntil = now + min(minPause<<min(m.undone, 16), maxPause)
	m.undone++
}
