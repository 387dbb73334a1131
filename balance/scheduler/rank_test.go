package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// loadClass is a class of requests in a contentionModel.
type loadClass struct {
	priority int
	// rate is the number of first tries per second over all entries.
	rate float64
	// target is the time to the first event, patience the time after which the client leaves without one.
	target, patience time.Duration
}

// standardClasses are three classes that together need nearly all of the 320 slots of a service. The least urgent one
// has the longest target and the most patient clients.
func standardClasses() []loadClass {
	return []loadClass{
		{priority: 0, rate: 80, target: 400 * ms, patience: 1700 * ms},
		{priority: 1, rate: 110, target: 400 * ms, patience: 1700 * ms},
		{priority: 2, rate: 36, target: 800 * ms, patience: 2900 * ms},
	}
}

// contentionModel is a fleet of entries in virtual time whose callers compete for too few endpoints.
// Refused callers come back once, after the time that they were told but at most a third of their deadline.
type contentionModel struct {
	classes []loadClass
	entries int
	// uneven makes the first entry receive as much as all others together.
	uneven bool
	// unranked uses the order by target and priority instead of that by rank.
	unranked bool
	teams    int
	// at changes the model at a time.
	at map[time.Duration]func(*contentionRun)
	// retries is the number of times that a refused caller comes back; zero selects one.
	retries int
	// impatient callers come back at once instead of after the time that they were told.
	impatient bool
	length    time.Duration
}

const (
	contentionEndpoints = 32
	contentionSlots     = 10
	modelDuration       = 1400 * ms
	modelDeadline       = 8 * time.Second
	modelExchange       = 120 * ms
)

type served struct{ requests, served, late int }

func (s served) share() float64 { return float64(s.served) / float64(max(s.requests, 1)) }

// contentionRun is a contentionModel while it runs.
type contentionRun struct {
	m          contentionModel
	rng        *rand.Rand
	queue      eventQueue
	now        time.Duration
	names      []id.Endpoint
	schedulers []*Scheduler
	// factor multiplies the rate of each class, and hotTeam sends that many times its usual.
	factor  []float64
	hotTeam float64
	classes []served
	teams   []served
}

func (x *contentionRun) after(d time.Duration, do func()) { heap.Push(&x.queue, event{x.now + d, do}) }

// setUsable makes the first n endpoints the only usable ones, as when a group of ranks is down.
func (x *contentionRun) setUsable(n int) {
	for _, s := range x.schedulers {
		for i, name := range x.names {
			s.SetBlocked(name, i >= n)
		}
	}
}

func (m contentionModel) run(seed uint64) *contentionRun {
	x := &contentionRun{
		m: m, rng: rand.New(rand.NewPCG(seed, 5)), factor: make([]float64, len(m.classes)), hotTeam: 1,
		classes: make([]served, len(m.classes)), teams: make([]served, max(m.teams, 1)),
	}
	list := make([]Endpoint, contentionEndpoints)
	for i := range list {
		x.names = append(x.names, id.Endpoint(fmt.Sprintf("e%02d", i)))
		list[i] = Endpoint{Name: x.names[i], Slots: contentionSlots, Usable: true}
	}
	for i := range m.entries {
		s := New(Config{RequestDuration: modelDuration}, seed*100+uint64(i))
		s.SetEndpoints(list)
		s.SetRanked(!m.unranked)
		x.schedulers = append(x.schedulers, s)
		x.after(time.Duration(x.rng.Float64()*float64(modelExchange)), func() { x.exchange(i) })
	}
	for c := range m.classes {
		x.factor[c] = 1
		x.after(0, func() { x.arrive(c) })
	}
	x.after(0, x.tick)
	for at, change := range m.at {
		x.after(at, func() { change(x) })
	}
	for len(x.queue) > 0 && x.queue[0].at < m.length {
		e := heap.Pop(&x.queue).(event)
		x.now = e.at
		e.do()
	}
	return x
}

// tick dispatches at an interval, as the owner of a scheduler does while requests wait.
func (x *contentionRun) tick() {
	x.after(10*ms, x.tick)
	for _, s := range x.schedulers {
		if s.Waiting() > 0 {
			s.Dispatch(x.now)
		}
	}
}

