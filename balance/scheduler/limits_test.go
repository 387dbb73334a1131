package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/capacity"
	"github.com/siskinford/siskinford/core/id"
)

// server is an endpoint of limitsModel: slots that run requests, and a queue.
type server struct {
	// speed is the time of a request relative to the usual one, at a time and a number of
	// running requests.
	speed func(now time.Duration, running int) float64

	running []*job
	queue   []*job
	at      time.Duration
	// generation numbers the predictions of the next end.
	generation int
}

// job is a request at a server.
type job struct {
	work time.Duration
	done func()
}

// limitsModel is a service of plain endpoints in virtual time. Its entries learn limits, or not.
type limitsModel struct {
	entries int
	// servers are the speeds of the endpoints.
	servers []func(now time.Duration, running int) float64
	// rate is that of all requests together, per second, at a time.
	rate func(now time.Duration) float64
	// learn is true if the entries learn limits.
	learn bool
	// exchange is the interval between exchanges of loads. Default: 200 ms.
	exchange time.Duration
	// length is the simulated time; answers count from the time from on.
	length, from time.Duration
	// seeds is the number of seeds to average over. Default: 3.
	seeds int
	// lies returns the reports of an entry instead of its own, nil for its own.
	lies func(entry int) map[id.Endpoint]capacity.Report
}

const (
	modelSlots      = 6
	modelQueue      = 24
	modelOvercommit = 4
	modelWork       = 30 * time.Millisecond
	modelTarget     = 175 * time.Millisecond
)

// limitsResult are the averages over the requests that arrived in the counted time.
type limitsResult struct {
	// good, late and refused are fractions of the requests: answered on time, late and not.
	good, late, refused float64
	p50, p95            time.Duration
	// limits are the mean limits of the endpoints over the entries and samples, turns the mean number of
	// changes of direction of a limit at an entry per second.
	limits []float64
	turns  float64
	// idleWhileWaiting is the fraction of the samples in which a request waits at an entry although an endpoint has
	// a third of its slots free and runs one more request as fast.
	idleWhileWaiting float64
}

func (r limitsResult) String() string {
	return fmt.Sprintf("good %.1f %%, late %.1f %%, refused %.1f %%, p50 %v, p95 %v, limits %.1f, turns %.2f/s, idle while waiting %.1f %%",
		100*r.good, 100*r.late, 100*r.refused, r.p50.Round(time.Millisecond), r.p95.Round(time.Millisecond), r.limits, r.turns, 100*r.idleWhileWaiting)
}

