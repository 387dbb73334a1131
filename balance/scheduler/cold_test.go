package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/coldstart"
	"github.com/siskinford/siskinford/core/id"
)

// coldHosts is the number of entries of the fleets in these tests, more than have a share.
const coldHosts = 15

func coldFleet(n int) []id.Host {
	out := make([]id.Host, n)
	for i := range out {
		out[i] = id.Host(fmt.Sprintf("host-%02d", i))
	}
	return out
}

// coldHarness returns a scheduler of a fleet's first host, at a time when its limiter may permit
// requests.
func coldHarness(t *testing.T, cfg coldstart.Config, hosts int, endpoints ...Endpoint) (*harness, *coldstart.Limiter) {
	h := newHarness(t, Config{}, endpoints...)
	l := coldstart.New(cfg, 0)
	fleet := coldFleet(hosts)
	l.SetFleet(fleet, fleet[0], 0)
	h.scheduler.SetColdLimit(l)
	h.now = time.Minute
	return h, l
}

// TestColdEndpointIsPassedOver guards against requests that wait for a token of a cold endpoint while
// another endpoint has room.
func TestColdEndpointIsPassedOver(t *testing.T) {
	h, l := coldHarness(t, coldstart.Config{Rate: 1}, 1, usableEndpoint("a", 8), usableEndpoint("b", 8))
	l.SetCold("a", h.now+10*time.Second, h.now)
	assert.Assert(t, h.scheduler.DefersCold(h.now))
	for range 8 {
		assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("b"))
	}
	full := h.submit(h.chatRequest())
	assert.Equal(t, full.Endpoint, id.Endpoint(""))
	h.advance(1100 * ms)
	assert.Equal(t, full.Endpoint, id.Endpoint("a"), "the first token")
	resumed := h.chatRequest()
	resumed.Resumed = true
	second := h.submit(resumed)
	assert.Equal(t, second.Endpoint, id.Endpoint(""), "resumed streams need a token too")
	h.advance(1100 * ms)
	assert.Equal(t, second.Endpoint, id.Endpoint("a"))
	h.advance(10 * time.Second)
	assert.Assert(t, !h.scheduler.DefersCold(h.now))
	assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("a"))
	assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("a"), "a warm endpoint has no limit")
}

// TestColdEndpointCostsMore checks the cost of a cold endpoint that has a token: it counts as if a
// quarter of its slots were taken.
func TestColdEndpointCostsMore(t *testing.T) {
	h, l := coldHarness(t, coldstart.Config{Rate: 1000}, 1, usableEndpoint("a", 8), usableEndpoint("b", 8))
	l.SetCold("a", h.now+10*time.Second, h.now)
	short := func() Request {
		r := h.chatRequest()
		r.PromptTokens = 0
		return r
	}
	for range 2 {
		h.now += 10 * ms
		assert.Equal(t, h.submit(short()).Endpoint, id.Endpoint("b"))
	}
	h.now += 10 * ms
	h.scheduler.SetPeerLoad("b", Load{Running: 1})
	assert.Equal(t, h.submit(short()).Endpoint, id.Endpoint("a"))
}

// TestColdSlotsDoNotOverfillOthers guards against requests beyond the slots of a warm endpoint because
// the slots of cold ones, which may not be used yet, count as free.
func TestColdSlotsDoNotOverfillOthers(t *testing.T) {
	h, l := coldHarness(t, coldstart.Config{Rate: 1}, 1, usableEndpoint("a", 8), usableEndpoint("b", 8))
	h.scheduler.cfg.Overcommit = 4
	l.SetCold("a", h.now+10*time.Second, h.now)
	for range 8 {
		assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint("b"))
	}
	assert.Equal(t, h.submit(h.chatRequest()).Endpoint, id.Endpoint(""))
}

