package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

const ms = time.Millisecond

// bench runs an intake by hand.
type bench struct {
	t   *testing.T
	n   *Scheduler
	now time.Duration
}

func newBench(t *testing.T, cfg Config, endpoints ...Endpoint) *bench {
	n := New(cfg, 1)
	n.SetEndpoints(endpoints)
	return &bench{t: t, n: n}
}

func slots(name string, slots int) Endpoint {
	return Endpoint{Name: id.Endpoint(name), Slots: slots, Usable: true}
}

func (b *bench) submit(r Request) *Decision {
	d := new(Decision)
	if r.Arrival == 0 {
		r.Arrival = b.now
	}
	b.n.Submit(&Ticket{Request: r, Decided: func(got Decision) { *d = got }}, b.now)
	return d
}

func (b *bench) after(d time.Duration) {
	b.now += d
	b.n.Dispatch(b.now)
}

// chat returns a request that expects its first event within 500 ms.
func (b *bench) chat() Request {
	return Request{
		Arrival: b.now, Target: b.now + 500*ms, FirstEventDeadline: b.now + 2*time.Second, Deadline: b.now + 8*time.Second, PromptTokens: 800,
	}
}

func TestLeastLoadedEndpointFirst(t *testing.T) {
	cases := map[string]struct {
		prepare func(*Scheduler)
		want    id.Endpoint
	}{
		"others' requests count": {func(n *Scheduler) { n.SetPeerLoad("a", Load{Running: 2}) }, "b"},
		"prompts being read count": {func(n *Scheduler) {
			n.SetPeerLoad("b", Load{Running: 1, PromptTokens: 2000})
			n.SetPeerLoad("a", Load{Running: 2})
		}, "a"},
		"a slow endpoint costs more":               {func(n *Scheduler) { n.SetSlowdown("a", 3); n.SetPeerLoad("b", Load{Running: 1}) }, "b"},
		"a suspect endpoint is last":               {func(n *Scheduler) { n.Suspect("a", time.Second); n.SetPeerLoad("b", Load{Running: 3}) }, "b"},
		"a suspect endpoint is used if it must be": {func(n *Scheduler) { n.Suspect("a", time.Second); n.SetPeerLoad("b", Load{Running: 4}) }, "a"},
		"a blocked endpoint gets nothing":          {func(n *Scheduler) { n.SetBlocked("a", true); n.SetPeerLoad("b", Load{Running: 3}) }, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Config{}, slots("a", 4), slots("b", 4))
			c.prepare(b.n)
			assert.Equal(t, b.submit(b.chat()).Endpoint, c.want)
		})
	}
}

// TestSlowRankGetsWhatOthersCannotTake names the pattern "one rank is slow and all
// passes wait for it": its fixed part of a step alone takes longer than full ranks.
func TestSlowRankGetsWhatOthersCannotTake(t *testing.T) {
	b := newBench(t, Config{StepOverhead: 5}, slots("a", 8), slots("b", 8), slots("c", 8))
	b.n.SetSlowdown("a", 4)
	got := make(map[id.Endpoint]int)
	for range 18 {
		got[b.submit(b.chat()).Endpoint]++
	}
	assert.DeepEqual(t, got, map[id.Endpoint]int{"a": 2, "b": 8, "c": 8})
}

func TestOrderOfWaitingRequests(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 1))
	running := b.chat()
	assert.Equal(t, b.submit(running).Endpoint, id.Endpoint("a"))
	normal := b.submit(b.chat())
	urgent := b.chat()
	urgent.Target -= 100 * ms
	sooner := b.submit(urgent)
	less := b.chat()
	less.Priority = 2
	last := b.submit(less)
	broken := b.chat()
	broken.Resumed = true
	resumed := b.submit(broken)
	for i, want := range []*Decision{resumed, sooner, normal, last} {
		b.n.Ended("a", &running, true, 100*ms)
		b.after(ms)
		assert.Equal(t, want.Endpoint, id.Endpoint("a"), "request %d", i)
	}
}

// TestLateRequestsUseWhatIsLeft names the pattern "the crest of a wave": once
// requests are late, they no longer keep those from being on time that still can be.
func TestLateRequestsUseWhatIsLeft(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 1))
	running := b.chat()
	b.submit(running)
	old := b.submit(b.chat())
	b.after(450 * ms) // With the usual first answer after 100 ms it is late by now.
	fresh := b.submit(b.chat())
	b.n.Ended("a", &running, true, 100*ms)
	b.after(ms)
	assert.Equal(t, fresh.Endpoint, id.Endpoint("a"))
	assert.Equal(t, old.Endpoint, id.Endpoint(""))
	b.n.Ended("a", &running, true, 100*ms)
	b.after(ms)
	assert.Equal(t, old.Endpoint, id.Endpoint("a"))
	assert.Assert(t, old.Late)
}

