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

// rankPollInterval is the time between checks of a condition on the group.
const rankPollInterval = 10 * time.Millisecond

// groupCluster is a cluster with one group of six ranks behind three agents.
type groupCluster struct {
	t   *testing.T
	ctx context.Context
	*procs.Cluster
}

// newGroupCluster starts a group whose map changes as the popularity of experts
// drifts, and waits for the first change. Args are flags of the engines.
func newGroupCluster(t *testing.T, args ...string) *groupCluster {
	t.Helper()
	args = append([]string{"--jitter=3ms", "--drift=300ms"}, args...)
	w := startGroupCluster(t, args, "--group-plan-interval=500ms")
	w.awaitChange()
	return w
}

func startGroupCluster(t *testing.T, engineArgs []string, entryArgs ...string) *groupCluster {
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
	return &groupCluster{t: t, ctx: ctx, Cluster: c}
}

// until waits for a condition until the test times out.
func (w *groupCluster) until(what string, done func() bool) {
	w.t.Helper()
	for !done() {
		select {
		case <-w.ctx.Done():
			w.t.Fatalf("%s: not reached: %+v", what, w.summary())
		case <-time.After(rankPollInterval):
		}
	}
}

// summary returns the summary of the engines' steps. It fails the test if a step was
// not run by all ranks on one map.
func (w *groupCluster) summary() ranks.Summary {
	w.t.Helper()
	s, err := w.Ranks.Summary(context.WithoutCancel(w.ctx))
	assert.NilError(w.t, err)
	assert.Equal(w.t, len(s.Violations), 0, "%+v", s.Violations)
	return s
}

// awaitChange waits until all ranks step on a map that was not in use before.
func (w *groupCluster) awaitChange() {
	w.t.Helper()
	before := w.summary().Maps
	w.until("new map", func() bool { return len(w.summary().Maps) > len(before) })
}

// awaitSteps waits until the group has run more steps.
func (w *groupCluster) awaitSteps(n uint64) {
	w.t.Helper()
	before := w.summary().Steps
	w.until("steps", func() bool { return w.summary().Steps >= before+n })
}

