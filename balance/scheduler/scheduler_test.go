package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

const ms = time.Millisecond

// harness drives a scheduler with a manual clock.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
}

func newHarness(t *testing.T, cfg Config, endpoints ...Endpoint) *harness {
	n := New(cfg, 1)
	n.SetEndpoints(endpoints)
	return &harness{t: t, scheduler: n}
}

func usableEndpoint(name string, slots int) Endpoint {
	return Endpoint{Name: id.Endpoint(name), Slots: slots, Usable: true}
}

func (h *harness) submit(r Request) *Decision {
	d := new(Decision)
	if r.Arrival == 0 {
		r.Arrival = h.now
	}
	h.scheduler.Submit(&Item{Request: r, Decided: func(got Decision) { *d = got }}, h.now)
	return d
}

func (h *harness) advance(d time.Duration) {
	h.now += d
	h.scheduler.Dispatch(h.now)
}

// chatRequest returns a request whose first event is due within 500 ms.
func (h *harness) chatRequest() Request {
	return Request{
		Arrival: h.now, Target: h.now + 500*ms, FirstEventDeadline: h.now + 2*time.Second, Deadline: h.now + 8*time.Second, PromptTokens: 800,
	}
}

func TestLeastLoadedEndpointFirst(t *testing.T) {
	cases := map[string]struct {
		prepare func(*Scheduler)
		want    id.Endpoint
	}{
		"others' requests count": {func(s *Scheduler) { s.SetPeerLoad("a", Load{Running: 2}) }, "b"},
		"prompts being read count": {func(s *Scheduler) {
			s.SetPeerLoad("b", Load{Running: 1, PromptTokens: 2000})
			s.SetPeerLoad("a", Load{Running: 2})
		}, "a"},
		"a slow endpoint costs more":               {func(s *Scheduler) { s.SetSlowdown("a", 3); s.SetPeerLoad("b", Load{Running: 1}) }, "b"},
		"a suspect endpoint is last":               {func(s *Scheduler) { s.Suspect("a", time.Second); s.SetPeerLoad("b", Load{Running: 3}) }, "b"},
		"a suspect endpoint is used if it must be": {func(s *Scheduler) { s.Suspect("a", time.Second); s.SetPeerLoad("b", Load{Running: 4}) }, "a"},
		"a blocked endpoint gets nothing":          {func(s *Scheduler) { s.SetBlocked("a", true); s.SetPeerLoad("b", Load{Running: 3}) }, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
			c.prepare(h.scheduler)
			assert.Equal(t, h.submit(h.chatRequest()).Endpoint, c.want)
		})
	}
}

// TestSlowEndpointGetsOverflowOnly covers a slow rank that all passes wait for: its
// step overhead alone takes longer than the step of a full rank.
func TestSlowEndpointGetsOverflowOnly(t *testing.T) {
	h := newHarness(t, Config{StepOverhead: 5}, usableEndpoint("a", 8), usableEndpoint("b", 8), usableEndpoint("c", 8))
	h.scheduler.SetSlowdown("a", 4)
	got := make(map[id.Endpoint]int)
	for range 18 {
		got[h.submit(h.chatRequest()).Endpoint]++
	}
	assert.DeepEqual(t, got, map[id.Endpoint]int{"a": 2, "b": 8, "c": 8})
}

func TestOrderOfWaitingRequests(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 1))
	running := h.chatRequest()
	assert.Equal(t, h.submit(running).Endpoint, id.Endpoint("a"))
	normal := h.submit(h.chatRequest())
	urgent := h.chatRequest()
	urgent.Target -= 100 * ms
	sooner := h.submit(urgent)
	less := h.chatRequest()
	less.Priority = 2
	last := h.submit(less)
	broken := h.chatRequest()
	broken.Resumed = true
	resumed := h.submit(broken)
	for i, want := range []*Decision{resumed, sooner, normal, last} {
		h.scheduler.RecordEnd("a", &running, true, 100*ms, h.now)
		h.advance(ms)
		assert.Equal(t, want.Endpoint, id.Endpoint("a"), "request %d", i)
	}
}

