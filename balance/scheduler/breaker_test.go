package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// TestOpenBreakerAdmitsTrials covers a group that is up by its reports but refuses
// requests: it gets one trial request per interval while the others wait.
func TestOpenBreakerAdmitsTrials(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
	h.scheduler.SetGroup("a", "g")
	h.scheduler.SetGroup("b", "g")
	h.scheduler.TripBreaker("a", h.now)
	var waiting []*Decision
	for range 5 {
		waiting = append(waiting, h.submit(h.chatRequest()))
	}
	started := func() (n int) {
		for _, d := range waiting {
			assert.Equal(t, d.Reason, Reason(""))
			if d.Endpoint != "" {
				n++
			}
		}
		return n
	}
	assert.Equal(t, started(), 0)
	h.advance(trialInterval)
	assert.Equal(t, started(), 1)
	h.advance(trialInterval / 2)
	assert.Equal(t, started(), 1)
	h.scheduler.TripBreaker("b", h.now) // The group refused the trial request too.
	h.advance(trialInterval / 2)
	assert.Equal(t, started(), 2)
	h.scheduler.RecordGroupProgress("g", h.now+ms)
	h.advance(0)
	assert.Equal(t, started(), 5)
}

func TestFirstEventClosesBreaker(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4))
	h.scheduler.TripBreaker("a", h.now)
	r := h.chatRequest()
	h.advance(trialInterval)
	d := h.submit(r)
	assert.Equal(t, d.Endpoint, id.Endpoint("a"))
	waits := h.submit(h.chatRequest())
	assert.Equal(t, waits.Endpoint, id.Endpoint(""))
	h.advance(100 * ms)
	// A stream that started before the refusal does not show that the group is up.
	h.scheduler.RecordFirstEvent("a", &r, 500*ms, h.now)
	h.advance(0)
	assert.Equal(t, waits.Endpoint, id.Endpoint(""))
	h.scheduler.RecordFirstEvent("a", &r, 100*ms, h.now)
	h.advance(0)
	assert.Equal(t, waits.Endpoint, id.Endpoint("a"))
}

// TestOpenBreakerLeavesOtherGroups checks that a breaker blocks only its own group.
func TestOpenBreakerLeavesOtherGroups(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
	h.scheduler.SetGroup("a", "g")
	h.scheduler.SetGroup("b", "h")
	h.scheduler.TripBreaker("a", h.now)
	for range 4 {
		assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("b"))
	}
}

// TestBreakerIsRemovedWithGroup checks that no breaker remains for a replaced group
// or, once the group of its endpoint is known, for the unknown group.
func TestBreakerIsRemovedWithGroup(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4))
	h.scheduler.TripBreaker("a", h.now)
	h.scheduler.SetGroup("a", "g")
	assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("a"))
	h.scheduler.TripBreaker("a", h.now)
	h.scheduler.SetEndpoints([]Endpoint{usableEndpoint("b", 4)})
	assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("b"))
	assert.Assert(t, !h.scheduler.recovering(h.now))
}

// TestOpenBreakerRefusesExpiredRequests checks that requests that can't wait any
// longer for a group are refused with a retry time.
func TestOpenBreakerRefusesExpiredRequests(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4))
	h.scheduler.TripBreaker("a", h.now)
	r := h.chatRequest()
	r.FirstEventDeadline = h.now + time.Second
	d := h.submit(r)
	for range 20 {
		h.scheduler.TripBreaker("a", h.now)
		h.scheduler.breakers[""].lastTrial = h.now // Trials are spent on other requests.
		h.advance(50 * ms)
	}
	assert.Equal(t, d.Reason, GroupDown)
	assert.Equal(t, d.RetryAfter, minRemainingOutage)
}

// TestBriefUptimeContinuesOutage covers reports that cross the recovery of a group:
// a brief uptime between them does not restart the outage.
func TestBriefUptimeContinuesOutage(t *testing.T) {
	h := newHarness(t, Config{OutageDuration: 4 * time.Second}, usableEndpoint("a", 4))
	h.advance(time.Second)
	h.scheduler.SetDown(true, h.now)
	h.advance(3 * time.Second)
	h.scheduler.SetDown(false, h.now)
	h.advance(100 * ms)
	h.scheduler.SetDown(true, h.now)
	d := h.submit(h.chatRequest())
	assert.Equal(t, d.Reason, Reason(""), "the rest of the outage is short: %v", d.RetryAfter)
}

// TestStartRateIgnoresOpenBreaker checks that the few starts while a breaker is open
// do not lower the predicted start rate, which would refuse requests as overload.
func TestStartRateIgnoresOpenBreaker(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 2))
	for range 200 { // 50 requests a second
		r := h.chatRequest()
		h.submit(r)
		h.advance(20 * ms)
		h.scheduler.RecordEnd("a", &r, true, 20*ms, h.now)
	}
	h.scheduler.TripBreaker("a", h.now)
	for range 8 {
		h.advance(2 * trialInterval)
		r := h.chatRequest()
		assert.Equal(t, h.submit(r).Endpoint, id.Endpoint("a"))
		h.scheduler.RecordEnd("a", &r, false, 5*ms, h.now)
		h.scheduler.TripBreaker("a", h.now)
	}
	for range 20 {
		assert.Equal(t, h.submit(h.chatRequest()).Reason, Reason(""))
	}
}
