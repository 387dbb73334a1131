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

// lease is a coordinator's local view of its lease, which may be outdated.
type lease struct {
	token uint64
	held  bool
}

func (l *lease) FencingToken() (uint64, bool) { return l.token, l.held }

func (l *lease) CoversChange() bool { return l.held }

func (l *lease) MarkFenced(uint64) { l.held = false }

// process is one coordinator process.
type process struct {
	lease       *lease
	coordinator *coordinator.Coordinator
	paused      bool
	// inbox queues statuses that arrive while the process is paused.
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
	checker   *stepChecker
	load      []expertmap.Load
	lossy     bool
	starts    int

	// mu guards the queues, which agents fill concurrently.
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

// newWorld returns a group in which the engines of every third agent ignore fencing.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 0)), checker: newStepChecker(),
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

// addProcess starts a coordinator with the next fencing token; earlier ones keep theirs.
func (w *world) addProcess() *process {
	l := &lease{token: uint64(len(w.processes) + 1), held: true}
	cfg := coordinator.Config{
		Group: groupName, Layers: layerCount, Shape: w.cfg, PlanTicks: 20,
		Lockstep: lockstep.Config{Margin: 8, PollTicks: 2},
	}
	p := &process{lease: l, coordinator: coordinator.New(cfg, l, orderQueue{w})}
	w.processes = append(w.processes, p)
	return p
}

// drift shuffles the popularity of the experts.
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

// deliverable splits a queue into messages to deliver now and messages to keep. On a
// lossy transport it loses 8%, duplicates 6%, delays 16% and shuffles the deliveries.
func deliverable[T any](w *world, queue []T) (now, later []T) {
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

// round ticks coordinators and agents once, delivers messages and runs the steps.
func (w *world) round() {
	for _, p := range w.processes {
		if !p.paused {
			p.coordinator.Tick()
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
	now, w.orders = deliverable(w, w.orders)
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
	now, w.statuses = deliverable(w, w.statuses)
	for _, p := range w.processes {
		p.inbox = append(p.inbox, now...)
		if p.paused {
			continue
		}
		for _, s := range p.inbox {
			p.coordinator.Receive(s)
		}
		p.inbox = nil
	}
}

// step runs the next step of each engine whose whole formation has ended the step
// before, as the collective operations of the ranks require.
func (w *world) step() {
	states := make([]lockstep.EngineState, ranks)
	for r, e := range w.engines {
		states[r] = e.snapshot()
	}
	counts := map[lockstep.Version][][]int{}
	for r, e := range w.engines {
		v := e.nextMap()
		if v == 0 || !mayBegin(states, r) {
			continue
		}
		if counts[v] == nil {
			counts[v] = w.replicas(v)
		}
		e.step(v, w.load, counts[v])
		key := stepKey{states[r].Order.Formation, states[r].Next}
		assert.NilError(w.t, w.checker.record(r, key, v))
	}
}

func mayBegin(states []lockstep.EngineState, r int) bool {
	for _, s := range states {
		if s.Order.Formation != states[r].Order.Formation || s.Next < states[r].Next {
			return false
		}
	}
	return true
}

// replicas validates the whole map of a version and returns its replica counts by layer.
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

// commonMap returns the map of the last step if it is the same on all engines, else zero.
func (w *world) commonMap() lockstep.Version {
	v := w.engines[0].snapshot().LastMap
	for _, e := range w.engines {
		if e.snapshot().LastMap != v {
			return 0
		}
	}
	return v
}

// runUntil runs rounds until done and returns their number; it fails the test at limit.
func (w *world) runUntil(limit int, what string, done func() bool) int {
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
		s += fmt.Sprintf("\npaused %t %+v", p.paused, p.coordinator.Status())
	}
	for _, e := range w.engines[:ranksPerAgent] {
		s += fmt.Sprintf("\nrank %d %+v", e.rank, e.snapshot())
	}
	return s
}