// TestLateRequestsYieldToTimelyOnes checks that after a burst, requests that are
// already late do not delay those that can still meet their target.
func TestLateRequestsYieldToTimelyOnes(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 1))
	running := h.chatRequest()
	h.submit(running)
	old := h.submit(h.chatRequest())
	h.advance(450 * ms) // Late, as the first event takes 100 ms.
	fresh := h.submit(h.chatRequest())
	h.scheduler.RecordEnd("a", &running, true, 100*ms, h.now)
	h.advance(ms)
	assert.Equal(t, fresh.Endpoint, id.Endpoint("a"))
	assert.Equal(t, old.Endpoint, id.Endpoint(""))
	h.scheduler.RecordEnd("a", &running, true, 100*ms, h.now)
	h.advance(ms)
	assert.Equal(t, old.Endpoint, id.Endpoint("a"))
	assert.Assert(t, old.Late)
}

func TestRefusals(t *testing.T) {
	t.Run("without an endpoint, at once", func(t *testing.T) {
		h := newHarness(t, Config{}, Endpoint{Name: "a", Slots: 4})
		d := h.submit(h.chatRequest())
		assert.Equal(t, d.Reason, NoEndpoint)
		assert.Assert(t, d.RetryAfter > 0)
	})
	t.Run("when all were tried, at once", func(t *testing.T) {
		h := newHarness(t, Config{}, usableEndpoint("a", 4))
		r := h.chatRequest()
		r.Exclude = []id.Endpoint{"a"}
		assert.Equal(t, h.submit(r).Reason, NoEndpoint)
	})
	t.Run("when its time is over, at once", func(t *testing.T) {
		h := newHarness(t, Config{}, usableEndpoint("a", 4))
		r := h.chatRequest()
		r.Deadline = h.now + 10*ms
		assert.Equal(t, h.submit(r).Reason, TooLate)
	})
	t.Run("when it waited for as long as a client does", func(t *testing.T) {
		h := newHarness(t, Config{}, usableEndpoint("a", 1))
		h.submit(h.chatRequest())
		d := h.submit(h.chatRequest())
		h.advance(1870 * ms) // The first event usually takes up to 125 ms.
		assert.Equal(t, d.Reason, Reason(""))
		h.advance(10 * ms)
		assert.Equal(t, d.Reason, Overload)
	})
	t.Run("when the queue is longer than it can wait, at once", func(t *testing.T) {
		h := newHarness(t, Config{}, usableEndpoint("a", 1))
		h.submit(h.chatRequest())
		var last *Decision
		for range 30 {
			last = h.submit(h.chatRequest())
		}
		assert.Equal(t, last.Reason, Overload)
		assert.Assert(t, last.RetryAfter > 0)
	})
}

// TestGroupDown covers the loss of a rank: nothing starts during the outage, requests
// that cannot wait are refused with a retry time, and queued ones start at its end.
func TestGroupDown(t *testing.T) {
	h := newHarness(t, Config{OutageDuration: 4 * time.Second}, usableEndpoint("a", 4))
	h.scheduler.SetDown(true, h.now)
	d := h.submit(h.chatRequest())
	assert.Equal(t, d.Reason, GroupDown)
	assert.Equal(t, d.RetryAfter, 4*time.Second)
	h.advance(3 * time.Second)
	d = h.submit(h.chatRequest())
	assert.Equal(t, d.Reason, Reason(""), "the rest of the outage is shorter than a client waits")
	h.advance(500 * ms)
	assert.Equal(t, d.Endpoint, id.Endpoint(""))
	h.scheduler.SetDown(false, h.now)
	h.advance(0)
	assert.Equal(t, d.Endpoint, id.Endpoint("a"))
}

func TestOutageEstimateFollowsOutages(t *testing.T) {
	h := newHarness(t, Config{OutageDuration: 4 * time.Second}, usableEndpoint("a", 4))
	h.scheduler.SetDown(true, h.now)
	h.advance(time.Second)
	h.scheduler.SetDown(false, h.now)
	for range 10 { // Too short to change the estimate.
		h.scheduler.SetDown(true, h.now)
		h.advance(50 * ms)
		h.scheduler.SetDown(false, h.now)
	}
	h.advance(minUptime) // A shorter uptime would continue the outage.
	h.scheduler.SetDown(true, h.now)
	assert.Equal(t, h.submit(h.chatRequest()).RetryAfter, 2500*ms)
}

