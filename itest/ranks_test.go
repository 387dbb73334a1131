package itest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/fleet/config"
	labplatform "github.com/siskinford/siskinford/lab/platform"
	"github.com/siskinford/siskinford/lab/procs"
	"github.com/siskinford/siskinford/lab/ranks"
)

// rankPollInterval is the time between questions for a state that a test waits for.
const rankPollInterval = 10 * time.Millisecond

// groupWorld is a cluster with a group of six ranks on three agents.
type groupWorld struct {
	t   *testing.T
	ctx context.Context
	*procs.Cluster
}

// newGroupWorld starts a group whose map changes with the drift of the experts'
// popularity, and waits for the first change. Args are for the engines.
func newGroupWorld(t *testing.T, args ...string) *groupWorld {
	t.Helper()
	args = append([]string{"--jitter=3ms", "--drift=300ms"}, args...)
	w := startGroupWorld(t, args, "--group-plan-interval=500ms")
	w.awaitChange()
	return w
}

func startGroupWorld(t *testing.T, engineArgs []string, entryArgs ...string) *groupWorld {
	t.Helper()
	ctx, c := cluster(t, procs.Options{
		Entries: 2, ModelEndpoints: 3,
		Ranks: &procs.RankOptions{
			Experts: config.Experts{Ranks: 6, Layers: 2, PerLayer: 12, SlotsPerRank: 3},
			Args:    append([]string{"--step-time=3ms"}, engineArgs...),
		},
		EntryArgs: append([]string{"--group-tick=20ms", "--group-lease=2s", "--group-poll-interval=80ms"}, entryArgs...),
		AgentArgs: []string{"--rank-tick=10ms", "--rank-load-interval=100ms", "--rank-engine-timeout=300ms"},
	})
	return &groupWorld{t: t, ctx: ctx, Cluster: c}
}

// until waits for a condition, for as long as the test may take.
func (w *groupWorld) until(what string, done func() bool) {
	w.t.Helper()
	for !done() {
		select {
		case <-w.ctx.Done():
			w.t.Fatalf("%s: not reached: %+v", what, w.summary())
		case <-time.After(rankPollInterval):
		}
	}
}

// summary returns the state of the witness, and fails the test if a step was
// not run by all ranks on one map.
func (w *groupWorld) summary() ranks.Summary {
	w.t.Helper()
	s, err := w.Ranks.Summary(context.WithoutCancel(w.ctx))
	assert.NilError(w.t, err)
	assert.Equal(w.t, len(s.Violations), 0, "%+v", s.Violations)
	return s
}

// awaitChange waits until all ranks step on a map that was not in use before.
func (w *groupWorld) awaitChange() {
	w.t.Helper()
	before := w.summary().Maps
	w.until("new map", func() bool { return len(w.summary().Maps) > len(before) })
}

// awaitSteps waits until the group has run more steps.
func (w *groupWorld) awaitSteps(n uint64) {
	w.t.Helper()
	before := w.summary().Steps
	w.until("steps", func() bool { return w.summary().Steps >= before+n })
}

// gauge returns the value of a group's gauge at an entry, empty if it does not answer.
func (w *groupWorld) gauge(e *procs.Entry, name string) string {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.OperatorURL+"/metrics", nil)
	assert.NilError(w.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	prefix := fmt.Sprintf("%s{group=%q} ", name, string(procs.Group))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), prefix); ok {
			return value
		}
	}
	return ""
}

// coordinators returns the entries that believe to coordinate the group.
func (w *groupWorld) coordinators() []*procs.Entry {
	var out []*procs.Entry
	for _, e := range w.Entries {
		if w.gauge(e, "siskinford_group_coordinator") == "1" {
			out = append(out, e)
		}
	}
	return out
}

// coordinator waits until one entry coordinates the group and returns it.
func (w *groupWorld) coordinator() *procs.Entry {
	w.t.Helper()
	var found []*procs.Entry
	w.until("one coordinator", func() bool {
		found = w.coordinators()
		return len(found) == 1
	})
	return found[0]
}

// inChange waits until the coordinator has begun another change and returns it.
func (w *groupWorld) inChange() *procs.Entry {
	w.t.Helper()
	e := w.coordinator()
	count := func() int { return strings.Count(e.Process.Output(), "changing at epoch") }
	before := count()
	w.until("change", func() bool { return count() > before })
	return e
}

// awaitTakeover waits until a map of a later lease is in use.
func (w *groupWorld) awaitTakeover(before lockstep.Version) {
	w.t.Helper()
	w.until("map of a later lease", func() bool {
		return lockstep.Epoch(w.summary().MapVersion).Lease() > lockstep.Epoch(before).Lease()
	})
}

