package direct

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/roster"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/wire/relay"
)

// newTestMonitor returns a monitor of one rank of a group with the given engine. Nothing
// is connected.
func newTestMonitor(t *testing.T, e routes.Engine) (*GroupMonitor, *rankMonitor) {
	t.Helper()
	h := NewHandler(Options{
		Codec: testCodec{}, Entries: func() int { return 1 }, Log: zerolog.Nop(), Retries: retry.WindowConfig{Length: time.Second},
	})
	table, err := routes.NewTable(routes.Config{Version: 1, Services: []routes.Service{{Name: "s", Engine: &e}}})
	assert.NilError(t, err)
	h.SetTable(table)
	h.SetEndpoints([]Endpoint{{Name: "a", Service: "s", Address: "127.0.0.1:1"}})
	rank := ranklink.Endpoint{Name: "a", Address: "127.0.0.1:1"}
	w := &rankMonitor{polling: polling{interval: monitorInterval, monitored: true}}
	return &GroupMonitor{
		Service: h.Service("s"), Roster: roster.New(func() {}), Log: zerolog.Nop(),
		links: map[ranklink.Endpoint]*rankMonitor{rank: w}, listed: map[ranklink.Endpoint]id.Zone{rank: "z"},
	}, w
}

// TestLongPassesAreNoOutage checks that the stall timeout scales with the engine: a pass
// of a slow engine takes as long as an outage of a fast one.
func TestLongPassesAreNoOutage(t *testing.T) {
	fast := routes.Engine{Slots: 12, StepTime: 4550 * time.Microsecond, StepTimePerSequence: 905 * time.Microsecond, StepsPerPass: 4, Experts: &routes.Experts{LayerSets: 1, ExpertsPerSet: 1, SlotsPerRank: 1}}
	slow := fast
	slow.StepTime, slow.StepTimePerSequence = 22*time.Millisecond, 3600*time.Microsecond
	cases := map[string]struct {
		engine        routes.Engine
		sinceLastPass time.Duration
		open          bool
		down          bool
	}{
		"fast engine, a pass ago":        {fast, 200 * time.Millisecond, true, false},
		"fast engine stalled":            {fast, 500 * time.Millisecond, true, true},
		"slow engine, uneven pass":       {slow, 900 * time.Millisecond, true, false},
		"slow engine stalled":            {slow, 1500 * time.Millisecond, true, true},
		"slow engine, a rank is missing": {slow, 100 * time.Millisecond, false, true},
		"engine without durations":       {routes.Engine{Slots: 1}, 500 * time.Millisecond, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, w := newTestMonitor(t, c.engine)
			now := time.Now()
			w.state = relay.State{Group: "g", Open: c.open, Step: 7, Running: 3}
			w.stateAt, w.activeAt = now, now.Add(-c.sinceLastPass)
			g.evaluate(now)
			assert.Equal(t, g.Service.Down(), c.down)
		})
	}
}

// TestEngineSlotsChangeWithConfiguration checks that a changed engine takes effect without
// a restart.
func TestEngineSlotsChangeWithConfiguration(t *testing.T) {
	h := NewHandler(Options{
		Codec: testCodec{}, Entries: func() int { return 1 }, Log: zerolog.Nop(), Retries: retry.WindowConfig{Length: time.Second},
	})
	h.SetEndpoints([]Endpoint{{Name: "a", Service: "s", Address: "127.0.0.1:1"}})
	for version, slots := range []int{2, 5} {
		table, err := routes.NewTable(routes.Config{
			Version: uint64(version) + 1, Services: []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: slots}}},
		})
		assert.NilError(t, err)
		h.SetTable(table)
		s := h.Service("s")
		slot, d := s.Acquire(t.Context(), scheduler.Request{Target: time.Hour, Deadline: time.Hour}, nil)
		assert.Assert(t, slot != nil, "%v", d)
		assert.Equal(t, slot.Decision.Capacity, slots)
		slot.Release(Succeeded)
	}
}
