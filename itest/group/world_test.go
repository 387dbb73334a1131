package group

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/agent/rank"
	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/coordinator"
)

const (
	agents        = 16
	ranksPerAgent = 4
	ranks         = agents * ranksPerAgent
	experts       = 128
	slotsPerRank  = 3
	layerCount    = 2
	stepsPerRound = 3
	groupName     = id.Group("asistente-0")
)

// lease is what one coordinator process believes of its lease.
type lease struct {
	number uint64
	held   bool
}

func (l *lease) FencingToken() (uint64, bool) { return l.number, l.held }

func (l *lease) CoversChange() bool { return l.held }

// MarkFenced gives the lease up.
func (l *lease) MarkFenced(uint64) { l.held = false }

// process is one coordinator process.
type process struct {
	lease  *lease
	duty   *coordinator.Coordinator
	paused bool
	// inbox holds what arrives while the process is paused.
	inbox []groupmsg.Status
}

// world is one group with its coordinators, agents, engines and network.
type world struct {
	t         *testing.T
	rand      *rand.Rand
	cfg       expertmap.Config
	processes []*process
	agents    []*rank.Controller
	engines   []*engine
	witness   *witness
	load      []expertmap.Load
	lossy     bool
	starts    int

	// mu guards the queues, which agents fill at the same time.
	mu       sync.Mutex
	orders   []groupmsg.Order
	statuses []groupmsg.Status
}

type orderQueue struct{ w *world }

func (q orderQueue) Send(o groupmsg.Order) {
	q.w.mu.Lock()
	defer q.w.mu.Unlock()
	q.w.orders = append(q.w.orders, o)
}

type statusQueue struct{ w *world }

func (q statusQueue) Send(s groupmsg.Status) {
	q.w.mu.Lock()
	defer q.w.mu.Unlock()
	q.w.statuses = append(q.w.statuses, s)
}

// newWorld returns a group whose engines on every third host ignore fencing numbers.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 0)), witness: newWitness(),
		cfg: expertmap.Config{Ranks: ranks, Experts: experts, SlotsPerRank: slotsPerRank},
	}
	for r := range ranks {
		w.engines = append(w.engines, newEngine(r, r/ranksPerAgent%3 == 0))
	}
	for a := range agents {
		w.agents = append(w.agents, w.newAgent(a))
	}
	w.drift()
	w.addProcess()
	return w
}

func (w *world) newAgent(a int) *rank.Controller {
	w.starts++
	cfg := rank.Config{Group: groupName, Incarnation: id.Incarnation(fmt.Sprintf("inc_%d", w.starts)), LoadTicks: 5}
	for i := range ranksPerAgent {
		r := a*ranksPerAgent + i
		cfg.Ranks = append(cfg.Ranks, rank.LocalRank{Index: r, Engine: w.engines[r]})
	}
	return rank.New(cfg, statusQueue{w})
}

// addProcess starts a coordinator with the next lease. Earlier ones learn nothing of it.
func (w *world) addProcess() *process {
	l := &lease{number: uint64(len(w.processes) + 1), held: true}
	cfg := coordinator.Config{
		Group: groupName, Layers: layerCount, Shape: w.cfg, PlanTicks: 20,
		Lockstep: lockstep.Config{Margin: 8, PollTicks: 2},
	}
	p := &process{lease: l, duty: coordinator.New(cfg, l, orderQueue{w})}
	w.processes = append(w.processes, p)
	return p
}

// drift changes the popularity of the experts.
func (w *world) drift() {
	w.load = nil
	for range layerCount {
		load := make(expertmap.Load, experts)
		for i, e := range w.rand.Perm(experts) {
			load[e] = 100_000 / float64(i+1)
		}
		w.load = append(w.load, load)
	}
}

// lose returns what of queue arrives now, in random order, and what stays for later.
func lose[T any](w *world, queue []T) (now, later []T) {
	if !w.lossy {
		return queue, nil
	}
	for _, m := range queue {
		switch n := w.rand.IntN(100); {
		case n < 8: // lost
		case n < 14:
			now, later = append(now, m), append(later, m)
		case n < 30:
			later = append(later, m)
		default:
			now = append(now, m)
		}
	}
	w.rand.Shuffle(len(now), func(i, j int) { now[i], now[j] = now[j], now[i] })
	return now, later
}