func TestRefusals(t *testing.T) {
	t.Run("without an endpoint, at once", func(t *testing.T) {
		b := newBench(t, Config{}, Endpoint{Name: "a", Slots: 4})
		d := b.submit(b.chat())
		assert.Equal(t, d.Reason, NoEndpoint)
		assert.Assert(t, d.RetryAfter > 0)
	})
	t.Run("when all were tried, at once", func(t *testing.T) {
		b := newBench(t, Config{}, slots("a", 4))
		r := b.chat()
		r.Exclude = []id.Endpoint{"a"}
		assert.Equal(t, b.submit(r).Reason, NoEndpoint)
	})
	t.Run("when its time is over, at once", func(t *testing.T) {
		b := newBench(t, Config{}, slots("a", 4))
		r := b.chat()
		r.Deadline = b.now + 10*ms
		assert.Equal(t, b.submit(r).Reason, TooLate)
	})
	t.Run("when it waited for as long as a client does", func(t *testing.T) {
		b := newBench(t, Config{}, slots("a", 1))
		b.submit(b.chat())
		d := b.submit(b.chat())
		b.after(1870 * ms) // The first event usually takes up to 125 ms.
		assert.Equal(t, d.Reason, Reason(""))
		b.after(10 * ms)
		assert.Equal(t, d.Reason, Overload)
	})
	t.Run("when the queue is longer than it can wait, at once", func(t *testing.T) {
		b := newBench(t, Config{}, slots("a", 1))
		b.submit(b.chat())
		var last *Decision
		for range 30 {
			last = b.submit(b.chat())
		}
		assert.Equal(t, last.Reason, Overload)
		assert.Assert(t, last.RetryAfter > 0)
	})
}

// TestGroupDown names the pattern "a rank is lost": nothing is sent meanwhile,
// what cannot wait is told when to come back, and what can goes on at once.
func TestGroupDown(t *testing.T) {
	b := newBench(t, Config{OutageDuration: 4 * time.Second}, slots("a", 4))
	b.n.SetDown(true, b.now)
	d := b.submit(b.chat())
	assert.Equal(t, d.Reason, GroupDown)
	assert.Equal(t, d.RetryAfter, 4*time.Second)
	b.after(3 * time.Second)
	d = b.submit(b.chat())
	assert.Equal(t, d.Reason, Reason(""), "the rest of the outage is shorter than a client waits")
	b.after(500 * ms)
	assert.Equal(t, d.Endpoint, id.Endpoint(""))
	b.n.SetDown(false, b.now)
	b.after(0)
	assert.Equal(t, d.Endpoint, id.Endpoint("a"))
}

func TestOutagesAreLearned(t *testing.T) {
	b := newBench(t, Config{OutageDuration: 4 * time.Second}, slots("a", 4))
	b.n.SetDown(true, b.now)
	b.after(time.Second)
	b.n.SetDown(false, b.now)
	for range 10 { // Looks that cross each other tell nothing.
		b.n.SetDown(true, b.now)
		b.after(50 * ms)
		b.n.SetDown(false, b.now)
	}
	b.after(minUp) // Before that it would be the same outage.
	b.n.SetDown(true, b.now)
	assert.Equal(t, b.submit(b.chat()).RetryAfter, 2500*ms)
}

func TestWithdrawnRequestIsNotStarted(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 1))
	running := b.chat()
	b.submit(running)
	called := false
	ticket := &Ticket{Request: b.chat(), Decided: func(Decision) { called = true }}
	b.n.Submit(ticket, b.now)
	b.n.Withdraw(ticket)
	b.n.Ended("a", &running, true, 100*ms)
	b.after(ms)
	assert.Assert(t, !called)
	assert.Equal(t, b.n.OwnLoad("a").Running, 0)
}

func TestLoadsOfEndpointsThatRemain(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 4))
	r := b.chat()
	b.submit(r)
	b.n.SetEndpoints([]Endpoint{slots("a", 4), slots("b", 4)})
	assert.Equal(t, b.n.OwnLoad("a"), Load{Running: 1, PromptTokens: 800})
	b.n.FirstEvent("a", &r, 100*ms, b.now)
	assert.Equal(t, b.n.OwnLoad("a"), Load{Running: 1})
	b.n.SetEndpoints([]Endpoint{slots("b", 4)})
	b.n.Ended("a", &r, true, 100*ms) // The endpoint is gone; its end is no one's.
	assert.Equal(t, b.n.OwnLoad("a"), Load{})
}

// TestRefusalTellsWhatItWaitedFor shows that a request which is refused in the
// moment at which many others end was kept waiting by full endpoints.
func TestRefusalTellsWhatItWaitedFor(t *testing.T) {
	b := newBench(t, Config{}, slots("a", 4), slots("b", 4))
	var queued []Occupancy
	for range 4 {
		b.submit(b.chat())
	}
	b.n.SetPeerLoad("a", Load{Running: 2})
	b.n.SetPeerLoad("b", Load{Running: 2})
	var got Decision
	b.n.Submit(&Ticket{
		Request: b.chat(), Queued: func(s Occupancy) { queued = append(queued, s) }, Decided: func(d Decision) { got = d },
	}, b.now)
	assert.DeepEqual(t, queued, []Occupancy{{Running: 8, Capacity: 8, Waiting: 1}})
	b.now += 2 * time.Second
	b.n.SetPeerLoad("a", Load{})
	b.n.SetPeerLoad("b", Load{})
	b.n.Dispatch(b.now)
	assert.Equal(t, got.Reason, Overload)
	assert.Equal(t, got.Running, 4)
	assert.Equal(t, got.Capacity, 8)
}

// TestLongOutageIsNotWaitedFor names the pattern "the group does not come back":
// nobody waits for the next moment of an outage that has lasted far longer than usual.
func TestLongOutageIsNotWaitedFor(t *testing.T) {
	b := newBench(t, Config{OutageDuration: 5 * time.Second}, slots("a", 4))
	b.now = time.Second
	b.n.SetDown(true, b.now)
	b.now += 5200 * time.Millisecond
	soon := b.submit(b.chat())
	assert.Equal(t, soon.Reason, Reason(""), "a group that is due is waited for")
	b.now += 10 * time.Second
	late := b.submit(b.chat())
	assert.Equal(t, late.Reason, GroupDown)
	assert.Equal(t, late.RetryAfter, 5100*time.Millisecond)
}
