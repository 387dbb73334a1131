package route_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinford/siskinford/balance/admit"
	"github.com/siskinford/siskinford/balance/prefix"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
)

// The model below runs in virtual time: endpoints with slots and a FIFO queue,
// entries with a table each, and reports that are late, lost or wrong.

const (
	simService     = id.Service("s")
	simStep        = 20 * time.Millisecond
	simBlock       = 64  // tokens
	simPrefill     = 256 // tokens per step
	simSlots       = 8
	simNetwork     = time.Millisecond
	simCrossZone   = 1500 * time.Microsecond
	simGiveUp      = 2 * time.Second // after which an answer from a lost endpoint is given up
	simReportEvery = 100 * time.Millisecond
	simWarmUp      = 1500 * time.Millisecond // until the most delayed reports have arrived
)

var simEpoch = time.Unix(1_000_000, 0)

// scenario is one experiment.
type scenario struct {
	name     string
	policy   route.Policy
	seed     uint64
	duration time.Duration
	load     func(t time.Duration) float64 // offered load relative to capacity
	heavy    bool                          // 3 in 100 requests are 50 times longer

	lag      time.Duration // of reports
	lostPart float64       // of reports
	slow     int           // endpoint that is slower by a factor of 5, -1 for none
	hidden   bool          // the slow endpoint reports the usual step time
	liar     int           // endpoint that always reports idle, -1 for none
	failing  float64       // part of the endpoints that refuse all work
	lostZone id.Zone       // lost at half time
	perZone  int           // entries in each zone, 1 if zero
	choices  int           // random candidates, the default if zero
	uneven   bool          // a second entry in the first zone doubles that zone's load
	prefixes bool
	gaps     bool // cache events are lost now and then

	admit    bool
	deadline time.Duration
	teams    []team
	budget   bool
}

// team offers a part of the load.
type team struct {
	name   id.Team
	weight float64
	part   float64
}

// job is one request.
type job struct {
	prompt   []uint64
	answer   int
	team     id.Team
	arrived  time.Duration
	deadline time.Duration
	tries    int
	tried    []id.Endpoint
}

func (j *job) work() uint32 { return uint32(len(j.prompt)*simBlock + j.answer) }

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// backend is one endpoint.
type backend struct {
	route.Endpoint
	index   int
	step    time.Duration
	lost    bool
	failing bool
	queue   []*run
	queued  uint64 // tokens of the queue
	running map[*run]bool
	cached  []uint64 // oldest first
	events  []prefix.Event
	seq     uint64
	reports uint64
}

// run is one attempt at an endpoint.
type run struct {
	job   *job
	entry *frontend
	c     route.Choice
	sent  time.Duration
	ends  time.Duration
}

// frontend is one entry.
type frontend struct {
	zone   id.Zone
	table  *route.Table
	picker route.Picker
	index  *prefix.Index
	admit  *admit.Controller
	budget *retry.Budget
}

// result is what one run measured. Late first tokens count, those after the end as well.
type result struct {
	first     []time.Duration // time to first token, of arrivals that got one
	arrivals  int
	good      int // first token before the deadline
	served    int // first tokens before the end of the arrivals
	refused   int
	failed    int
	tries     int
	firsts    int
	perTarget map[id.Endpoint]int
	teamWork  map[id.Team]float64
	cached    int
	blocks    int
}

func (r *result) quantile(q float64) time.Duration {
	if len(r.first) == 0 {
		return 0
	}
	slices.Sort(r.first)
	return r.first[int(q*float64(len(r.first)-1))].Round(time.Millisecond)
}

type sim struct {
	scenario
	rng       *rand.Rand
	now       time.Duration
	seq       int
	queue     events
	backends  []*backend
	frontends []*frontend
	result    result
}