// exchange tells an entry the loads and waiting requests of the others, as they are now.
func (x *contentionRun) exchange(i int) {
	x.after(modelExchange, func() { x.exchange(i) })
	for _, name := range x.names {
		var sum Load
		for k, s := range x.schedulers {
			if k != i {
				l := s.OwnLoad(name)
				sum.Running += l.Running
				sum.PromptTokens += l.PromptTokens
			}
		}
		x.schedulers[i].SetPeerLoad(name, sum)
	}
	var waiting []RankCount
	for k, s := range x.schedulers {
		if k != i {
			waiting = append(waiting, s.WaitingByRank()...)
		}
	}
	x.schedulers[i].SetPeerWaiting(waiting, x.now)
	x.schedulers[i].Dispatch(x.now)
}

func (x *contentionRun) arrive(c int) {
	rate := x.m.classes[c].rate * x.factor[c]
	x.after(time.Duration(x.rng.ExpFloat64()/rate*float64(time.Second)), func() { x.arrive(c) })
	team := 0
	if x.m.teams > 0 {
		if team = x.rng.IntN(x.m.teams); x.rng.Float64() < (x.hotTeam-1)/(x.hotTeam-1+float64(x.m.teams)) {
			team = 0
		}
	}
	retries := x.m.retries
	if retries == 0 {
		retries = 1
	}
	x.classes[c].requests++
	x.teams[team].requests++
	x.send(c, team, x.now+modelDeadline, retries)
}

// send sends a caller's request to an entry, and again if it is refused.
func (x *contentionRun) send(c, team int, deadline time.Duration, retries int) {
	class := x.m.classes[c]
	i := x.rng.IntN(x.m.entries)
	if x.m.uneven && x.rng.IntN(2) == 0 {
		i = 0
	}
	s := x.schedulers[i]
	r := Request{
		Arrival: x.now, Target: x.now + class.target, FirstEventDeadline: x.now + class.patience, Deadline: deadline, PromptTokens: 800,
		Priority: class.priority, Rank: Rank{Team: 1, Route: class.priority}, Team: id.Team(fmt.Sprint("t", team)),
	}
	s.Submit(&Item{Request: r, Decided: func(d Decision) {
		if d.Endpoint == "" {
			pause := min(d.RetryAfter, (deadline-x.now)/3)
			if x.m.impatient {
				pause = 50 * ms
			}
			if retries > 0 {
				x.after(pause, func() { x.send(c, team, deadline, retries-1) })
			}
			return
		}
		started := x.now
		x.classes[c].served++
		x.teams[team].served++
		if d.Late {
			x.classes[c].late++
		}
		x.after(100*ms, func() { s.RecordFirstEvent(d.Endpoint, &r, x.now-started, x.now) })
		x.after(100*ms+time.Duration(x.rng.ExpFloat64()*float64(modelDuration-100*ms)), func() {
			s.RecordEnd(d.Endpoint, &r, true, x.now-started, x.now)
			s.Dispatch(x.now)
		})
	}}, x.now)
}

func (x *contentionRun) String() string {
	out := ""
	for c, s := range x.classes {
		out += fmt.Sprintf("priority %d: %.3f of %d served, %.3f late; ", x.m.classes[c].priority, s.share(), s.requests, float64(s.late)/float64(max(s.served, 1)))
	}
	return out
}

// shareTolerance covers the chance of a few requests in a class.
const shareTolerance = 0.02

// assertOrdered checks that no class is served less than a less urgent one, and that none is served less than
// a quarter as often as all.
func (x *contentionRun) assertOrdered(t *testing.T) {
	t.Helper()
	all := served{}
	for _, c := range x.classes {
		all.requests += c.requests
		all.served += c.served
	}
	for i := range x.classes[1:] {
		assert.Assert(t, x.classes[i].share() >= x.classes[i+1].share()-shareTolerance, "%v", x)
	}
	for i := range x.classes {
		assert.Assert(t, x.classes[i].share() >= all.share()/4, "%v", x)
	}
}