// TestAllColdServesInOrder covers a service whose endpoints are all cold. Requests that can wait for
// a token get theirs in order and are not refused later. The others are refused at once, and when they
// come back after the Retry-After, they are served.
func TestAllColdServesInOrder(t *testing.T) {
	for _, rate := range []float64{2, 6, 26} {
		h, l := coldHarness(t, coldstart.Config{Rate: rate}, 1, usableEndpoint("a", 8), usableEndpoint("b", 8), usableEndpoint("c", 8))
		for _, name := range []id.Endpoint{"a", "b", "c"} {
			l.SetCold(name, h.now+time.Hour, h.now)
		}
		perSecond := 3 * rate / 1.02
		var order, started []int
		refused := make(map[int]time.Duration)
		submit := func(i int) {
			r := h.chatRequest()
			h.scheduler.Submit(&Item{Request: r, Decided: func(d Decision) {
				if d.Endpoint == "" {
					assert.Equal(t, d.Reason, Overload)
					assert.Equal(t, d.Waited, time.Duration(0), "rate %v: request %d was refused after a wait", rate, i)
					refused[i] = d.RetryAfter
					return
				}
				started = append(started, i)
				h.scheduler.RecordFirstEvent(d.Endpoint, &r, 100*ms, h.now)
				h.scheduler.RecordEnd(d.Endpoint, &r, true, 100*ms, h.now)
			}}, h.now)
		}
		n := int(4 * perSecond)
		for i := range n {
			submit(i)
			if _, ok := refused[i]; !ok {
				order = append(order, i)
			}
		}
		first := len(order)
		assert.Assert(t, float64(first) > 1.3*perSecond && float64(first) < 2*perSecond, "rate %v: %d of %d may wait", rate, first, n)
		var after time.Duration
		for _, d := range refused {
			after = max(after, d)
		}
		assert.Assert(t, after > 1800*ms && after < 2200*ms, "%v", after)
		began := h.now
		for h.now < began+after {
			h.advance(10 * ms)
		}
		assert.DeepEqual(t, started, order)
		clear(refused)
		submit(n)
		h.advance(time.Duration(1.1 * 3 / perSecond * float64(time.Second)))
		assert.Equal(t, len(refused), 0, "the Retry-After was true")
		assert.Equal(t, started[len(started)-1], n)
	}
}

// TestAllColdWithoutShare covers an entry that has a share of no endpoint: it sends nothing, and its
// requests wait for the end of the cold time or are refused until then.
func TestAllColdWithoutShare(t *testing.T) {
	var name id.Endpoint
	for i := 0; ; i++ { // The first host has a share of 13 endpoints in 44.
		name = id.Endpoint(fmt.Sprintf("e%d", i))
		h, l := coldHarness(t, coldstart.Config{Rate: 26, Overage: 1.5, Slack: 5}, 44, usableEndpoint(string(name), 8))
		l.SetCold(name, h.now+3*time.Second, h.now)
		if _, ok := l.Interval(name, h.now); ok {
			continue
		}
		got := h.submit(h.chatRequest())
		assert.Equal(t, got.Reason, Overload)
		assert.Equal(t, got.RetryAfter, 3*time.Second)
		patient := h.chatRequest()
		patient.FirstEventDeadline = 0
		waits := h.submit(patient)
		for range 29 {
			h.advance(100 * ms)
			assert.Equal(t, *waits, Decision{})
		}
		h.advance(100 * ms)
		assert.Equal(t, waits.Endpoint, name)
		return
	}
}

// coldZone is a fleet that serves with some of its endpoints while a zone of others comes back, all
// of them cold. Entries know each other's loads by exchanges.
type coldZone struct {
	warm, cold, slots int
	// duration is the mean time for which a request runs, exponentially distributed.
	duration time.Duration
	// utilization is the load as a fraction of the slots of the warm endpoints.
	utilization float64
}

const (
	coldZoneBack   = 12 * time.Second // when the zone comes back
	coldZoneLength = 3 * time.Second  // for which it is cold
)

type coldZoneResult struct {
	requests, waited, refused int
	// most is the greatest number of starts at one cold endpoint in a second.
	most int
	// running holds the requests at the cold endpoints after each half second.
	running []int
}