// gauge returns the value of the group's gauge at an entry, empty if it does not answer.
func (w *groupCluster) gauge(e *procs.Entry, name string) string {
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

// coordinators returns the entries whose gauge says that they coordinate the group.
func (w *groupCluster) coordinators() []*procs.Entry {
	var out []*procs.Entry
	for _, e := range w.Entries {
		if w.gauge(e, "siskinford_group_coordinator") == "1" {
			out = append(out, e)
		}
	}
	return out
}

// coordinator waits until exactly one entry coordinates the group and returns it.
func (w *groupCluster) coordinator() *procs.Entry {
	w.t.Helper()
	var found []*procs.Entry
	w.until("one coordinator", func() bool {
		found = w.coordinators()
		return len(found) == 1
	})
	return found[0]
}

// awaitChangeBegun waits until the coordinator begins another change of the map.
func (w *groupCluster) awaitChangeBegun() *procs.Entry {
	w.t.Helper()
	e := w.coordinator()
	count := func() int { return strings.Count(e.Process.Output(), "changing at epoch") }
	before := count()
	w.until("change", func() bool { return count() > before })
	return e
}

// awaitTakeover waits until a map of a later lease than that of before is in use.
func (w *groupCluster) awaitTakeover(before lockstep.Version) {
	w.t.Helper()
	w.until("map of a later lease", func() bool {
		return lockstep.Epoch(w.summary().MapVersion).Lease() > lockstep.Epoch(before).Lease()
	})
}

func TestOneMapPerStep(t *testing.T) {
	tests := []struct {
		name   string
		engine []string
		inject func(w *groupCluster)
	}{
		{"coordinator killed in a change", nil, func(w *groupCluster) {
			e := w.awaitChangeBegun()
			before := w.summary().MapVersion
			e.Process.Kill()
			w.awaitTakeover(before)
			assert.NilError(w.t, w.RestartEntry(w.ctx, e))
		}},
		{"coordinator paused past its lease, engines ignore fencing", nil, func(w *groupCluster) {
			e := w.awaitChangeBegun()
			before := w.summary().MapVersion
			e.Process.Suspend()
			w.awaitTakeover(before)
			e.Process.Resume()
			w.awaitChange()
			assert.Assert(w.t, w.coordinator() != e)
		}},
		{"coordinator paused past its lease, engines check fencing", []string{"--fencing"}, func(w *groupCluster) {
			e := w.awaitChangeBegun()
			before := w.summary().MapVersion
			e.Process.Suspend()
			w.awaitTakeover(before)
			e.Process.Resume()
		}},
		{"agent frozen", nil, func(w *groupCluster) {
			agent := w.Endpoints[1].Agent
			agent.Suspend()
			w.until("two silent ranks", func() bool {
				e := w.coordinator()
				return w.gauge(e, "siskinford_group_silent_ranks") == "2"
			})
			agent.Resume()
		}},
		{"agent restarted in a change", nil, func(w *groupCluster) {
			formation := w.summary().Formation
			w.awaitChangeBegun()
			w.Endpoints[0].Agent.Kill()
			assert.NilError(w.t, w.RestartAgent(w.ctx, w.Endpoints[0]))
			w.until("new formation", func() bool { return w.summary().Formation > formation })
		}},
		{"engine restarted", nil, func(w *groupCluster) {
			formation := w.summary().Formation
			assert.NilError(w.t, w.Ranks.Restart(w.ctx, 3))
			w.until("new formation", func() bool { return w.summary().Formation > formation })
		}},
		{"engine stalled in a change", nil, func(w *groupCluster) {
			w.awaitChangeBegun()
			assert.NilError(w.t, w.Ranks.SetFaults(w.ctx, 5, ranks.Faults{Stall: true}))
			w.until("a silent rank", func() bool {
				return w.gauge(w.coordinator(), "siskinford_group_silent_ranks") == "1"
			})
			assert.NilError(w.t, w.Ranks.SetFaults(w.ctx, 5, ranks.Faults{}))
		}},
		{"orders take effect late, engines check fencing", []string{"--fencing"}, func(w *groupCluster) {
			late := ranks.Faults{OrderDelayMS: 1200}
			assert.NilError(w.t, w.Ranks.SetFaults(w.ctx, 2, late))
			w.awaitChange()
			assert.NilError(w.t, w.Ranks.SetFaults(w.ctx, 2, ranks.Faults{}))
		}},
		{"agent's link silent", nil, func(w *groupCluster) {
			w.Endpoints[2].Proxy.BlackholeExisting()
		}},
		{"platform down, then an agent restarted", nil, func(w *groupCluster) {
			assert.NilError(w.t, w.SetPlatformFaults(w.ctx, labplatform.Faults{Outage: labplatform.OutageHang}))
			w.until("no coordinator", func() bool { return len(w.coordinators()) == 0 })
			w.Endpoints[1].Agent.Kill()
			assert.NilError(w.t, w.RestartAgent(w.ctx, w.Endpoints[1]))
			assert.NilError(w.t, w.SetPlatformFaults(w.ctx, labplatform.Faults{}))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newGroupCluster(t, tt.engine...)
			tt.inject(w)
			w.awaitChange()
			w.awaitSteps(50)
		})
	}
}

// TestGroupRunsOnWithoutPlatform verifies that a group whose coordinator lost its
// lease keeps running on its map, and that the map changes again after the outage.
func TestGroupRunsOnWithoutPlatform(t *testing.T) {
	w := newGroupCluster(t)
	assert.NilError(t, w.SetPlatformFaults(w.ctx, labplatform.Faults{Outage: labplatform.OutageRefuse}))
	w.until("no coordinator", func() bool { return len(w.coordinators()) == 0 })
	w.awaitSteps(200) // a change under way takes effect within these steps
	before := w.summary()
	w.awaitSteps(100)
	assert.DeepEqual(t, w.summary().Maps, before.Maps)
	assert.NilError(t, w.SetPlatformFaults(w.ctx, labplatform.Faults{}))
	w.awaitChange()
}

// TestCoordinatorCutFromPlatform verifies that another entry takes over the lease.
func TestCoordinatorCutFromPlatform(t *testing.T) {
	w := newGroupCluster(t)
	e := w.coordinator()
	before := w.summary().MapVersion
	e.PlatformProxy.Set(cutBoth)
	w.awaitTakeover(before)
	assert.Assert(t, w.coordinator() != e)
}