// TestUrgentClassesAreServedFirst guards against an order of classes that is upside down when the room is too little: by target
// and patience alone, the least urgent class with the longest target is served most. Each case is a load
// on a service that is nearly full.
func TestUrgentClassesAreServedFirst(t *testing.T) {
	second := time.Second
	burst := func(class int, factor float64) map[time.Duration]func(*contentionRun) {
		return map[time.Duration]func(*contentionRun){
			5 * second:  func(x *contentionRun) { x.factor[class] = factor },
			12 * second: func(x *contentionRun) { x.factor[class] = 1 },
		}
	}
	loss := map[time.Duration]func(*contentionRun){
		5 * second:  func(x *contentionRun) { x.setUsable(contentionEndpoints / 2) },
		12 * second: func(x *contentionRun) { x.setUsable(contentionEndpoints) },
	}
	cases := map[string]contentionModel{
		"load at the capacity":             {entries: 15},
		"burst of the least urgent class":  {entries: 15, at: burst(2, 6)},
		"burst of the most urgent class":   {entries: 15, at: burst(0, 2.5)},
		"loss of a zone":                   {entries: 15, at: loss},
		"loss of a zone, uneven entries":   {entries: 15, at: loss, uneven: true},
		"loss of a zone, one entry":        {entries: 1, at: loss},
		"loss of a zone, retrying callers": {entries: 15, at: loss, retries: 4, impatient: true},
		"loss of a zone, 44 small entries": {entries: 44, at: loss},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m.classes, m.length = standardClasses(), 18*second
			for seed := range uint64(2) {
				got := m.run(seed)
				t.Logf("by rank: %v", got)
				got.assertOrdered(t)
			}
			m.unranked = true
			t.Logf("by target: %v", m.run(0))
		})
	}
}

// TestHotTeamLeavesOthersTheirShare guards against a team that sends many times its usual and takes the room of
// teams with the same priority.
func TestHotTeamLeavesOthersTheirShare(t *testing.T) {
	m := contentionModel{
		classes: standardClasses(), entries: 15, teams: 12, length: 18 * time.Second,
		at: map[time.Duration]func(*contentionRun){
			4 * time.Second: func(x *contentionRun) {
				x.hotTeam = 12
				for c := range x.factor {
					x.factor[c] = 2
				}
			},
		},
	}
	got := m.run(1)
	hot, others := got.teams[0], served{}
	for _, s := range got.teams[1:] {
		others.requests += s.requests
		others.served += s.served
	}
	t.Logf("hot team %.3f of %d, others %.3f of %d", hot.share(), hot.requests, others.share(), others.requests)
	assert.Assert(t, others.share() > hot.share())
	assert.Assert(t, hot.share() >= others.share()/4)
}

// TestLessUrgentClassIsNotStarved guards against a most urgent class that needs all the room for long.
func TestLessUrgentClassIsNotStarved(t *testing.T) {
	m := contentionModel{classes: standardClasses(), entries: 15, length: 20 * time.Second}
	m.at = map[time.Duration]func(*contentionRun){0: func(x *contentionRun) { x.factor[0] = 6 }}
	got := m.run(1)
	t.Log(got)
	got.assertOrdered(t)
}

// TestWaitingElsewhereGoesFirst guards against an entry that gives the last free slot to its own less
// urgent request while a more urgent one waits at another entry.
func TestWaitingElsewhereGoesFirst(t *testing.T) {
	h := newHarness(t, Config{}, usableEndpoint("a", 2))
	h.scheduler.SetRanked(true)
	h.scheduler.SetPeerLoad("a", Load{Running: 1})
	h.scheduler.SetPeerWaiting([]RankCount{{Rank: Rank{Route: 0}, Count: 1}}, h.now)
	less := h.chatRequest()
	less.Rank = Rank{Route: 1}
	d := h.submit(less)
	assert.Equal(t, d.Endpoint, id.Endpoint(""))
	h.scheduler.SetPeerWaiting(nil, h.now)
	h.advance(ms)
	assert.Equal(t, d.Endpoint, id.Endpoint("a"))
}