// round lets every part act once.
func (w *world) round() {
	for _, p := range w.processes {
		if !p.paused {
			p.duty.Tick()
		}
	}
	w.deliverOrders()
	w.eachAgent(func(a int) { w.agents[a].Tick(context.Background()) })
	w.deliverStatuses()
	for _, e := range w.engines {
		e.advance()
	}
	for range stepsPerRound {
		w.step()
	}
}

func (w *world) deliverOrders() {
	var now []groupmsg.Order
	now, w.orders = lose(w, w.orders)
	byAgent := make([][]groupmsg.Order, agents)
	for _, o := range now {
		a := o.Command.Rank / ranksPerAgent
		byAgent[a] = append(byAgent[a], o)
	}
	w.eachAgent(func(a int) {
		for _, o := range byAgent[a] {
			w.agents[a].Handle(context.Background(), o)
		}
	})
}

func (w *world) eachAgent(do func(a int)) {
	var wg sync.WaitGroup
	for a := range agents {
		wg.Go(func() { do(a) })
	}
	wg.Wait()
}

func (w *world) deliverStatuses() {
	slices.SortStableFunc(w.statuses, func(a, b groupmsg.Status) int {
		return cmp.Or(cmp.Compare(a.Report.Rank, b.Report.Rank), cmp.Compare(a.Report.Seq, b.Report.Seq))
	})
	var now []groupmsg.Status
	now, w.statuses = lose(w, w.statuses)
	for _, p := range w.processes {
		p.inbox = append(p.inbox, now...)
		if p.paused {
			continue
		}
		for _, s := range p.inbox {
			p.duty.Receive(s)
		}
		p.inbox = nil
	}
}

// step lets each engine begin its next step if every rank of its formation has
// ended the one before, as the ranks' collective operations demand.
func (w *world) step() {
	states := make([]lockstep.EngineState, ranks)
	for r, e := range w.engines {
		states[r] = e.snapshot()
	}
	counts := map[lockstep.Version][][]int{}
	for r, e := range w.engines {
		v := e.nextMap()
		if v == 0 || !mayStep(states, r) {
			continue
		}
		if counts[v] == nil {
			counts[v] = w.replicas(v)
		}
		e.step(v, w.load, counts[v])
		key := stepKey{states[r].Order.Formation, states[r].Next}
		assert.NilError(w.t, w.witness.begin(r, key, v))
	}
}

func mayStep(states []lockstep.EngineState, r int) bool {
	for _, s := range states {
		if s.Order.Formation != states[r].Order.Formation || s.Next < states[r].Next {
			return false
		}
	}
	return true
}

// replicas checks the whole map of a version and returns its replica counts by layer.
func (w *world) replicas(v lockstep.Version) [][]int {
	var out [][]int
	for layer := range layerCount {
		var m expertmap.Map
		for _, e := range w.engines {
			layout := e.layout(v)
			assert.Assert(w.t, layout != nil, "rank %d runs without map %d", e.rank, v)
			m.Slots = append(m.Slots, layout[layer])
		}
		assert.NilError(w.t, m.Validate(w.cfg), "map %d", v)
		out = append(out, m.Replicas(experts))
	}
	return out
}

// runsOne returns the map that every engine ran last, zero if they differ.
func (w *world) runsOne() lockstep.Version {
	v := w.engines[0].snapshot().LastMap
	for _, e := range w.engines {
		if e.snapshot().LastMap != v {
			return 0
		}
	}
	return v
}

// until runs rounds until done, and fails the test after limit rounds.
func (w *world) until(limit int, what string, done func() bool) int {
	w.t.Helper()
	for i := range limit {
		if done() {
			return i
		}
		w.round()
	}
	w.t.Fatalf("%s: not reached in %d rounds: %s", what, limit, w.describe())
	return limit
}

func (w *world) describe() string {
	var s string
	for _, p := range w.processes {
		s += fmt.Sprintf("\npaused %t %+v", p.paused, p.duty.Status())
	}
	for _, e := range w.engines[:ranksPerAgent] {
		s += fmt.Sprintf("\nrank %d %+v", e.rank, e.snapshot())
	}
	return s
}
