package ranks

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	protocol "github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/agent/rank"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

var _ rank.Engine = (*protocol.RankClient)(nil)

func TestRecorderFindsViolations(t *testing.T) {
	tests := []struct {
		name   string
		begin  func(rec *recorder)
		splits int
	}{
		{"one map", func(rec *recorder) {
			rec.begin(0, stepKey{1, 0}, 7, 1, time.Time{})
			rec.begin(1, stepKey{1, 0}, 7, 1, time.Time{})
		}, 0},
		{"two maps", func(rec *recorder) {
			rec.begin(0, stepKey{1, 0}, 7, 1, time.Time{})
			rec.begin(1, stepKey{1, 0}, 8, 1, time.Time{})
		}, 1},
		{"step repeated", func(rec *recorder) {
			rec.begin(0, stepKey{1, 0}, 7, 1, time.Time{})
			rec.begin(0, stepKey{1, 0}, 7, 1, time.Time{})
		}, 1},
		{"earlier formation", func(rec *recorder) {
			rec.begin(0, stepKey{2, 0}, 7, 1, time.Time{})
			rec.begin(1, stepKey{1, 9}, 7, 1, time.Time{})
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := newRecorder(2, 4, time.Time{})
			tt.begin(rec)
			assert.Equal(t, len(rec.summary.Violations), tt.splits)
		})
	}
}

// client returns a client of a rank's engine over HTTP.
func client(t *testing.T, url, rank string) *protocol.RankClient {
	t.Helper()
	c, err := protocol.NewRankClient(protocol.Config{URL: url + "/ranks/" + rank})
	assert.NilError(t, err)
	return c
}

// TestStepNeedsOrderAndAllRanks guards against a rank that steps without an order, or
// ahead of a rank that isn't permitted to step, through the engines' HTTP interface.
func TestStepNeedsOrderAndAllRanks(t *testing.T) {
	g := New(Config{Size: 2, Layers: 1, Experts: 3, StepTime: time.Millisecond, StageTime: time.Millisecond, Fencing: true})
	server := httptest.NewServer(g.Handler())
	t.Cleanup(server.Close)
	ctx := context.Background()
	engines := []*protocol.RankClient{client(t, server.URL, "0"), client(t, server.URL, "1")}
	now := time.Now()
	run := func(steps int) {
		for range steps {
			now = now.Add(time.Second)
			g.Advance(now)
		}
	}
	layouts := []groupmsg.Layout{{{0, 1}}, {{2, 0}}}
	for i, e := range engines {
		assert.NilError(t, e.StageWeights(ctx, groupmsg.Weights{Map: 5, Layout: layouts[i]}))
		assert.NilError(t, e.SetMap(ctx, lockstep.EngineOrder{Epoch: 9, Turn: 1, Formation: 9, Map: 5}))
	}
	run(3)
	forward := lockstep.EngineOrder{Epoch: 9, Turn: 2, Formation: 9, Map: 5, SwitchAt: lockstep.Never}
	assert.NilError(t, engines[0].SetMap(ctx, forward))
	run(3)
	state, err := engines[0].ReadState(ctx)
	assert.NilError(t, err)
	assert.Equal(t, state.Next, lockstep.Step(1))
	assert.Equal(t, state.Order, forward)
	forward.SwitchAt = 2
	assert.NilError(t, engines[1].SetMap(ctx, forward))
	run(9)
	assert.Equal(t, g.Summary().Steps, uint64(2))
	loads, err := engines[0].Loads(ctx)
	assert.NilError(t, err)
	assert.Equal(t, loads.Steps, uint64(3))
	assert.Assert(t, loads.Tokens[0][0] > 0)
	layout, err := engines[1].Layout(ctx, 5)
	assert.NilError(t, err)
	assert.DeepEqual(t, layout, layouts[1])
	old := lockstep.EngineOrder{Epoch: 8, Formation: 8, Map: 5}
	assert.ErrorContains(t, engines[0].SetMap(ctx, old), errFenced.Error())
	g.Restart(0)
	assert.ErrorContains(t, engines[0].SetMap(ctx, forward), errOtherFormation.Error())
	assert.Equal(t, len(g.Summary().Violations), 0)
}