func (z coldZone) run(seed uint64) (out coldZoneResult) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var (
		queue eventQueue
		now   time.Duration
	)
	after := func(d time.Duration, do func()) { heap.Push(&queue, event{now + d, do}) }
	fleet := coldFleet(coldHosts)
	list := make([]Endpoint, z.warm+z.cold)
	for i := range list {
		list[i] = usableEndpoint(fmt.Sprintf("e%02d", i), z.slots)
		list[i].Usable = i < z.warm
	}
	isCold := make(map[id.Endpoint]bool)
	schedulers, limiters := make([]*Scheduler, coldHosts), make([]*coldstart.Limiter, coldHosts)
	for i := range schedulers {
		schedulers[i] = New(Config{RequestDuration: z.duration}, seed*100+uint64(i))
		schedulers[i].SetEndpoints(list)
		limiters[i] = coldstart.New(coldstart.Config{Rate: 26, Overage: 1.5, Slack: 5}, 0)
		limiters[i].SetFleet(fleet, fleet[i], 0)
		schedulers[i].SetColdLimit(limiters[i])
	}
	starts, running := make(map[id.Endpoint][]time.Duration), 0
	rate := z.utilization * float64(z.warm*z.slots) / z.duration.Seconds()
	var arrive func()
	arrive = func() {
		after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		i := rng.IntN(coldHosts)
		s := schedulers[i]
		r := Request{Arrival: now, Target: now + 500*ms, Deadline: now + 8*time.Second}
		out.requests++
		s.Submit(&Item{Request: r, Decided: func(d Decision) {
			if d.Endpoint == "" {
				out.refused++
				return
			}
			if d.Waited > 0 {
				out.waited++
			}
			if isCold[d.Endpoint] {
				starts[d.Endpoint] = append(starts[d.Endpoint], now)
				running++
			}
			s.RecordFirstEvent(d.Endpoint, &r, 100*ms, now+100*ms)
			took := time.Duration(rng.ExpFloat64() * float64(z.duration))
			after(took, func() {
				if isCold[d.Endpoint] {
					running--
				}
				s.RecordEnd(d.Endpoint, &r, true, took, now)
				s.Dispatch(now)
			})
		}}, now)
	}
	after(0, arrive)
	var exchange func()
	exchange = func() {
		after(100*ms, exchange)
		for _, e := range list {
			all := 0
			for _, s := range schedulers {
				all += s.OwnLoad(e.Name).Running
			}
			for _, s := range schedulers {
				s.SetPeerLoad(e.Name, Load{Running: all - s.OwnLoad(e.Name).Running})
			}
		}
		for _, s := range schedulers {
			s.Dispatch(now)
		}
	}
	after(0, exchange)
	after(coldZoneBack, func() {
		for i := z.warm; i < len(list); i++ {
			isCold[list[i].Name] = true
			for k, s := range schedulers {
				limiters[k].SetCold(list[i].Name, now+coldZoneLength, now)
				s.SetUsable(list[i].Name, true)
			}
		}
	})
	for i := range int(coldZoneLength / (500 * ms)) {
		after(coldZoneBack+time.Duration(i+1)*500*ms, func() { out.running = append(out.running, running) })
	}
	for len(queue) > 0 && queue[0].at < coldZoneBack+coldZoneLength {
		e := heap.Pop(&queue).(event)
		now = e.at
		e.do()
	}
	for _, times := range starts {
		first := 0
		for last := range times {
			for times[last]-times[first] > time.Second {
				first++
			}
			out.most = max(out.most, last-first+1)
		}
	}
	return out
}

// TestZoneComesBackCold covers a zone of 21 endpoints that comes back cold at once while 43 others
// serve all requests: none waits or is refused because of the cold ones, no cold one gets more than
// it tolerates, and they fill in steps.
func TestZoneComesBackCold(t *testing.T) {
	for _, z := range []coldZone{
		{slots: 12, duration: 1500 * ms, utilization: 0.4},
		{slots: 12, duration: 1500 * ms, utilization: 0.7},
		{slots: 12, duration: 300 * ms, utilization: 0.85},
		{slots: 48, duration: 4 * time.Second, utilization: 0.7},
		{slots: 48, duration: 4 * time.Second, utilization: 0.9},
	} {
		z.warm, z.cold = 43, 21
		got := z.run(1)
		t.Logf("%+v: %+v", z, got)
		assert.Assert(t, got.requests > 1000)
		assert.Equal(t, got.waited, 0)
		assert.Equal(t, got.refused, 0)
		assert.Assert(t, got.most <= 26, "%d requests in a second", got.most)
		for i, n := range got.running {
			// Each half second adds at most one request of each share, and the one at its end.
			assert.Assert(t, n <= z.cold*13*(i+2), "%v", got.running)
		}
		if z.slots < 48 {
			continue // A few requests at each cold endpoint even out the costs.
		}
		// They fill for a second, until their costs equal those of the others, and stay so.
		assert.Assert(t, 2*got.running[1] > 3*got.running[0], "%v", got.running)
		for _, n := range got.running[2:] {
			assert.Assert(t, 10*n > 9*got.running[1], "%v", got.running)
		}
	}
}