func (m limitsModel) run(seed uint64) limitsResult {
	rng := rand.New(rand.NewPCG(seed, 23))
	var (
		queue eventQueue
		now   time.Duration
	)
	if m.exchange == 0 {
		m.exchange = 200 * ms
	}
	after := func(d time.Duration, do func()) { heap.Push(&queue, event{now + d, do}) }
	servers := make([]*server, len(m.servers))
	names := make([]id.Endpoint, len(m.servers))
	index := make(map[id.Endpoint]int)
	for i, f := range m.servers {
		servers[i], names[i] = &server{speed: f}, id.Endpoint(fmt.Sprintf("e%02d", i))
		index[names[i]] = i
	}
	// advance lets a server run until now, predicts its next end and starts queued requests.
	var advance func(v *server)
	advance = func(v *server) {
		if len(v.running) > 0 {
			progress := time.Duration(float64(now-v.at) / v.speed(v.at, len(v.running)))
			for _, j := range v.running {
				j.work -= progress
			}
		}
		v.at = now
		var done []*job
		v.running = slices.DeleteFunc(v.running, func(j *job) bool {
			if j.work <= time.Microsecond {
				done = append(done, j)
				return true
			}
			return false
		})
		for len(v.running) < modelSlots && len(v.queue) > 0 {
			v.running, v.queue = append(v.running, v.queue[0]), v.queue[1:]
		}
		v.generation++
		if len(v.running) > 0 {
			next := slices.MinFunc(v.running, func(a, b *job) int { return int(a.work - b.work) })
			generation := v.generation
			after(min(time.Duration(float64(next.work)*v.speed(now, len(v.running)))+time.Microsecond, 50*ms), func() {
				if v.generation == generation {
					advance(v)
				}
			})
		}
		for _, j := range done {
			j.done()
		}
	}
	schedulers, learners := make([]*Scheduler, m.entries), make([]*capacity.Learner, m.entries)
	list, learnt := make([]Endpoint, len(names)), make([]capacity.Endpoint, len(names))
	for i := range schedulers {
		schedulers[i] = New(Config{Overcommit: modelOvercommit, FirstEventLatency: 50 * ms, OutageDuration: time.Second}, seed*1000+uint64(i))
		for j, name := range names {
			list[j] = Endpoint{Name: name, Slots: modelSlots, Usable: true, Preferred: m.entries > 8 && i*len(names)/m.entries == j}
			learnt[j] = capacity.Endpoint{Name: name, Slots: modelSlots, Overcommit: modelOvercommit}
		}
		schedulers[i].SetEndpoints(list)
		learners[i] = capacity.New(capacity.Config{})
		learners[i].SetEndpoints(learnt)
		if m.learn {
			schedulers[i].SetLimits(learners[i])
		}
	}
	var (
		result                    limitsResult
		requests, good, late, out int
		times                     []time.Duration
	)
	finish := func(arrived time.Duration, answered bool) {
		onTime := answered && now-arrived <= modelTarget
		if arrived < m.from {
			return
		}
		requests++
		switch {
		case onTime:
			good++
		case answered:
			late++
		default:
			out++
		}
		if answered {
			times = append(times, now-arrived)
		}
	}
	var arrive func()
	arrive = func() {
		after(time.Duration(rng.ExpFloat64()/m.rate(now)*float64(time.Second)), arrive)
		i := rng.IntN(m.entries)
		s := schedulers[i]
		r := Request{Arrival: now, Target: now + modelTarget, Deadline: now + 600*ms}
		work := time.Duration(rng.ExpFloat64() * float64(modelWork))
		s.Submit(&Item{Request: r, Decided: func(d Decision) {
			if d.Endpoint == "" {
				finish(r.Arrival, false)
				return
			}
			v := servers[index[d.Endpoint]]
			started, concurrent := now, s.OwnLoad(d.Endpoint).Running
			if len(v.queue) >= modelQueue {
				s.RecordEnd(d.Endpoint, &r, false, 0, now)
				finish(r.Arrival, false)
				return
			}
			v.queue = append(v.queue, &job{work: work, done: func() {
				learners[i].Observe(d.Endpoint, (concurrent+s.OwnLoad(d.Endpoint).Running+1)/2, now-started, now)
				s.RecordFirstEvent(d.Endpoint, &r, now-started, now)
				s.RecordEnd(d.Endpoint, &r, true, now-started, now)
				finish(r.Arrival, true)
				after(0, func() { s.Dispatch(now) })
			}})
			after(0, func() { advance(v) })
		}}, now)
	}
	reported := make([][]Load, m.entries)
	reports := make([]map[id.Endpoint]capacity.Report, m.entries)
	usuals := make([]time.Duration, m.entries)
	for i := range reported {
		reported[i] = make([]Load, len(names))
	}
	exchange := func(i int) func() {
		var f func()
		f = func() {
			after(m.exchange, f)
			for j, name := range names {
				reported[i][j] = schedulers[i].OwnLoad(name)
			}
			reports[i], usuals[i] = learners[i].Reports(now), learners[i].Usual(now)
			if m.lies != nil && m.lies(i) != nil {
				reports[i], usuals[i] = m.lies(i), time.Microsecond
			}
			peers := make(map[id.Endpoint][]capacity.Report)
			for j, name := range names {
				var sum Load
				for k := range schedulers {
					if k == i {
						continue
					}
					sum.Running += reported[k][j].Running
					if r, ok := reports[k][name]; ok {
						peers[name] = append(peers[name], r)
					}
				}
				schedulers[i].SetPeerLoad(name, sum)
				learners[i].SetPeerLoad(name, sum.Running, now)
			}
			learners[i].SetPeers(peers, m.entries-1)
			learners[i].SetPeerUsual(slices.Delete(slices.Clone(usuals), i, i+1))
			schedulers[i].Dispatch(now)
		}
		return f
	}
	var dispatch func()
	dispatch = func() {
		after(10*ms, dispatch)
		for _, s := range schedulers {
			if s.Waiting() > 0 {
				s.Dispatch(now)
			}
		}
	}
	samples, idle := 0, 0
	sums := make([]float64, len(names))
	last, direction := make([]int, m.entries*len(names)), make([]int, m.entries*len(names))
	turns := 0
	var sample func()
	sample = func() {
		after(20*ms, sample)
		if now < m.from {
			return
		}
		samples++
		waiting := 0
		for i, l := range learners {
			waiting += schedulers[i].Waiting()
			for j, name := range names {
				limit := l.Limit(name, now)
				sums[j] += float64(limit) / float64(m.entries)
				k := i*len(names) + j
				if d := limit - last[k]; last[k] != 0 && d != 0 {
					if d*direction[k] < 0 {
						turns++
					}
					direction[k] = d
				}
				last[k] = limit
			}
		}
		if waiting > 0 && slices.ContainsFunc(servers, func(v *server) bool {
			n := len(v.running)
			return n <= modelSlots*2/3 && v.speed(now, n+2) <= v.speed(now, n)
		}) {
			idle++
		}
	}
	after(0, arrive)
	after(0, sample)
	after(0, dispatch)
	for i := range schedulers {
		after(time.Duration(rng.Float64()*float64(m.exchange)), exchange(i))
	}
	for len(queue) > 0 && queue[0].at < m.length {
		e := heap.Pop(&queue).(event)
		now = e.at
		e.do()
	}
	n := float64(requests)
	slices.Sort(times)
	result.good, result.late, result.refused = float64(good)/n, float64(late)/n, float64(out)/n
	result.p50, result.p95 = times[len(times)/2], times[len(times)*95/100]
	for _, sum := range sums {
		result.limits = append(result.limits, sum/float64(samples))
	}
	result.turns = float64(turns) / float64(m.entries*len(names)) / (m.length - m.from).Seconds()
	result.idleWhileWaiting = float64(idle) / float64(samples)
	return result
}