func TestOneMapPerStep(t *testing.T) {
	tests := []struct {
		name   string
		engine []string
		strike func(w *groupWorld)
	}{
		{"coordinator killed in a change", nil, func(w *groupWorld) {
			e := w.inChange()
			before := w.summary().MapVersion
			e.Process.Kill()
			w.awaitTakeover(before)
			assert.NilError(w.t, w.RestartEntry(w.ctx, e))
		}},
		{"coordinator paused past its lease, engines ignore fencing", nil, func(w *groupWorld) {
			e := w.inChange()
			before := w.summary().MapVersion
			e.Process.Suspend()
			w.awaitTakeover(before)
			e.Process.Resume()
			w.awaitChange()
			assert.Assert(w.t, w.coordinator() != e)
		}},
		{"coordinator paused past its lease, engines check fencing", []string{"--fencing"}, func(w *groupWorld) {
			e := w.inChange()
			before := w.summary().MapVersion
			e.Process.Suspend()
			w.awaitTakeover(before)
			e.Process.Resume()
		}},
		{"agent frozen", nil, func(w *groupWorld) {
			agent := w.Endpoints[1].Agent
			agent.Suspend()
			w.until("two silent ranks", func() bool {
				e := w.coordinator()
				return w.gauge(e, "siskinford_group_silent_ranks") == "2"
			})
			agent.Resume()
		}},
		{"agent restarted in a change", nil, func(w *groupWorld) {
			formation := w.summary().Formation
			w.inChange()
			w.Endpoints[0].Agent.Kill()
			assert.NilError(w.t, w.RestartAgent(w.ctx, w.Endpoints[0]))
			w.until("new formation", func() bool { return w.summary().Formation > formation })
		}},
		{"engine restarted", nil, func(w *groupWorld) {
			formation := w.summary().Formation
			assert.NilError(w.t, w.Ranks.Restart(w.ctx, 3))
			w.until("new formation", func() bool { return w.summary().Formation > formation })
		}},
		{"engine stalled in a change", nil, func(w *groupWorld) {
			w.inChange()
			assert.NilError(w.t, w.Ranks.SetFaults(w.ctx, 5, ranks.Faults{Stall: true}))
			w.until("a silent rank", func() bool {
				return w.gauge(w.coordinator(), "siskinford_group_silent_ranks") == "1"
			})
			assert.NilError(w.t, w.Ranks.SetFaults(w.ctx, 5, ranks.Faults{}))
		}},
		{"orders take effect late, engines check fencing", []string{"--fencing"}, func(w *groupWorld) {
			late := ranks.Faults{OrderDelayMS: 1200}
			assert.NilError(w.t, w.Ranks.SetFaults(w.ctx, 2, late))
			w.awaitChange()
			assert.NilError(w.t, w.Ranks.SetFaults(w.ctx, 2, ranks.Faults{}))
		}},
		{"agent's link silent", nil, func(w *groupWorld) {
			w.Endpoints[2].Proxy.BlackholeExisting()
		}},
		{"platform down, then an agent restarted", nil, func(w *groupWorld) {
			assert.NilError(w.t, w.SetPlatformFaults(w.ctx, labplatform.Faults{Outage: labplatform.OutageHang}))
			w.until("no coordinator", func() bool { return len(w.coordinators()) == 0 })
			w.Endpoints[1].Agent.Kill()
			assert.NilError(w.t, w.RestartAgent(w.ctx, w.Endpoints[1]))
			assert.NilError(w.t, w.SetPlatformFaults(w.ctx, labplatform.Faults{}))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newGroupWorld(t, tt.engine...)
			tt.strike(w)
			w.awaitChange()
			w.awaitSteps(50)
		})
	}
}

// TestGroupRunsOnWithoutPlatform verifies that a group whose coordinator lost its
// lease keeps its map and its steps, and changes again after the outage.
func TestGroupRunsOnWithoutPlatform(t *testing.T) {
	w := newGroupWorld(t)
	assert.NilError(t, w.SetPlatformFaults(w.ctx, labplatform.Faults{Outage: labplatform.OutageRefuse}))
	w.until("no coordinator", func() bool { return len(w.coordinators()) == 0 })
	w.awaitSteps(200) // A change that was decided on takes hold in these.
	before := w.summary()
	w.awaitSteps(100)
	assert.DeepEqual(t, w.summary().Maps, before.Maps)
	assert.NilError(t, w.SetPlatformFaults(w.ctx, labplatform.Faults{}))
	w.awaitChange()
}

// TestCoordinatorCutFromPlatform verifies that another entry takes over.
func TestCoordinatorCutFromPlatform(t *testing.T) {
	w := newGroupWorld(t)
	e := w.coordinator()
	before := w.summary().MapVersion
	e.PlatformProxy.Set(cutBoth)
	w.awaitTakeover(before)
	assert.Assert(t, w.coordinator() != e)
}
