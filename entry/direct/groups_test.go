package direct

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/intake"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/roster"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/wire/relay"
)

// groupWatch returns a watch of one rank of a group whose engine is given. Nothing
// is connected.
func groupWatch(t *testing.T, e routes.Engine) (*GroupMonitor, *watched) {
	t.Helper()
	h := NewHandler(Options{
		Codec: testCodec{}, Entries: func() int { return 1 }, Log: zerolog.Nop(), Retries: retry.WindowConfig{Length: time.Second},
	})
	table, err := routes.NewTable(routes.Config{Version: 1, Services: []routes.Service{{Name: "s", Engine: &e}}})
	assert.NilError(t, err)
	h.SetTable(table)
	h.SetEndpoints([]Endpoint{{Name: "a", Service: "s", Address: "127.0.0.1:1"}})
	rank := ranklink.Endpoint{Name: "a", Address: "127.0.0.1:1"}
	w := &watched{look: look{every: fastLook, decides: true}}
	return &GroupMonitor{
		Service: h.Service("s"), Roster: roster.New(func() {}), Log: zerolog.Nop(),
		links: map[ranklink.Endpoint]*watched{rank: w}, listed: map[ranklink.Endpoint]id.Zone{rank: "z"},
	}, w
}

// TestLongPassesAreNoOutage names the pattern "a pass of a slow engine lasts as long
// as an outage of a fast one".
func TestLongPassesAreNoOutage(t *testing.T) {
	fast := routes.Engine{Slots: 12, StepTime: 4550 * time.Microsecond, StepTimePerSequence: 905 * time.Microsecond, StepsPerPass: 4, Experts: &routes.Experts{LayerSets: 1, ExpertsPerSet: 1, SlotsPerRank: 1}}
	slow := fast
	slow.StepTime, slow.StepTimePerSequence = 22*time.Millisecond, 3600*time.Microsecond
	cases := map[string]struct {
		engine routes.Engine
		since  time.Duration // the begin of the last pass
		open   bool
		down   bool
	}{
		"fast engine, a pass ago":      {fast, 200 * time.Millisecond, true, false},
		"fast engine stands":           {fast, 500 * time.Millisecond, true, true},
		"slow engine, uneven pass":     {slow, 900 * time.Millisecond, true, false},
		"slow engine stands":           {slow, 1500 * time.Millisecond, true, true},
		"slow engine, a rank is away":  {slow, 100 * time.Millisecond, false, true},
		"engine without any duration ": {routes.Engine{Slots: 1}, 500 * time.Millisecond, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, w := groupWatch(t, c.engine)
			now := time.Now()
			w.state = relay.State{Group: "g", Open: c.open, Step: 7, Running: 3}
			w.seen, w.stepped = now, now.Add(-c.since)
			g.judge(now)
			assert.Equal(t, g.Service.Down(), c.down)
		})
	}
}

// TestEngineIsFollowed: another size of the engines takes effect without a restart.
func TestEngineIsFollowed(t *testing.T) {
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
		slot, d := s.Acquire(t.Context(), intake.Request{Target: time.Hour, Deadline: time.Hour}, nil)
		assert.Assert(t, slot != nil, "%v", d)
		assert.Equal(t, slot.Decision.Capacity, slots)
		slot.Release(Succeeded)
	}
}