func (s *sim) clock() time.Time { return simEpoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

var simZones = []id.Zone{"a", "b", "c"}

// simulate runs a scenario with 16 endpoints in three zones and one entry in each.
func simulate(c scenario) *result {
	s := &sim{scenario: c, rng: rand.New(rand.NewPCG(c.seed, 77))}
	s.result.perTarget = map[id.Endpoint]int{}
	s.result.teamWork = map[id.Team]float64{}
	if s.deadline == 0 {
		s.deadline = 2 * time.Second
	}
	if len(s.teams) == 0 {
		s.teams = []team{{name: "t", weight: 1, part: 1}}
	}
	var endpoints []route.Endpoint
	for i := range 16 {
		e := route.Endpoint{Name: id.Endpoint(fmt.Sprintf("e%02d", i)), Service: simService, Zone: simZones[i%3], Weight: 1}
		endpoints = append(endpoints, e)
		b := &backend{Endpoint: e, index: i, step: simStep, running: map[*run]bool{}}
		if i == s.slow {
			b.step = 5 * simStep
		}
		b.failing = float64(i) < s.failing*16
		s.backends = append(s.backends, b)
	}
	entries := 3 * max(s.perZone, 1)
	if s.uneven {
		entries = 4
	}
	for i := range entries {
		s.addEntry(simZones[i%3], endpoints)
	}
	for i, b := range s.backends {
		s.after(time.Duration(i)*simReportEvery/16, func() { s.report(b) })
	}
	if s.lostZone != "" {
		s.after(s.duration/2, s.loseZone)
	}
	s.after(simWarmUp, s.arrive)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > s.duration+20*time.Second {
			break
		}
		s.now = e.at
		e.do()
	}
	return &s.result
}

func (s *sim) addEntry(zone id.Zone, endpoints []route.Endpoint) {
	cfg := route.Config{Start: simEpoch, Rand: s.rng.Uint64, BlockTokens: simBlock, PrefillRate: simPrefill, Choices: s.choices}
	f := &frontend{zone: zone, index: prefix.NewIndex(prefix.Config{})}
	if s.prefixes {
		cfg.Prefixes = f.index
	}
	f.table = route.NewTable(cfg)
	f.table.SetEndpoints(endpoints, simEpoch)
	f.picker, _ = route.New(s.policy, f.table)
	f.admit = admit.New(admit.Config{Rand: s.rng.Float64})
	var teams []admit.Team
	for _, t := range s.teams {
		teams = append(teams, admit.Team{Name: t.name, Weight: t.weight})
	}
	f.admit.SetTeams(teams)
	f.budget = retry.NewBudget(retry.Config{Rand: s.rng.Float64})
	s.frontends = append(s.frontends, f)
}

// meanService is the mean time that a request occupies a slot.
func (s *sim) meanService() time.Duration {
	answer := simMeanAnswer
	if s.heavy {
		answer *= 1 + 0.03*49
	}
	return time.Duration((1 + simMeanBlocks*simBlock/simPrefill + answer) * float64(simStep))
}

const (
	simMeanAnswer = 32.0
	simMeanBlocks = 8.0
)

func (s *sim) capacity() float64 { // requests per second
	return 16 * simSlots / s.meanService().Seconds()
}

func (s *sim) arrive() {
	if s.now >= s.duration {
		return
	}
	rate := s.capacity() * s.load(s.now)
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	j := &job{arrived: s.now, deadline: s.now + s.deadline, answer: 4 + int(s.rng.ExpFloat64()*(simMeanAnswer-4))}
	if s.heavy && s.rng.IntN(100) < 3 {
		j.answer *= 50
	}
	j.team = s.pickTeam()
	j.prompt = s.prompt()
	s.result.arrivals++
	s.try(s.pickEntry(), j)
}

// pickEntry draws an entry in the zone of a random endpoint, so that the
// zones' loads relate as their capacities, or any entry if they shall not.
func (s *sim) pickEntry() *frontend {
	for {
		f := s.frontends[s.rng.IntN(len(s.frontends))]
		if s.lostZone == f.zone && s.now >= s.duration/2 {
			continue
		}
		if s.uneven || f.zone == s.backends[s.rng.IntN(len(s.backends))].Zone {
			return f
		}
	}
}

// pickTeam draws a team by its part.
func (s *sim) pickTeam() id.Team {
	x := s.rng.Float64()
	for _, t := range s.teams {
		if x -= t.part; x < 0 {
			return t.name
		}
	}
	return s.teams[0].name
}

