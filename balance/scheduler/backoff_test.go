package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// TestBackOffStopsAllRequests guards against new, queued and resumed requests that reach an
// endpoint during the time for which it asked for none.
func TestBackOffStopsAllRequests(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4))
	h.advance(time.Second)
	h.scheduler.BackOff("a", h.now+500*ms)
	queued := h.submit(h.chatRequest())
	resumed := h.chatRequest()
	resumed.Resumed = true
	first := h.submit(resumed)
	for range 49 {
		h.advance(10 * ms)
		assert.Equal(t, queued.Endpoint, id.Endpoint(""))
		assert.Equal(t, first.Endpoint, id.Endpoint(""))
	}
	h.advance(10 * ms)
	assert.Equal(t, first.Endpoint, id.Endpoint("a"))
}

// TestBackOffEndsWithOneTrial covers the herd of waiting requests when a back-off ends: one
// request starts, and the others only after it was answered.
func TestBackOffEndsWithOneTrial(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 8))
	before := h.chatRequest()
	h.submit(before)
	h.advance(100 * ms)
	h.scheduler.BackOff("a", h.now+300*ms)
	var waiting []*Decision
	for range 5 {
		waiting = append(waiting, h.submit(h.chatRequest()))
	}
	started := func() (n int) {
		for _, d := range waiting {
			if d.Endpoint != "" {
				n++
			}
		}
		return n
	}
	h.advance(300 * ms)
	assert.Equal(t, started(), 1)
	// The answer to a request from before the back-off says nothing about its end.
	h.scheduler.RecordEnd("a", &before, true, 400*ms, h.now)
	h.advance(50 * ms)
	assert.Equal(t, started(), 1)
	r := h.chatRequest()
	h.scheduler.RecordEnd("a", &r, false, 50*ms, h.now)
	h.scheduler.BackOff("a", h.now+200*ms) // The trial was refused too.
	h.advance(100 * ms)
	assert.Equal(t, started(), 1)
	h.advance(100 * ms)
	assert.Equal(t, started(), 2)
	h.scheduler.RecordFirstEvent("a", &r, 20*ms, h.now+20*ms)
	h.advance(20 * ms)
	assert.Equal(t, started(), 5)
}

func TestBackOffLeavesOtherEndpoints(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
	h.scheduler.BackOff("a", h.now+time.Minute)
	for range 4 {
		assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("b"))
	}
}

// TestBackOffOfAllEndpointsRefusesWithEarliestEnd checks that a request that cannot wait for any
// endpoint is refused at once, with the time at which the first endpoint accepts requests again.
func TestBackOffOfAllEndpointsRefusesWithEarliestEnd(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
	h.advance(time.Second)
	h.scheduler.BackOff("a", h.now+20*time.Second)
	h.scheduler.BackOff("b", h.now+5*time.Second)
	d := h.submit(h.chatRequest())
	assert.Equal(t, d.Reason, Overload)
	assert.Equal(t, d.RetryAfter, 5*time.Second)
}

// TestBackOffSurvivesNewListOfEndpoints checks that a reload does not shorten a back-off.
func TestBackOffSurvivesNewListOfEndpoints(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4))
	h.scheduler.BackOff("a", h.now+time.Second)
	h.scheduler.BackOff("a", h.now+100*ms)
	h.scheduler.SetEndpoints([]Endpoint{usableEndpoint("a", 4), usableEndpoint("b", 1)})
	assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("b"))
	h.advance(900 * ms)
	d := h.submit(h.chatRequest())
	assert.Equal(t, d.Endpoint, id.Endpoint(""))
	h.advance(100 * ms)
	assert.Equal(t, d.Endpoint, id.Endpoint("a"))
}
