package lockstep

import (
	"fmt"
	"slices"

	"github.com/siskinford/siskinford/core/id"
)

// packet is a message in flight. Exactly one of cmd, report and order is set.
type packet struct {
	cmd    *Command
	report *Report
	// coordinator is the sender of the command or the receiver of the report.
	coordinator int
	// order is an engine order in flight to the engine of rank.
	order *EngineOrder
	rank  int
}

// model simulates a group and its network.
type model struct {
	n            int
	ranks        []*Rank
	engines      []*fakeEngine
	coordinators []*Coordinator
	inFlight     []packet
	// delayed are packets that are delivered only after release.
	delayed []packet
	// cutCoordinator and cutRank delay all packets of a coordinator or rank.
	cutCoordinator [maxCoordinators]bool
	cutRank        []bool
	checker        *invariantChecker
	incarnations   int
	target         Version
	restarts       int
	// lateOrders lets orders reach engines late, twice and out of order.
	lateOrders bool

	// These hooks inject faults.
	beforeReceive func(r *Rank, c Command)
	afterReceive  func(r *Rank)
	afterReport   func(c *Coordinator)
}

func newModel(n int) *model {
	m := &model{n: n, checker: newInvariantChecker(), lateOrders: true, cutRank: make([]bool, n)}
	for i := range n {
		m.ranks = append(m.ranks, NewRank(i, m.incarnation()))
		m.engines = append(m.engines, &fakeEngine{rank: i})
	}
	m.addCoordinator()
	return m
}

func (m *model) incarnation() id.Incarnation {
	m.incarnations++
	return id.Incarnation(fmt.Sprintf("inc_%032d", m.incarnations))
}

// addCoordinator starts a coordinator with a new lease; earlier ones keep running.
func (m *model) addCoordinator() {
	cfg := Config{Ranks: m.n, Margin: 4, PollTicks: 2}
	c := NewCoordinator(cfg, uint64(len(m.coordinators)+1))
	m.coordinators = append(m.coordinators, c)
	m.newTarget()
}

func (m *model) newTarget() {
	m.target++
	m.coordinators[len(m.coordinators)-1].SetTargetMap(m.target)
}

func (m *model) sendCommands(from int, cmds []Command) {
	for _, c := range cmds {
		m.inFlight = append(m.inFlight, packet{cmd: &c, coordinator: from, rank: c.Rank})
	}
}

func (m *model) sendReport(rank int) {
	for to := range m.coordinators {
		r := m.ranks[rank].Report()
		m.inFlight = append(m.inFlight, packet{report: &r, coordinator: to, rank: rank})
	}
}

func (m *model) deliver(p packet) {
	switch {
	case p.order != nil:
		m.engines[p.rank].apply(*p.order)
	case p.cmd != nil:
		r := m.ranks[p.cmd.Rank]
		if m.beforeReceive != nil {
			m.beforeReceive(r, *p.cmd)
		}
		answer := r.Receive(*p.cmd)
		if m.afterReceive != nil {
			m.afterReceive(r)
		}
		if answer {
			m.sendReport(p.cmd.Rank)
		}
	case p.report != nil:
		c := m.coordinators[p.coordinator]
		m.sendCommands(p.coordinator, c.Receive(*p.report))
		if m.afterReport != nil {
			m.afterReport(c)
		}
	}
}

// sync simulates one cycle of an agent: read the engine's state and send the wanted order.
func (m *model) sync(rank int) {
	r, e := m.ranks[rank], m.engines[rank]
	if v, ok := r.MapToStage(); ok {
		e.loading = v
	}
	if r.Observe(e.state) {
		m.sendReport(rank)
	}
	order, ok := r.Order()
	if !ok || order == e.state.Order {
		return
	}
	if m.lateOrders {
		p := packet{order: &order, rank: rank}
		m.inFlight = append(m.inFlight, p)
		m.delay(p)
		return
	}
	e.apply(order)
}

func (m *model) restartRank(rank int) {
	m.restarts++
	m.ranks[rank] = NewRank(rank, m.incarnation())
}

// restartEngine discards the engine's state and, as its connections end, the orders in flight to it.
func (m *model) restartEngine(rank int) {
	lost := func(p packet) bool { return p.order != nil && p.rank == rank }
	m.inFlight = slices.DeleteFunc(m.inFlight, lost)
	m.delayed = slices.DeleteFunc(m.delayed, lost)
	m.engines[rank] = &fakeEngine{rank: rank, ignoreFence: m.engines[rank].ignoreFence}
}

const (
	actDeliver = iota
	actDeliverOldest
	actDuplicate
	actDelay
	actRelease
	actDrop
	actTick
	actSync
	actStep
	actLoad
	actTarget
	actRestartRank
	actRestartEngine
	actNewCoordinator
	actCutCoordinator
	actCutRank
)