// prompt returns 8 blocks on average. With prefix reuse 4 of 5 prompts continue
// one of 48 long conversations.
func (s *sim) prompt() []uint64 {
	if s.prefixes && s.rng.IntN(5) > 0 {
		talk := uint64(s.rng.IntN(48))
		blocks := make([]uint64, 8+s.rng.IntN(16))
		for i := range blocks {
			blocks[i] = talk<<16 + uint64(i) + 1
		}
		return blocks
	}
	blocks := make([]uint64, 4+s.rng.IntN(9))
	for i := range blocks {
		blocks[i] = s.rng.Uint64()
	}
	return blocks
}

func (s *sim) try(f *frontend, j *job) {
	c, err := f.picker.Pick(route.Request{
		Service: simService, Zone: f.zone, Work: j.work(), PromptBlocks: j.prompt, Exclude: j.tried, Now: s.clock(),
	})
	if err != nil {
		s.result.failed++
		return
	}
	if s.admit && j.tries == 0 {
		err := f.admit.Admit(admit.Request{
			Team: j.team, Tokens: float64(j.answer), Expected: c.Expected,
			Deadline: simEpoch.Add(j.deadline), Now: s.clock(),
		})
		var refused *admit.RefusedError
		if errors.As(err, &refused) {
			s.result.refused++
			return
		}
	}
	if j.tries == 0 {
		f.budget.FirstTry()
		s.result.firsts++
	}
	j.tries++
	s.result.tries++
	s.result.perTarget[c.Endpoint]++
	f.table.Started(c, s.clock())
	r := &run{job: j, entry: f, c: c, sent: s.now}
	s.after(s.distance(f, c), func() { s.receive(s.backend(c.Endpoint), r) })
}

func (s *sim) distance(f *frontend, c route.Choice) time.Duration {
	if c.Zone == f.zone {
		return simNetwork / 2
	}
	return simCrossZone
}

func (s *sim) backend(e id.Endpoint) *backend {
	i := slices.IndexFunc(s.backends, func(b *backend) bool { return b.Name == e })
	return s.backends[i]
}

func (s *sim) receive(b *backend, r *run) {
	switch {
	case b.lost:
		s.after(simGiveUp, func() { s.lose(r) })
	case b.failing:
		s.after(s.distance(r.entry, r.c), func() { s.refuse(r) })
	default:
		b.queue = append(b.queue, r)
		b.queued += uint64(r.job.work())
		s.start(b)
	}
}

func (s *sim) lose(r *run) {
	r.entry.table.Failed(r.c, s.clock())
	r.entry.table.Finished(r.c, s.clock())
	s.result.failed++
}

// refuse handles an endpoint's refusal, which is known as not run.
func (s *sim) refuse(r *run) {
	r.entry.table.Finished(r.c, s.clock())
	r.entry.table.Failed(r.c, s.clock())
	r.job.tried = append(r.job.tried, r.c.Endpoint)
	if !s.budget {
		s.after(0, func() { s.try(r.entry, r.job) })
		return
	}
	delay, ok := r.entry.budget.Decide(retry.Attempt{
		Outcome: outcome.NotRun, Tries: r.job.tries, Deadline: simEpoch.Add(r.job.deadline), Now: s.clock(),
	})
	if !ok {
		s.result.failed++
		return
	}
	s.after(delay, func() { s.try(r.entry, r.job) })
}

// start fills the free slots of an endpoint.
func (s *sim) start(b *backend) {
	for len(b.queue) > 0 && len(b.running) < simSlots {
		r := b.queue[0]
		b.queue = b.queue[1:]
		b.queued -= uint64(r.job.work())
		b.running[r] = true
		hit := b.hit(r.job.prompt)
		s.result.cached += hit
		s.result.blocks += len(r.job.prompt)
		steps := 1 + (len(r.job.prompt)-hit)*simBlock/simPrefill
		first := time.Duration(steps) * b.step
		r.ends = s.now + first + time.Duration(r.job.answer)*b.step
		s.after(first, func() { s.first(b, r) })
		s.after(r.ends-s.now, func() { s.end(b, r) })
	}
}