// constant returns the speed of an endpoint that takes factor times the usual time.
func constant(factor float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return factor }
}

// kneeAt returns the speed of an endpoint whose requests take longer by growth for each request beyond
// a number of them.
func kneeAt(knee int, growth float64) func(time.Duration, int) float64 {
	return func(_ time.Duration, n int) float64 { return 1 + growth*float64(max(n-knee, 0)) }
}

// changing returns the speed of an endpoint that changes at a time.
func changing(at time.Duration, before, then func(time.Duration, int) float64) func(time.Duration, int) float64 {
	return func(now time.Duration, n int) float64 {
		if now < at {
			return before(now, n)
		}
		return then(now, n)
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// compare runs a model without and with learnt limits, over several seeds.
func compare(t *testing.T, m limitsModel) (without, with limitsResult) {
	t.Helper()
	mean := func(learn bool) (sum limitsResult) {
		seeds := max(m.seeds, 3)
		m.learn = learn
		for seed := range uint64(seeds) {
			seeds := float64(seeds)
			r := m.run(seed + 1)
			sum.good += r.good / seeds
			sum.late += r.late / seeds
			sum.refused += r.refused / seeds
			sum.p50 += r.p50 / time.Duration(seeds)
			sum.p95 += r.p95 / time.Duration(seeds)
			sum.turns += r.turns / seeds
			sum.idleWhileWaiting += r.idleWhileWaiting / seeds
			if sum.limits == nil {
				sum.limits = make([]float64, len(r.limits))
			}
			for i, x := range r.limits {
				sum.limits[i] += x / seeds
			}
		}
		return sum
	}
	without, with = mean(false), mean(true)
	t.Logf("%d entries\n  without: %v\n  with:    %v", m.entries, without, with)
	return without, with
}

// speeds are those of the endpoints of a model.
type speeds = []func(now time.Duration, running int) float64

// limitsFleet returns a model of a fleet that is loaded to a good half of its capacity.
func limitsFleet(entries int, rate float64, servers speeds) limitsModel {
	return limitsModel{entries: entries, rate: steady(rate), servers: servers, length: 16 * time.Second, from: 4 * time.Second, seeds: 4}
}

// limitsFleets are the numbers of entries of the tests: few that each see much, and many that each see little.
var limitsFleets = []int{3, 15, 44}

// TestSlowEndpointGetsLess guards against equal shares for an endpoint that takes three times as long: a third of
// the requests are late there while the others have free slots.
func TestSlowEndpointGetsLess(t *testing.T) {
	t.Parallel()
	for _, n := range limitsFleets {
		without, with := compare(t, limitsFleet(n, 300, speeds{constant(1), constant(3), constant(1)}))
		assert.Assert(t, 1-with.good < 0.95*(1-without.good))
		assert.Assert(t, with.refused <= without.refused+0.005)
	}
}

// TestKneeBeforeFull guards against filling the slots of an endpoint whose requests take four times as long in
// six slots as in three, so that it serves half as many.
func TestKneeBeforeFull(t *testing.T) {
	t.Parallel()
	for _, n := range limitsFleets {
		without, with := compare(t, limitsFleet(n, 300, speeds{constant(1), kneeAt(3, 1), constant(1)}))
		assert.Assert(t, 1-with.good < 0.9*(1-without.good))
		assert.Assert(t, with.refused <= without.refused+0.005)
		if n == 3 { // Entries that see enough learn the limit.
			assert.Assert(t, with.limits[1] < with.limits[0]-1)
		}
	}
}

// TestZoneSlowerByHalf guards against equal shares if the endpoint of one of three zones takes twice as long.
func TestZoneSlowerByHalf(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 15} {
		without, with := compare(t, limitsFleet(n, 360, speeds{constant(1), constant(1), constant(2)}))
		assert.Assert(t, with.good > without.good+0.01)
	}
}

// TestZoneSlowerByHalfForManyEntries guards against a loss in the same case for entries that each see a fortieth of
// the requests: those that leave the slow endpoint crowd the others, whose loads they know too late.
func TestZoneSlowerByHalfForManyEntries(t *testing.T) {
	t.Parallel()
	m := limitsFleet(44, 360, speeds{constant(1), constant(1), constant(2)})
	m.seeds = 24 // With 4, the difference was -1.1 points for seeds 1 to 4 and +3.9 for seeds 101 to 104.
	without, with := compare(t, m)
	assert.Assert(t, with.good > without.good)
}

// TestChangeOfSpeedAtPeakLoad guards against a learner that holds on to what it learnt: at 80 % of the capacity, an endpoint
// becomes slow at 8 s, and one that was slow becomes fast.
func TestChangeOfSpeedAtPeakLoad(t *testing.T) {
	t.Parallel()
	for _, n := range limitsFleets {
		m := limitsFleet(n, 320, speeds{constant(1), changing(8*time.Second, constant(1), constant(3)), changing(8*time.Second, constant(3), constant(1))})
		m.length = 20 * time.Second
		for _, seconds := range []time.Duration{5, 12} { // Before the change, and from 4 s after it.
			m.from = seconds * time.Second
			without, with := compare(t, m)
			assert.Assert(t, with.good > without.good, "from %d s", seconds)
		}
	}
}

// TestAlikeEndpointsKeepTheirGain guards against limits and speeds that are read from noise: bursts, random work and
// loads of other entries that are known late look like slowness for a while.
func TestAlikeEndpointsKeepTheirGain(t *testing.T) {
	t.Parallel()
	for _, n := range limitsFleets {
		for _, rate := range []float64{300, 400, 560} { // 50 %, 67 % and 93 % of the capacity.
			m := limitsFleet(n, rate, speeds{constant(1), constant(1), constant(1)})
			m.seeds = 8
			without, with := compare(t, m)
			assert.Assert(t, with.good > without.good-0.015, "%v requests per second", rate)
			assert.Assert(t, with.refused < without.refused+0.01, "%v requests per second", rate)
		}
	}
}

// TestManyEntriesDoNotOscillate guards against entries that learn the same at once and all turn from one endpoint to the next.
func TestManyEntriesDoNotOscillate(t *testing.T) {
	t.Parallel()
	without, with := compare(t, limitsFleet(44, 300, speeds{constant(1), constant(3), constant(1)}))
	assert.Assert(t, with.turns < 0.5, "each limit changes its direction at most every two seconds")
	assert.Assert(t, with.idleWhileWaiting <= without.idleWhileWaiting)
}

// TestFalseReportsOfOneEntry guards against one faulty entry that keeps the fleet from its endpoints.
func TestFalseReportsOfOneEntry(t *testing.T) {
	t.Parallel()
	for _, n := range limitsFleets {
		m := limitsFleet(n, 300, speeds{constant(1), constant(1), constant(1)})
		_, honest := compare(t, m)
		m.lies = func(entry int) map[id.Endpoint]capacity.Report {
			if entry != 0 {
				return nil
			}
			return map[id.Endpoint]capacity.Report{"e00": 0xf1, "e01": 0xf1}
		}
		_, lied := compare(t, m)
		assert.Assert(t, lied.good > honest.good-0.01)
	}
}

// TestLimitsRemoveCandidatesOnly checks that a learnt limit is never above the configured one nor below one, and that
// an endpoint which gets no requests for another reason gets none by its speed.
func TestLimitsRemoveCandidatesOnly(t *testing.T) {
	s := New(Config{Overcommit: 2, MaxUtilization: 10}, 1)
	s.SetEndpoints([]Endpoint{{Name: "a", Slots: 2, Usable: true}, {Name: "b", Slots: 2}})
	for _, c := range []struct{ learnt, want int }{{100, 4}, {4, 4}, {3, 3}, {1, 1}, {0, 1}, {-5, 1}} {
		s.SetLimits(fixedLimits(c.learnt))
		assert.Equal(t, s.freeCapacity(0), c.want)
		started := 0
		for range 10 {
			r := Request{Target: time.Second, Deadline: time.Second}
			s.Submit(&Item{Request: r, Decided: func(d Decision) {
				if d.Endpoint != "" {
					assert.Equal(t, d.Endpoint, id.Endpoint("a"))
					started++
				}
			}}, 0)
		}
		assert.Equal(t, started, c.want)
		assert.Equal(t, s.freeCapacity(0), 0)
		for range started {
			s.RecordEnd("a", &Request{}, true, 0, 0)
		}
		for len(s.waiting) > 0 {
			s.Withdraw(s.waiting[0])
		}
	}
}

// fixedLimits is the limit of each endpoint. All are far faster than usual.
type fixedLimits int

func (f fixedLimits) Limit(id.Endpoint, time.Duration) int           { return int(f) }
func (fixedLimits) Relative(id.Endpoint, int, time.Duration) float64 { return 0.01 }

// TestSlowRankCountsOnce guards against a slow rank whose slowdown multiplies that of its group, which it causes.
func TestSlowRankCountsOnce(t *testing.T) {
	s := New(Config{}, 1)
	s.SetEndpoints([]Endpoint{{Name: "slow", Slots: 10, Usable: true}, {Name: "other", Slots: 10, Usable: true}})
	l := capacity.New(capacity.Config{})
	l.SetEndpoints([]capacity.Endpoint{
		{Name: "slow", Slots: 10, Shared: true}, {Name: "other", Slots: 10, Shared: true}, {Name: "x", Slots: 10, Shared: true}, {Name: "y", Slots: 10, Shared: true},
	})
	s.SetLimits(l)
	for name, group := range map[id.Endpoint]id.Group{"slow": "g", "other": "g", "x": "h", "y": "i"} {
		l.SetGroup(name, group)
	}
	now := time.Duration(0)
	for i := range 300 {
		now += 10 * ms
		l.Observe("other", 5, time.Duration(38+i%5)*ms, now)
		l.Observe("x", 5, time.Duration(19+i%3)*ms, now)
		l.Observe("y", 5, time.Duration(19+i%3)*ms, now)
	}
	s.SetSlowdown("slow", 2)
	assert.Assert(t, s.cost(s.byName["other"], now) > 1.8*s.cost(&endpoint{Endpoint: Endpoint{Name: "x", Slots: 10, Usable: true}, slowdown: 1}, now))
	assert.Assert(t, s.cost(s.byName["slow"], now) < 1.05*s.cost(s.byName["other"], now))
	assert.Equal(t, s.limit(s.byName["other"], now), 10, "a rank is slow because its group is")
}
