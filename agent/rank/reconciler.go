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
	// EventOrdered is recorded when an engine accepted an order.
	EventOrdered timeline.Kind = "rank.ordered"
	// EventReasserted is recorded when an engine lost the order in force.
	EventReasserted timeline.Kind = "rank.reasserted"
	// EventSuperseded is recorded when an engine follows a newer agent or coordinator.
	EventSuperseded timeline.Kind = "rank.superseded"
	// EventDiverged is recorded when an engine ran a step against its orders.
	EventDiverged timeline.Kind = "rank.diverged"
	// EventUnreachable is recorded when a call of an engine failed.
	EventUnreachable timeline.Kind = "rank.engine-unreachable"
)

var (
	reasserts    = metrics.NewCounter(`siskinford_rank_reasserts_total`)
	superseded   = metrics.NewCounter(`siskinford_rank_superseded_total`)
	divergences  = metrics.NewCounter(`siskinford_rank_diverged_total`)
	engineErrors = metrics.NewCounter(`siskinford_rank_engine_errors_total`)
)

// reconciler drives the engine of one rank to the state that the coordinator wants.
type reconciler struct {
	group     id.Group
	index     int
	engine    Engine
	transport Transport
	recorder  timeline.Recorder
	loadTicks int

	// engineMu serializes calls of reconcile, so that at most one call of SetMap is in
	// flight. Lock order: engineMu before mu.
	engineMu sync.Mutex

	// mu guards the fields below. It is not held during calls.
	mu          sync.Mutex
	rank        *lockstep.Rank
	weights     *groupmsg.Weights
	describeMap lockstep.Version
	ticks       int
	// inForce is the last wanted order that was read back from the engine.
	inForce    lockstep.EngineOrder
	diverged   bool
	superseded bool
}

func newReconciler(cfg Config, l LocalRank, t Transport) *reconciler {
	return &reconciler{
		group: cfg.Group, index: l.Index, engine: l.Engine, transport: t,
		recorder: cfg.Recorder, loadTicks: cfg.LoadTicks,
		rank: lockstep.NewRank(l.Index, cfg.Incarnation),
	}
}

func (r *reconciler) handle(ctx context.Context, o groupmsg.Order) {
	if !r.receive(o) {
		return
	}
	// A rank whose engine does not respond sends no report, so that the coordinator
	// starts no change and lists the rank as silent.
	if _, ok := r.reconcile(ctx); ok {
		r.report(ctx, false)
	}
}

// receive passes the command to the state machine and reports whether to send a report.
func (r *reconciler) receive(o groupmsg.Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.rank.Receive(o.Command) {
		return false
	}
	if o.Weights != nil && (r.weights == nil || o.Weights.Map >= r.weights.Map) {
		r.weights = o.Weights
	}
	r.describeMap = max(r.describeMap, o.Describe)
	return true
}

func (r *reconciler) tick(ctx context.Context) {
	r.mu.Lock()
	r.ticks++
	loadsDue := r.ticks%r.loadTicks == 0
	r.mu.Unlock()
	changed, ok := r.reconcile(ctx)
	if ok && (changed || loadsDue) {
		r.report(ctx, loadsDue)
	}
}

// reconcile reads the engine, sends an order if its state is not the wanted one, and
// then reads it again. It returns whether there is a change to report to the
// coordinator, and whether the engine responded.
func (r *reconciler) reconcile(ctx context.Context) (changed, ok bool) {
	r.engineMu.Lock()
	defer r.engineMu.Unlock()
	changed, actions, ok := r.readEngine(ctx)
	if !ok {
		return false, false
	}
	if actions.stage != nil {
		r.checkError(r.engine.StageWeights(ctx, *actions.stage))
	}
	if actions.order == nil {
		return changed, true
	}
	if !r.checkError(r.engine.SetMap(ctx, *actions.order)) {
		return changed, true
	}
	r.record(EventOrdered, "%+v", *actions.order)
	again, _, _ := r.readEngine(ctx)
	return changed || again, true
}

// engineActions are the calls that bring the engine to the wanted state, if set.
type engineActions struct {
	order *lockstep.EngineOrder
	stage *groupmsg.Weights
}

func (r *reconciler) readEngine(ctx context.Context) (changed bool, actions engineActions, ok bool) {
	state, err := r.engine.ReadState(ctx)
	if !r.checkError(err) {
		return false, engineActions{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed = r.rank.Observe(state)
	r.recordDivergence()
	if v, wanted := r.rank.MapToStage(); wanted && r.weights != nil && r.weights.Map == v {
		actions.stage = r.weights
	}
	actions.order = r.orderToSend(state)
	return changed, actions, true
}

// orderToSend returns the wanted order, or nil if the engine has it or a newer one in
// force. An engine that ignores fencing tokens would obey an outdated order.
func (r *reconciler) orderToSend(state lockstep.EngineState) *lockstep.EngineOrder {
	want, ok := r.rank.Order()
	if !ok {
		return nil
	}
	if state.Order == want {
		r.inForce = want
		r.superseded = false
		return nil
	}
	if want.Older(state.Order) {
		r.recordSuperseded(state)
		return nil
	}
	if r.inForce == want {
		reasserts.Inc()
		r.record(EventReasserted, "rank %d showed epoch %d turn %d", r.index, state.Order.Epoch, state.Order.Turn)
	}
	return &want
}

func (r *reconciler) recordSuperseded(state lockstep.EngineState) {
	if !r.superseded {
		superseded.Inc()
		r.record(EventSuperseded, "rank %d obeys epoch %d turn %d", r.index, state.Order.Epoch, state.Order.Turn)
	}
	r.superseded = true
}

func (r *reconciler) recordDivergence() {
	diverged := r.rank.Diverged()
	if diverged && !r.diverged {
		divergences.Inc()
		r.record(EventDiverged, "rank %d", r.index)
	}
	r.diverged = diverged
}

// report sends the rank's state, with its loads if they are due and with the layout
// that the coordinator requested.
func (r *reconciler) report(ctx context.Context, loads bool) {
	s := groupmsg.Status{Group: r.group}
	if loads {
		if l, err := r.engine.Loads(ctx); r.checkError(err) {
			s.Loads = &l
		}
	}
	r.mu.Lock()
	describe := r.describeMap
	r.describeMap = 0
	r.mu.Unlock()
	if describe != 0 {
		if layout, err := r.engine.Layout(ctx, describe); r.checkError(err) {
			s.Described = &groupmsg.Weights{Map: describe, Layout: layout}
		}
	}
	r.mu.Lock()
	s.Report = r.rank.Report()
	r.mu.Unlock()
	r.transport.Send(s)
}

// checkError records an error of the engine and reports whether err is nil.
func (r *reconciler) checkError(err error) bool {
	if err == nil {
		return true
	}
	engineErrors.Inc()
	r.record(EventUnreachable, "rank %d: %v", r.index, err)
	return false
}

func (r *reconciler) record(kind timeline.Kind, format string, args ...any) {
	r.recorder.Record(timeline.Event{Kind: kind, Duty: string(r.group), Detail: fmt.Sprintf(format, args...)})
}