func (s *sim) first(b *backend, r *run) {
	b.store(r.job.prompt)
	if b.lost {
		return
	}
	s.after(s.distance(r.entry, r.c), func() {
		seen := s.now - r.sent
		r.entry.table.Observe(r.c, seen, s.clock())
		r.entry.admit.Observe(r.c.Expected, seen, s.clock())
		total := s.now - r.job.arrived
		s.result.first = append(s.result.first, total)
		if s.now <= r.job.deadline {
			s.result.good++
		}
		if s.now < s.duration {
			s.result.served++
			s.result.teamWork[r.job.team] += float64(r.job.answer)
		}
	})
}

func (s *sim) end(b *backend, r *run) {
	delete(b.running, r)
	if b.lost {
		s.after(simGiveUp, func() { r.entry.table.Finished(r.c, s.clock()) })
		return
	}
	s.after(s.distance(r.entry, r.c), func() { r.entry.table.Finished(r.c, s.clock()) })
	s.start(b)
}

func (s *sim) loseZone() {
	for _, b := range s.backends {
		if b.Zone != s.lostZone {
			continue
		}
		b.lost = true
		for _, r := range b.queue {
			s.after(simGiveUp, func() { s.lose(r) })
		}
		b.queue = nil
	}
}

const simCacheBlocks = 256

func (b *backend) hit(prompt []uint64) int {
	n := 0
	for n < len(prompt) && slices.Contains(b.cached, prompt[n]) {
		n++
	}
	return n
}

// store caches the blocks of a prompt and evicts the least recently used ones.
func (b *backend) store(prompt []uint64) {
	for i := len(prompt) - 1; i >= 0; i-- {
		block := prompt[i]
		if at := slices.Index(b.cached, block); at >= 0 {
			b.cached = slices.Delete(b.cached, at, at+1)
		} else {
			b.event(prefix.Event{Block: block})
		}
		b.cached = append(b.cached, block)
	}
	for len(b.cached) > simCacheBlocks {
		b.event(prefix.Event{Block: b.cached[0], Evicted: true})
		b.cached = b.cached[1:]
	}
}

func (b *backend) event(e prefix.Event) {
	b.seq++
	e.Seq = b.seq
	b.events = append(b.events, e)
}

// report sends the load and the cache events to all entries.
func (s *sim) report(b *backend) {
	if s.now > s.duration+10*time.Second || b.lost {
		return
	}
	s.after(simReportEvery, func() { s.report(b) })
	b.reports++
	r := route.Report{
		Endpoint: b.Name, Incarnation: "i", Seq: b.reports, Healthy: true, Slots: simSlots, StepTime: b.step,
		Queued: uint32(len(b.queue)), QueuedTokens: b.queued, Running: uint32(len(b.running)), Age: s.lag,
	}
	if s.hidden {
		r.StepTime = simStep
	}
	for q := range b.running {
		r.RunningTokens += uint64(max(q.ends-s.now, 0) / b.step)
	}
	if b.index == s.liar {
		r.Queued, r.Running, r.QueuedTokens, r.RunningTokens = 0, 0, 0, 0
	}
	changes := b.events
	b.events = nil
	for _, f := range s.frontends {
		if s.rng.Float64() < s.lostPart {
			continue
		}
		lost := s.gaps && s.rng.IntN(50) == 0
		s.after(s.lag+simNetwork, func() {
			f.table.Report(r, s.clock())
			if !lost && !f.index.Apply(b.Name, "i", changes) && len(changes) > 0 {
				s.resync(f, b)
			}
		})
	}
}

// resync sends the whole cache to an entry that missed events.
func (s *sim) resync(f *frontend, b *backend) {
	s.after(time.Second, func() {
		seq := b.seq - uint64(len(b.events))
		f.index.Snapshot(b.Name, "i", seq, b.cached)
	})
}

func constant(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

// swing rises by a factor of 4 within 2 s and falls again.
func swing(low float64, rise, length time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		up := float64(t-rise) / float64(2*time.Second)
		down := float64(rise+length-t) / float64(2*time.Second)
		return low * (1 + 3*math.Max(0, math.Min(1, math.Min(up, down))))
	}
}