// profile returns the actions, each as often as its weight. Faults are absent, rare or frequent.
func profile(draw func(n int) int) []int {
	chances := [...]int{
		actDeliver: 150, actDeliverOldest: 300, actTick: 40, actSync: 75 * (1 + draw(4)),
		actStep: 60 + 80*draw(4), actLoad: 60, actTarget: 10,
	}
	faultChances := []int{0, 1, 8}
	faults := map[int]int{
		actDuplicate: 5, actDelay: 8, actRelease: 8, actDrop: 5, actRestartRank: 1, actRestartEngine: 1, actNewCoordinator: 2,
		actCutCoordinator: 2, actCutRank: 2,
	}
	var w []int
	for act := actDeliver; act <= actCutRank; act++ {
		n := 0
		if act < len(chances) {
			n = chances[act]
		}
		if f := faults[act]; f > 0 {
			n = f * faultChances[draw(len(faultChances))]
		}
		for range n {
			w = append(w, act)
		}
	}
	return w
}

const (
	maxCoordinators = 4
	maxDelayed      = 60
)

// act performs one random action; draw(n) returns a number below n.
func (m *model) act(profile []int, draw func(n int) int) error {
	act := profile[draw(len(profile))]
	rank := draw(m.n)
	switch act {
	case actRelease:
		m.release(draw)
	case actDeliver, actDeliverOldest, actDuplicate, actDelay, actDrop:
		m.actNetwork(act, draw)
	case actTick:
		i := draw(len(m.coordinators))
		m.sendCommands(i, m.coordinators[i].Tick())
	case actSync:
		m.sync(rank)
	case actStep:
		return m.engines[rank].step(m.checker)
	case actLoad:
		m.engines[rank].finishLoading()
	case actTarget:
		m.newTarget()
	case actRestartRank:
		m.restartRank(rank)
	case actRestartEngine:
		m.restartEngine(rank)
	case actNewCoordinator:
		if len(m.coordinators) < maxCoordinators {
			m.addCoordinator()
		}
	case actCutCoordinator:
		i := draw(len(m.coordinators))
		m.cutCoordinator[i] = !m.cutCoordinator[i]
	case actCutRank:
		m.cutRank[rank] = !m.cutRank[rank]
	}
	return nil
}

func (m *model) actNetwork(act int, draw func(n int) int) {
	if len(m.inFlight) == 0 {
		return
	}
	i := draw(len(m.inFlight))
	if act == actDeliverOldest {
		i = 0
	}
	p := m.inFlight[i]
	if act != actDuplicate {
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
	switch {
	case act == actDrop:
	case act == actDuplicate, act == actDelay, m.isCut(p):
		m.delay(p)
	default:
		m.deliver(p)
	}
}

func (m *model) isCut(p packet) bool {
	return p.order == nil && (m.cutCoordinator[p.coordinator] || m.cutRank[p.rank])
}

func (m *model) delay(p packet) {
	if len(m.delayed) < maxDelayed {
		m.delayed = append(m.delayed, p)
	}
}

// release delivers a delayed packet.
func (m *model) release(draw func(n int) int) {
	if len(m.delayed) == 0 {
		return
	}
	i := draw(len(m.delayed))
	p := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	m.deliver(p)
}

// drain delivers, in random order, as many messages as are in flight at the call.
func (m *model) drain(draw func(n int) int) {
	for range len(m.inFlight) {
		m.actNetwork(actDeliver, draw)
	}
}

// settle runs rounds without faults and returns their number until every engine
// uses the target map in one formation.
func (m *model) settle(draw func(n int) int, limit int) (int, error) {
	m.inFlight = append(m.inFlight, m.delayed...)
	m.delayed = nil
	m.cutCoordinator = [maxCoordinators]bool{}
	m.cutRank = make([]bool, m.n)
	for round := range limit {
		if m.settled() {
			return round, nil
		}
		for i, c := range m.coordinators {
			m.sendCommands(i, c.Tick())
		}
		m.drain(draw)
		for i := range m.n {
			m.sync(i)
			m.engines[i].finishLoading()
		}
		if err := m.stepTogether(); err != nil {
			return round, err
		}
	}
	return limit, fmt.Errorf("map %d is not in use everywhere after %d rounds: %s", m.target, limit, m.describe())
}

// stepTogether lets lagging engines catch up, as ranks in lock-step do, and then
// runs one step of each, as far as their orders allow.
func (m *model) stepTogether() error {
	for _, e := range m.engines {
		for range m.lag(e) + 1 {
			if err := e.step(m.checker); err != nil {
				return err
			}
		}
	}
	return nil
}

// lag returns how many steps e is behind the first engine of its formation.
func (m *model) lag(e *fakeEngine) Step {
	first := e.state.Next
	for _, other := range m.engines {
		if other.state.Order.Formation == e.state.Order.Formation {
			first = max(first, other.state.Next)
		}
	}
	return first - e.state.Next
}

func (m *model) settled() bool {
	first := m.engines[0].state
	for _, e := range m.engines {
		if e.state.LastMap != m.target || e.state.Order.Formation != first.Order.Formation {
			return false
		}
	}
	return true
}

func (m *model) describe() string {
	s := ""
	for i, r := range m.ranks {
		s += fmt.Sprintf("\nrank %d: %+v engine %+v", i, r.Report(), m.engines[i].state)
	}
	for _, c := range m.coordinators {
		s += fmt.Sprintf("\ncoordinator epoch %d phase %s proposed %+v waits for %v", c.epoch, c.phase, c.proposed, c.waiting)
	}
	return s
}
