package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// enginePace is that of ranks with ten slots whose full load leaves a third of the longest gap free.
func enginePace() *PaceConfig {
	return &PaceConfig{Overhead: 34 * ms, PerRequest: 3 * ms, MaxGap: 120 * ms}
}

// pacedGroup returns a scheduler with one group of ranks.
func pacedGroup(t *testing.T, ranks int) *harness {
	var list []Endpoint
	for i := range ranks {
		list = append(list, usableEndpoint(fmt.Sprintf("r%d", i), 10))
	}
	h := newHarness(t, Config{}, list...)
	for _, e := range list {
		h.scheduler.SetGroup(e.Name, "g")
	}
	h.scheduler.SetPace(enginePace())
	return h
}

// started submits requests until one has to wait and returns how many started.
func (h *harness) started() int {
	for n := 0; ; n++ {
		if h.submit(h.chatRequest()).Endpoint == "" {
			return n
		}
	}
}

// TestPlacesFollowThePaceOfTheGroup guards against a group that is slow long before its slots are taken: with all
// slots in use, every gap of every stream is too long.
func TestPlacesFollowThePaceOfTheGroup(t *testing.T) {
	cases := map[string]struct {
		slowness float64
		want     int
	}{
		"as predicted":                 {1, 10},
		"a little slower":              {1.5, 10},
		"twice as slow":                {2, 6},
		"so slow that no load is well": {4, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := pacedGroup(t, 1)
			for range 200 {
				h.scheduler.RecordGap("r0", time.Duration(c.slowness*34*float64(ms)), h.now)
			}
			assert.Equal(t, h.started(), c.want)
		})
	}
}

// TestOneLongGapDoesNotSlowAGroup guards against a client that reads slowly, or one stall, that takes places away.
func TestOneLongGapDoesNotSlowAGroup(t *testing.T) {
	h := pacedGroup(t, 1)
	for range 50 {
		h.scheduler.RecordGap("r0", 34*ms, h.now)
	}
	for range 3 {
		h.scheduler.RecordGap("r0", 10*time.Second, h.now)
	}
	assert.Equal(t, h.started(), 10)
}

// TestPaceIsForgotten checks that a group that gets no requests is tried with all its slots within seconds.
func TestPaceIsForgotten(t *testing.T) {
	h := pacedGroup(t, 1)
	for range 200 {
		h.scheduler.RecordGap("r0", 34*4*ms, h.now)
	}
	h.advance(6 * time.Second)
	assert.Equal(t, h.started(), 10)
}

// TestFormedGroupIsFilledInSteps guards against requests that waited for a group and take all its slots in the moment in which
// it is back, while its experts are not yet placed by demand.
func TestFormedGroupIsFilledInSteps(t *testing.T) {
	h := pacedGroup(t, 4)
	h.scheduler.RecordFormation("g", h.now)
	assert.Equal(t, h.started(), 24)
	for range 100 { // It keeps up.
		h.advance(2 * ms)
		h.scheduler.RecordGap("r0", 52*ms, h.now)
	}
	assert.Assert(t, h.scheduler.places(h.scheduler.byName["r1"]) == 10)
}

// TestSlowGroupGetsFewerRequests guards against an even division between a group that is slow after it formed and one that
// is not.
func TestSlowGroupGetsFewerRequests(t *testing.T) {
	var list []Endpoint
	for i := range 8 {
		list = append(list, usableEndpoint(fmt.Sprintf("%c%d", "ab"[i%2], i), 10))
	}
	h := newHarness(t, Config{StepOverhead: 11}, list...)
	for _, e := range list {
		h.scheduler.SetGroup(e.Name, id.Group(e.Name[:1]))
	}
	h.scheduler.SetPace(enginePace())
	h.scheduler.RecordFormation("a", h.now)
	got := make(map[byte]int)
	for range 24 {
		got[h.submit(h.chatRequest()).Endpoint[0]]++
	}
	assert.Assert(t, got['b'] >= 3*got['a'], "%v", got)
}

// TestGroupAfterOutageServesInTime plays the first seconds after an outage of all groups in virtual time: requests have
// waited, the load is close to the capacity, and a group's passes take three times as long at first.
// It guards against streams that are all late because each slot is in use.
func TestGroupAfterOutageServesInTime(t *testing.T) {
	run := func(paced bool) (timely, late int) {
		const ranks = 32
		rng := rand.New(rand.NewPCG(1, 1))
		s := New(Config{RequestDuration: 1400 * ms}, 1)
		var list []Endpoint
		for i := range ranks {
			list = append(list, usableEndpoint(fmt.Sprintf("r%d", i), 10))
		}
		s.SetEndpoints(list)
		for _, e := range list {
			s.SetGroup(e.Name, "g")
			s.SetBlocked(e.Name, true)
		}
		if paced {
			s.SetPace(enginePace())
		}
		s.SetDown(true, 0)
		type stream struct {
			endpoint id.Endpoint
			request  *Request
			started  time.Duration
			events   int
			late     bool
		}
		var streams []*stream
		now, nextPass := 4*time.Second, 5*time.Second
		var lastPass time.Duration
		for ; now < 12*time.Second; now += ms {
			if now == 5*time.Second {
				for _, e := range list {
					s.SetBlocked(e.Name, false)
				}
				s.RecordFormation("g", now)
				s.SetDown(false, now)
			}
			for rng.Float64() < 0.115 { // 115 requests a second.
				r := &Request{Arrival: now, Target: now + 400*ms, FirstEventDeadline: now + 1700*ms, Deadline: now + 8*time.Second, PromptTokens: 800}
				s.Submit(&Item{Request: *r, Decided: func(d Decision) {
					if d.Endpoint != "" {
						streams = append(streams, &stream{endpoint: d.Endpoint, request: r, started: now, late: d.Late})
					}
				}}, now)
			}
			if now%(10*ms) == 0 {
				s.Dispatch(now)
			}
			if now < nextPass {
				continue
			}
			pass := now - lastPass
			kept := streams[:0]
			for _, x := range streams {
				if x.events++; x.events == 1 {
					s.RecordFirstEvent(x.endpoint, x.request, now-x.started, now)
					x.late = x.late || now > x.request.Target
				} else {
					s.RecordGap(x.endpoint, pass, now)
					x.late = x.late || pass > 120*ms
				}
				if x.events < 20 {
					kept = append(kept, x)
					continue
				}
				s.RecordEnd(x.endpoint, x.request, true, now-x.started, now)
				if x.late {
					late++
				} else {
					timely++
				}
			}
			streams = kept
			slowness := 1 + 2*max(0, 1-(now-5*time.Second).Seconds()/3) // Its experts are placed within 3 s.
			lastPass = now
			nextPass = now + time.Duration(slowness*(34+3*float64(len(streams))/ranks)*float64(ms))
		}
		return timely, late
	}
	timely, late := run(true)
	timelyBefore, lateBefore := run(false)
	t.Logf("by pace: %d timely, %d late; all slots: %d timely, %d late", timely, late, timelyBefore, lateBefore)
	assert.Assert(t, timely > timelyBefore)
	assert.Assert(t, timely+late >= (timelyBefore+lateBefore)*9/10)
}
