package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCongestionServesInTime guards against an overload that lasts: with requests that wait for as long as their clients do,
// nearly all that are served are late, and none more are served.
func TestCongestionServesInTime(t *testing.T) {
	m := contentionModel{classes: standardClasses(), entries: 15, length: 16 * time.Second}
	m.at = map[time.Duration]func(*contentionRun){
		4 * time.Second: func(x *contentionRun) { x.setUsable(modelEndpoints * 5 / 8) },
	}
	long := m.run(1)
	m.at[0] = func(x *contentionRun) {
		for _, s := range x.schedulers {
			s.SetShortQueue(true)
		}
	}
	short := m.run(1)
	t.Logf("long queue: %v", long)
	t.Logf("short queue: %v", short)
	timely := func(x *contentionRun) (n, all int) {
		for _, c := range x.classes {
			n += c.served - c.late
			all += c.served
		}
		return n, all
	}
	timelyLong, servedLong := timely(long)
	timelyShort, servedShort := timely(short)
	assert.Assert(t, timelyShort > timelyLong)
	assert.Assert(t, servedShort > servedLong*95/100)
	short.assertOrdered(t)
}

// TestBurstIsQueued guards against taking a short burst for a congestion: its requests wait as long as their clients do.
func TestBurstIsQueued(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4))
	h.scheduler.SetShortQueue(true)
	for range 4 {
		h.submit(h.chatRequest())
	}
	var waiting []*Decision
	for range 8 {
		waiting = append(waiting, h.submit(h.chatRequest()))
	}
	h.advance(400 * ms)
	for _, d := range waiting {
		assert.Equal(t, d.Reason, Reason(""))
	}
}

// TestCongestionEndsWithItsQueue checks that a congestion is over once nothing waits.
func TestCongestionEndsWithItsQueue(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 1))
	h.scheduler.SetShortQueue(true)
	running := h.chatRequest()
	h.submit(running)
	r := h.chatRequest()
	r.Target += time.Second
	h.submit(r)
	h.advance(100 * ms)
	assert.Equal(t, h.scheduler.congested(h.now), time.Duration(0))
	h.advance(500 * ms)
	assert.Assert(t, h.scheduler.congested(h.now) >= 500*ms)
	h.scheduler.RecordEnd("a", &running, true, 100*ms, h.now)
	h.advance(ms)
	assert.Equal(t, h.scheduler.Waiting(), 0)
	assert.Equal(t, h.scheduler.congested(h.now), time.Duration(0))
}