func TestWithdrawnRequestIsNotStarted(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 1))
	running := h.chatRequest()
	h.submit(running)
	called := false
	item := &Item{Request: h.chatRequest(), Decided: func(Decision) { called = true }}
	h.scheduler.Submit(item, h.now)
	h.scheduler.Withdraw(item)
	h.scheduler.RecordEnd("a", &running, true, 100*ms, h.now)
	h.advance(ms)
	assert.Assert(t, !called)
	assert.Equal(t, h.scheduler.OwnLoad("a").Running, 0)
}

func TestSetEndpointsKeepsLoad(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4))
	r := h.chatRequest()
	h.submit(r)
	h.scheduler.SetEndpoints([]Endpoint{usableEndpoint("a", 4), usableEndpoint("b", 4)})
	assert.Equal(t, h.scheduler.OwnLoad("a"), Load{Running: 1, PromptTokens: 800})
	h.scheduler.RecordFirstEvent("a", &r, 100*ms, h.now)
	assert.Equal(t, h.scheduler.OwnLoad("a"), Load{Running: 1})
	h.scheduler.SetEndpoints([]Endpoint{usableEndpoint("b", 4)})
	h.scheduler.RecordEnd("a", &r, true, 100*ms, h.now) // The endpoint was removed; the end has no effect.
	assert.Equal(t, h.scheduler.OwnLoad("a"), Load{})
}

// TestOccupancyAtQueueingAndRefusal checks that the occupancy shows full endpoints
// when a request is queued, even if they are free again when it is refused.
func TestOccupancyAtQueueingAndRefusal(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
	var queued []Occupancy
	for range 4 {
		h.submit(h.chatRequest())
	}
	h.scheduler.SetPeerLoad("a", Load{Running: 2})
	h.scheduler.SetPeerLoad("b", Load{Running: 2})
	var got Decision
	h.scheduler.Submit(&Item{
		Request: h.chatRequest(), Queued: func(s Occupancy) { queued = append(queued, s) }, Decided: func(d Decision) { got = d },
	}, h.now)
	assert.DeepEqual(t, queued, []Occupancy{{Running: 8, Capacity: 8, Waiting: 1}})
	h.now += 2 * time.Second
	h.scheduler.SetPeerLoad("a", Load{})
	h.scheduler.SetPeerLoad("b", Load{})
	h.scheduler.Dispatch(h.now)
	assert.Equal(t, got.Reason, Overload)
	assert.Equal(t, got.Running, 4)
	assert.Equal(t, got.Capacity, 8)
}

// TestOverdueOutageRefusesRequests covers a group that does not recover: requests do
// not queue during an outage that has lasted far longer than estimated.
func TestOverdueOutageRefusesRequests(t *testing.T) {
	h := newHarness(t, Config{OutageDuration: 5 * time.Second}, usableEndpoint("a", 4))
	h.now = time.Second
	h.scheduler.SetDown(true, h.now)
	h.now += 5200 * time.Millisecond
	soon := h.submit(h.chatRequest())
	assert.Equal(t, soon.Reason, Reason(""), "a group that is due is waited for")
	h.now += 10 * time.Second
	late := h.submit(h.chatRequest())
	assert.Equal(t, late.Reason, GroupDown)
	assert.Equal(t, late.RetryAfter, 5100*time.Millisecond)
}

// TestRequestsAtUnusableEndpointsHoldNoOthers guards against free slots that stay empty while the
// requests of endpoints that were taken out of use run to their end.
func TestRequestsAtUnusableEndpointsHoldNoOthers(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 4), usableEndpoint("b", 4))
	h.scheduler.SetPeerLoad("a", Load{Running: 4})
	h.scheduler.SetUsable("a", false)
	for range 4 {
		assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("b"))
	}
}
