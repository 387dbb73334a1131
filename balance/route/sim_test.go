package route_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinford/siskinford/balance/admit"
	"github.com/siskinford/siskinford/balance/prefix"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
)

// A discrete-event simulation in virtual time: endpoints with slots and a FIFO
// queue, entries with a table each, and reports that are late, lost or wrong.

const (
	simService     = id.Service("s")
	simStep        = 20 * time.Millisecond
	simBlock       = 64  // tokens
	simPrefill     = 256 // tokens per step
	simSlots       = 8
	simNetwork     = time.Millisecond
	simCrossZone   = 1500 * time.Microsecond
	simLostTimeout = 2 * time.Second // after which a request to a lost endpoint fails
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

	lag          time.Duration // of reports
	lostFraction float64       // of reports
	slow         int           // endpoint that is slower by a factor of 5, -1 for none
	hidden       bool          // the slow endpoint reports the usual step time
	misreporting int           // endpoint that always reports idle, -1 for none
	failing      float64       // fraction of the endpoints that refuse all requests
	lostZone     id.Zone       // lost at half time
	perZone      int           // entries in each zone, 1 if zero
	choices      int           // random candidates, the default if zero
	uneven       bool          // a second entry in the first zone doubles that zone's load
	prefixes     bool
	gaps         bool // some cache events are lost

	admit    bool
	deadline time.Duration
	teams    []team
	budget   bool
}

// team offers a fraction of the load.
type team struct {
	name     id.Team
	weight   float64
	fraction float64
}

// job is one request.
type job struct {
	prompt   []uint64
	answer   int
	team     id.Team
	arrived  time.Duration
	deadline time.Duration
	attempts int
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

// frontend is one entry.
type frontend struct {
	zone   id.Zone
	table  *route.Table
	picker route.Picker
	index  *prefix.Index
	admit  *admit.Controller
	budget *retry.Budget
}

// result holds the measurements of one run, including first tokens that are late or
// come after the end of the arrivals.
type result struct {
	first     []time.Duration // time to first token, of arrivals that got one
	arrivals  int
	good      int // first token before the deadline
	served    int // first tokens before the end of the arrivals
	refused   int
	failed    int
	attempts  int
	requests  int
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
		s.teams = []team{{name: "t", weight: 1, fraction: 1}}
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
	cfg := route.Config{Start: simEpoch, Rand: s.rng.Uint64, BlockTokens: simBlock, PrefillTokensPerStep: simPrefill, RandomCandidates: s.choices}
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

const (
	simMeanAnswer = 32.0
	simMeanBlocks = 8.0
)

func (s *sim) try(f *frontend, j *job) {
	c, err := f.picker.Pick(route.Request{
		Service: simService, Zone: f.zone, Work: j.work(), PromptBlocks: j.prompt, Exclude: j.tried, Now: s.clock(),
	})
	if err != nil {
		s.result.failed++
		return
	}
	if s.admit && j.attempts == 0 {
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
	if j.attempts == 0 {
		f.budget.RecordRequest()
		s.result.requests++
	}
	j.attempts++
	s.result.attempts++
	s.result.perTarget[c.Endpoint]++
	f.table.RecordStart(c, s.clock())
	r := &run{job: j, entry: f, c: c, sent: s.now}
	s.after(s.distance(f, c), func() { s.receive(s.backend(c.Endpoint), r) })
}

func (s *sim) distance(f *frontend, c route.Choice) time.Duration {
	if c.Zone == f.zone {
		return simNetwork / 2
	}
	return simCrossZone
}
