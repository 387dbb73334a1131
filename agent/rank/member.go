package rank

import (
	"context"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
)

// Kinds of events.
const (
	// EventOrdered tells that an engine was given an order.
	EventOrdered timeline.Kind = "rank.ordered"
	// EventReasserted tells that an engine had lost an order that was in force.
	EventReasserted timeline.Kind = "rank.reasserted"
	// EventSuperseded tells that the engine obeys a newer agent or coordinator.
	EventSuperseded timeline.Kind = "rank.superseded"
	// EventDiverged tells that an engine ran a step against its orders.
	EventDiverged timeline.Kind = "rank.diverged"
	// EventUnreachable tells that an engine did not answer.
	EventUnreachable timeline.Kind = "rank.engine-unreachable"
)

var (
	reasserts    = metrics.NewCounter(`siskinford_rank_reasserts_total`)
	superseded   = metrics.NewCounter(`siskinford_rank_superseded_total`)
	divergences  = metrics.NewCounter(`siskinford_rank_diverged_total`)
	engineErrors = metrics.NewCounter(`siskinford_rank_engine_errors_total`)
)

// member is one rank of the host with its engine.
type member struct {
	group     id.Group
	index     int
	engine    Engine
	transport Transport
	recorder  timeline.Recorder
	loadTicks int

	// pass is held for one pass over the engine, so that one call is in flight
	// at a time. Lock order: pass before mu.
	pass sync.Mutex

	// mu guards the fields below. It is not held during calls.
	mu       sync.Mutex
	rank     *lockstep.Rank
	weights  *groupmsg.Weights
	describe lockstep.Version
	ticks    int
	// inForce is the last order that the engine was seen to obey.
	inForce    lockstep.EngineOrder
	diverged   bool
	superseded bool
}

func newMember(cfg Config, l LocalRank, t Transport) *member {
	return &member{
		group: cfg.Group, index: l.Index, engine: l.Engine, transport: t,
		recorder: cfg.Recorder, loadTicks: cfg.LoadTicks,
		rank: lockstep.NewRank(l.Index, cfg.Incarnation),
	}
}

func (m *member) handle(ctx context.Context, o groupmsg.Order) {
	if !m.receive(o) {
		return
	}
	// A rank whose engine does not answer stays silent, so that the coordinator
	// starts no change and names the rank.
	if _, ok := m.sync(ctx); ok {
		m.report(ctx, false)
	}
}

// receive hands the command to the state machine and reports whether to answer.
func (m *member) receive(o groupmsg.Order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.rank.Receive(o.Command) {
		return false
	}
	if o.Weights != nil && (m.weights == nil || o.Weights.Map >= m.weights.Map) {
		m.weights = o.Weights
	}
	m.describe = max(m.describe, o.Describe)
	return true
}

func (m *member) tick(ctx context.Context) {
	m.mu.Lock()
	m.ticks++
	due := m.ticks%m.loadTicks == 0
	m.mu.Unlock()
	changed, ok := m.sync(ctx)
	if ok && (changed || due) {
		m.report(ctx, due)
	}
}

// sync makes one pass: it reads the engine, asserts what is wanted, and reads it
// again if it gave an order. It returns whether the coordinator should hear of a
// change, and whether the engine answered.
func (m *member) sync(ctx context.Context) (changed, ok bool) {
	m.pass.Lock()
	defer m.pass.Unlock()
	changed, todo, ok := m.observe(ctx)
	if !ok {
		return false, false
	}
	if todo.stage != nil {
		m.check(m.engine.StageWeights(ctx, *todo.stage))
	}
	if todo.order == nil {
		return changed, true
	}
	if !m.check(m.engine.SetMap(ctx, *todo.order)) {
		return changed, true
	}
	m.record(EventOrdered, "%+v", *todo.order)
	again, _, _ := m.observe(ctx)
	return changed || again, true
}

// todo is what one pass has to do at the engine.
type todo struct {
	order *lockstep.EngineOrder
	stage *groupmsg.Weights
}

func (m *member) observe(ctx context.Context) (changed bool, t todo, ok bool) {
	state, err := m.engine.ReadState(ctx)
	if !m.check(err) {
		return false, todo{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.rank.Observe(state)
	m.noteDivergence()
	if v, wanted := m.rank.MapToStage(); wanted && m.weights != nil && m.weights.Map == v {
		t.stage = m.weights
	}
	t.order = m.orderFor(state)
	return changed, t, true
}

// orderFor returns the order to give, nil if the engine shows the wanted one or
// a newer one. An engine that ignores fencing numbers would obey an old order.
func (m *member) orderFor(state lockstep.EngineState) *lockstep.EngineOrder {
	want, ok := m.rank.Order()
	if !ok {
		return nil
	}
	if state.Order == want {
		m.inForce = want
		m.superseded = false
		return nil
	}
	if want.Older(state.Order) {
		m.noteSuperseded(state)
		return nil
	}
	if m.inForce == want {
		reasserts.Inc()
		m.record(EventReasserted, "rank %d showed epoch %d turn %d", m.index, state.Order.Epoch, state.Order.Turn)
	}
	return &want
}

func (m *member) noteSuperseded(state lockstep.EngineState) {
	if !m.superseded {
		superseded.Inc()
		m.record(EventSuperseded, "rank %d obeys epoch %d turn %d", m.index, state.Order.Epoch, state.Order.Turn)
	}
	m.superseded = true
}

func (m *member) noteDivergence() {
	diverged := m.rank.Diverged()
	if diverged && !m.diverged {
		divergences.Inc()
		m.record(EventDiverged, "rank %d", m.index)
	}
	m.diverged = diverged
}

// report sends the rank's state, with its loads if they are due and with the
// layout that the coordinator asked for.
func (m *member) report(ctx context.Context, loads bool) {
	s := groupmsg.Status{Group: m.group}
	if loads {
		if l, err := m.engine.Loads(ctx); m.check(err) {
			s.Loads = &l
		}
	}
	m.mu.Lock()
	describe := m.describe
	m.describe = 0
	m.mu.Unlock()
	if describe != 0 {
		if layout, err := m.engine.Layout(ctx, describe); m.check(err) {
			s.Described = &groupmsg.Weights{Map: describe, Layout: layout}
		}
	}
	m.mu.Lock()
	s.Report = m.rank.Report()
	m.mu.Unlock()
	m.transport.Send(s)
}

// check counts an error of the engine and reports whether there was none.
func (m *member) check(err error) bool {
	if err == nil {
		return true
	}
	engineErrors.Inc()
	m.record(EventUnreachable, "rank %d: %v", m.index, err)
	return false
}

func (m *member) record(kind timeline.Kind, format string, args ...any) {
	m.recorder.Record(timeline.Event{Kind: kind, Duty: string(m.group), Detail: fmt.Sprintf(format, args...)})
}
