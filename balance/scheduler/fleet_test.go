package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// fleetModel is a fleet of entries in virtual time that share endpoints. Each entry has its own
// scheduler and learns the loads of the others by exchanges at an interval.
type fleetModel struct {
	entries, endpoints, slots int
	// rate is that of all requests together, per second.
	rate float64
	// duration is the mean time for which a request runs, exponentially distributed.
	duration time.Duration
	// exchange is the interval between exchanges of loads.
	exchange time.Duration
	// unshared is true if no endpoint is preferred.
	unshared bool
	// clients is the mean number of clients of an entry; the platform divides them unevenly.
	clients float64
	// swing is the amplitude of a wave over the zones, whose crests come one after the other.
	swing float64
	// length is the simulated time.
	length time.Duration
}

// fleetResult are the averages over the samples of a run.
type fleetResult struct {
	// busiest is the load of the busiest endpoint relative to the mean load.
	busiest float64
	// overfull is the fraction of the running requests beyond the slots of their endpoints.
	overfull float64
	// refused and late are fractions of the requests.
	refused, late float64
}

func (r fleetResult) String() string {
	return fmt.Sprintf("busiest endpoint %.2f of the mean, %.1f %% beyond the slots, %.1f %% refused, %.1f %% late", r.busiest, 100*r.overfull, 100*r.refused, 100*r.late)
}

// event is something that happens at a time of the model.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Parameters of the wave over the zones.
const (
	modelZones  = 5
	wavePeriod  = 15 * time.Second
	waveStagger = 0.08 // of the period, between zones
)

// entryOf draws the entry of a request that arrives at a time.
func (m fleetModel) entryOf(rng *rand.Rand, weights []float64, now time.Duration) int {
	for {
		i := rng.IntN(len(weights))
		phase := float64(now)/float64(wavePeriod) + waveStagger*float64(i%modelZones)
		weight := weights[i] * (1 + m.swing*math.Sin(2*math.Pi*phase))
		if rng.Float64()*4*max(m.clients, 1) < weight {
			return i
		}
	}
}

func (m fleetModel) run(seed uint64) fleetResult {
	rng := rand.New(rand.NewPCG(seed, 11))
	var (
		queue eventQueue
		now   time.Duration
	)
	after := func(d time.Duration, do func()) { heap.Push(&queue, event{now + d, do}) }
	names := make([]id.Endpoint, m.endpoints)
	schedulers := make([]*Scheduler, m.entries)
	for i := range names {
		names[i] = id.Endpoint(fmt.Sprintf("e%03d", i))
	}
	for i := range schedulers {
		schedulers[i] = New(Config{RequestDuration: m.duration}, seed*1000+uint64(i))
		list := make([]Endpoint, m.endpoints)
		for j, name := range names {
			list[j] = Endpoint{Name: name, Slots: m.slots, Usable: true, Preferred: !m.unshared && j*m.entries/m.endpoints == i}
		}
		schedulers[i].SetEndpoints(list)
	}
	// reported holds the loads that each entry last sent to the others.
	reported := make([][]Load, m.entries)
	for i := range reported {
		reported[i] = make([]Load, m.endpoints)
	}
	weights := make([]float64, m.entries)
	for i := range weights {
		weights[i] = 1
		if m.clients > 0 {
			weights[i] = max(0, m.clients+math.Sqrt(m.clients)*rng.NormFloat64())
		}
	}
	running := make(map[id.Endpoint]int)
	var requests, refused, late, total, beyond, samples int
	var busiest float64
	var arrive func()
	arrive = func() {
		after(time.Duration(rng.ExpFloat64()/m.rate*float64(time.Second)), arrive)
		requests++
		s := schedulers[m.entryOf(rng, weights, now)]
		r := Request{Arrival: now, Target: now + 600*ms, FirstEventDeadline: now + 2100*ms, Deadline: now + 8*time.Second, PromptTokens: 800}
		s.Submit(&Item{Request: r, Decided: func(d Decision) {
			if d.Endpoint == "" {
				refused++
				return
			}
			if d.Late {
				late++
			}
			started := now
			running[d.Endpoint]++
			after(100*ms, func() { s.RecordFirstEvent(d.Endpoint, &r, now-started, now) })
			after(100*ms+time.Duration(rng.ExpFloat64()*float64(m.duration)), func() {
				running[d.Endpoint]--
				s.RecordEnd(d.Endpoint, &r, true, now-started, now)
				s.Dispatch(now)
			})
		}}, now)
	}
	exchange := func(i int) func() {
		var f func()
		f = func() {
			after(m.exchange, f)
			for j, name := range names {
				reported[i][j] = schedulers[i].OwnLoad(name)
			}
			for j, name := range names {
				var sum Load
				for k := range schedulers {
					if k != i {
						sum.Running += reported[k][j].Running
						sum.PromptTokens += reported[k][j].PromptTokens
					}
				}
				schedulers[i].SetPeerLoad(name, sum)
			}
			schedulers[i].Dispatch(now)
		}
		return f
	}
	var sample func()
	sample = func() {
		after(50*ms, sample)
		if now < m.length/4 {
			return
		}
		most, sum := 0, 0
		for _, n := range running {
			most = max(most, n)
			sum += n
			beyond += max(n-m.slots, 0)
		}
		total += sum
		if sum > 0 {
			busiest += float64(most) * float64(m.endpoints) / float64(sum)
			samples++
		}
	}
	after(0, arrive)
	after(0, sample)
	for i := range schedulers {
		after(time.Duration(rng.Float64()*float64(m.exchange)), exchange(i))
	}
	for len(queue) > 0 && queue[0].at < m.length {
		e := heap.Pop(&queue).(event)
		now = e.at
		e.do()
	}
	return fleetResult{
		busiest: busiest / float64(samples), overfull: float64(beyond) / float64(total),
		refused: float64(refused) / float64(requests), late: float64(late) / float64(requests),
	}
}

// lateKnowledge is a fleet like a large deployment's at its mean load: many entries with few
// clients each, waves over the zones, and loads of the others that are up to 0.8 s old.
func lateKnowledge() fleetModel {
	return fleetModel{
		entries: 60, endpoints: 192, slots: 6, rate: 411, duration: 1800 * ms, exchange: 800 * ms, length: 20 * time.Second, clients: 8.75, swing: 0.55,
	}
}

// TestLateLoadsDoNotOverfillEndpoints covers the herd of many entries that all know the same
// outdated loads: without shares, each sends its requests to the endpoints that were the least
// loaded ones, a quarter of the requests queue there, and places elsewhere stay free.
func TestLateLoadsDoNotOverfillEndpoints(t *testing.T) {
	for _, rate := range []float64{250, 411, 530} {
		m := lateKnowledge()
		m.rate = rate
		shared := m.run(1)
		m.unshared = true
		all := m.run(1)
		t.Logf("%v requests per second: %v; all endpoints shared: %v", rate, shared, all)
		assert.Assert(t, shared.overfull < all.overfull/4)
		assert.Assert(t, shared.busiest < all.busiest*2/3)
		assert.Equal(t, shared.refused, 0.0)
	}
}

// TestSharesServeUnevenEntries checks that an entry with many times the clients of others uses
// their endpoints too.
func TestSharesServeUnevenEntries(t *testing.T) {
	m := lateKnowledge()
	m.clients = 1 // Some entries have none, some several.
	got := m.run(2)
	assert.Assert(t, got.overfull < 0.05, "%v", got)
	assert.Equal(t, got.refused, 0.0)
}
