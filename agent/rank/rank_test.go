package rank

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/timeline"
)

var errDown = errors.New("connection refused")

// recordingEngine obeys and records all orders, regardless of their fencing token.
type recordingEngine struct {
	state  lockstep.EngineState
	err    error
	orders []lockstep.EngineOrder
	staged []lockstep.Version
}

func (e *recordingEngine) ReadState(context.Context) (lockstep.EngineState, error) {
	return e.state, e.err
}

func (e *recordingEngine) SetMap(_ context.Context, o lockstep.EngineOrder) error {
	e.orders = append(e.orders, o)
	e.state.Order = o
	return nil
}

func (e *recordingEngine) StageWeights(_ context.Context, w groupmsg.Weights) error {
	e.staged = append(e.staged, w.Map)
	e.state.Staged = append(e.state.Staged, w.Map)
	return nil
}

func (e *recordingEngine) Layout(context.Context, lockstep.Version) (groupmsg.Layout, error) {
	return groupmsg.Layout{{3}}, nil
}

func (e *recordingEngine) Loads(context.Context) (groupmsg.Loads, error) {
	return groupmsg.Loads{Steps: 7}, nil
}

type sentStatuses struct{ statuses []groupmsg.Status }

func (s *sentStatuses) Send(status groupmsg.Status) { s.statuses = append(s.statuses, status) }

func (s *sentStatuses) last() groupmsg.Status { return s.statuses[len(s.statuses)-1] }

// fixture is a controller of one rank, in a formation on map 1.
type fixture struct {
	controller *Controller
	engine     *recordingEngine
	sent       *sentStatuses
	ring       *timeline.Ring
	epoch      lockstep.Epoch
}

func (f *fixture) handle(kind lockstep.CommandKind, decision lockstep.Decision) {
	f.controller.Handle(context.Background(), groupmsg.Order{Group: "g", Command: lockstep.Command{
		Kind: kind, Incarnation: "inc_1", Epoch: f.epoch, Decision: decision,
	}})
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		engine: &recordingEngine{}, sent: &sentStatuses{}, epoch: lockstep.NewEpoch(1),
		ring: timeline.NewRing("agent", 16, timeline.NewClock(fixedTime)),
	}
	f.controller = New(Config{
		Group: "g", Incarnation: "inc_1", Ranks: []LocalRank{{Engine: f.engine}}, LoadTicks: 3, Recorder: f.ring,
	}, f.sent)
	f.handle(lockstep.Join, lockstep.Decision{})
	stage := lockstep.Command{Kind: lockstep.Stage, Incarnation: "inc_1", Epoch: f.epoch, Map: 1}
	f.controller.Handle(context.Background(), groupmsg.Order{Group: "g", Command: stage, Weights: &groupmsg.Weights{Map: 1}})
	f.controller.Tick(context.Background())
	form := lockstep.Decision{Formation: f.epoch, Map: 1}
	f.handle(lockstep.Prepare, form)
	assert.Assert(t, f.sent.last().Report.Promised)
	f.handle(lockstep.Commit, form)
	assert.Equal(t, f.sent.last().Report.Committed, form)
	assert.Equal(t, f.engine.state.Order.MapAt(5), lockstep.Version(1))
	return f
}

func TestReassertsLostOrder(t *testing.T) {
	f := newFixture(t)
	want := f.engine.state.Order
	f.controller.Tick(context.Background())
	// An order from before the commit arrives late at an engine that ignores fencing tokens.
	f.engine.state.Order = f.engine.orders[0]
	f.controller.Tick(context.Background())
	assert.Equal(t, f.engine.state.Order, want)
	assert.Assert(t, recorded(f.ring, EventReasserted))
}

func TestKeepsNewerOrder(t *testing.T) {
	f := newFixture(t)
	newer := lockstep.EngineOrder{Epoch: f.epoch + 1, Formation: f.epoch + 1, Map: 2, SwitchAt: lockstep.Never}
	f.engine.state.Order = newer
	before := len(f.engine.orders)
	for range 3 {
		f.controller.Tick(context.Background())
	}
	assert.Equal(t, len(f.engine.orders), before)
	assert.Equal(t, f.engine.state.Order, newer)
}

func TestSupersededFormation(t *testing.T) {
	f := newFixture(t)
	f.epoch++
	f.handle(lockstep.Join, lockstep.Decision{})
	f.engine.err = errDown
	f.handle(lockstep.Prepare, lockstep.Decision{Formation: f.epoch, Map: 1})
	assert.Assert(t, !f.sent.last().Report.Promised)
	f.engine.err = nil
	newer := lockstep.EngineOrder{Epoch: f.epoch + 1, Formation: f.epoch + 1, Map: 2, SwitchAt: lockstep.Never}
	f.engine.state.Order = newer
	f.controller.Tick(context.Background())
	assert.Equal(t, f.engine.state.Order, newer)
	assert.Assert(t, recorded(f.ring, EventSuperseded))
}

func TestNoPromiseWithoutEngine(t *testing.T) {
	f := newFixture(t)
	f.engine.state.Staged = append(f.engine.state.Staged, 2)
	f.engine.err = errDown
	change := lockstep.Decision{Formation: f.epoch, Index: 1, Step: 9, Map: 2}
	count := len(f.sent.statuses)
	f.handle(lockstep.Prepare, change)
	for range 3 {
		f.controller.Tick(context.Background())
	}
	assert.Equal(t, len(f.sent.statuses), count, "rank without its engine is not silent")
	f.engine.err = nil
	f.controller.Tick(context.Background())
	assert.Assert(t, f.sent.last().Report.Promised)
	assert.Equal(t, f.engine.state.Order.MapAt(9), lockstep.Version(0))
}

func TestReports(t *testing.T) {
	f := newFixture(t)
	count := len(f.sent.statuses)
	f.controller.Handle(context.Background(), groupmsg.Order{Group: "other", Command: lockstep.Command{Kind: lockstep.Join}})
	f.controller.Handle(context.Background(), groupmsg.Order{Group: "g", Command: lockstep.Command{Kind: lockstep.Join, Rank: 1}})
	assert.Equal(t, len(f.sent.statuses), count)
	join := lockstep.Command{Kind: lockstep.Join, Epoch: f.epoch}
	f.controller.Handle(context.Background(), groupmsg.Order{Group: "g", Command: join, Describe: 1})
	assert.DeepEqual(t, f.sent.last().Described, &groupmsg.Weights{Map: 1, Layout: groupmsg.Layout{{3}}})
	f.controller.Tick(context.Background())
	f.controller.Tick(context.Background())
	assert.Equal(t, f.sent.last().Loads.Steps, uint64(7))
	assert.DeepEqual(t, f.engine.staged, []lockstep.Version{1})
}

func fixedTime() time.Time { return time.Unix(0, 0) }

func recorded(ring *timeline.Ring, kind timeline.Kind) bool {
	return len(ring.Events(func(e timeline.Event) bool { return e.Kind == kind })) > 0
}
