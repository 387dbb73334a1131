package group

import (
	"context"
	"os"
	"strconv"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/lockstep"
)

// maxRounds bounds the rounds until every rank runs on a new map.
const maxRounds = 150

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// active returns the coordinator with the highest fencing token.
func (w *world) active() *process { return w.processes[len(w.processes)-1] }

// changeMap changes the load and returns the rounds until all ranks run on a newer map.
func (w *world) changeMap() int {
	w.t.Helper()
	old := w.commonMap()
	w.drift()
	return w.runUntil(maxRounds, "new map", func() bool { return w.commonMap() > old })
}

// untilPhase runs rounds until the active coordinator is in a phase.
func (w *world) untilPhase(phase lockstep.Phase) {
	w.t.Helper()
	w.runUntil(maxRounds, string(phase), func() bool { return w.active().coordinator.Status().Phase == phase })
}

// faults are injected into a formed group whose transport is lossy.
var faults = []struct {
	name   string
	inject func(w *world)
}{
	{"loss and reordering", func(w *world) { w.changeMap() }},
	{"coordinator paused while changing", func(w *world) { w.pauseCoordinator(lockstep.PhaseChanging) }},
	{"coordinator paused while staging", func(w *world) { w.pauseCoordinator(lockstep.PhaseStaging) }},
	{"rank stalls while changing", func(w *world) { w.stallRank(lockstep.PhaseChanging) }},
	{"rank stalls while staging", func(w *world) { w.stallRank(lockstep.PhaseStaging) }},
	{"agent restarts while changing", func(w *world) {
		w.drift()
		w.untilPhase(lockstep.PhaseChanging)
		w.agents[3] = w.newAgent(3)
	}},
	{"host replaced", func(w *world) { w.replaceHost(3) }},
	{"host replaced under a new coordinator", func(w *world) {
		w.active().paused = true
		w.addProcess()
		w.replaceHost(5)
	}},
	{"superseded agent resumes beside its successor", func(w *world) {
		earlier := w.agents[0]
		w.agents[0] = w.newAgent(0)
		w.changeMap()
		for range 20 {
			earlier.Tick(context.Background())
			w.round()
		}
	}},
	{"superseded agent with a pending formation resumes", func(w *world) { w.resumeSupersededAgent() }},
	{"engine applies orders late", func(w *world) {
		w.engines[5].setDelay(4)
		w.changeMap()
		w.engines[5].setDelay(0)
	}},
	{"paused coordinator, stalled rank and replaced host", func(w *world) {
		w.stallRank(lockstep.PhaseChanging)
		w.pauseCoordinator(lockstep.PhaseChanging)
		w.replaceHost(7)
	}},
}

func (w *world) pauseCoordinator(phase lockstep.Phase) {
	w.drift()
	w.untilPhase(phase)
	earlier := w.active()
	earlier.paused = true
	w.addProcess()
	for range 10 {
		w.round()
	}
	earlier.paused = false
	w.changeMap()
	assert.Assert(w.t, !earlier.lease.held, "earlier coordinator was not fenced")
}

func (w *world) stallRank(phase lockstep.Phase) {
	w.drift()
	w.untilPhase(phase)
	w.engines[17].setStalled(true)
	before := w.checker.completed(ranks)
	for range 30 {
		w.round()
	}
	assert.Assert(w.t, w.checker.completed(ranks) <= before+1, "steps completed without rank 17")
	assert.DeepEqual(w.t, w.active().coordinator.Status().Silent, []int{17})
	w.engines[17].setStalled(false)
}

// resumeSupersededAgent resumes an agent whose pending order would take the engine
// out of the formation that the agent's successor joined.
func (w *world) resumeSupersededAgent() {
	w.agents[1] = w.newAgent(1)
	w.runUntil(maxRounds, "pending formation", func() bool { return w.engines[0].snapshot().Order.EntersFormation() })
	earlier := w.agents[0]
	w.agents[0] = w.newAgent(0)
	w.changeMap()
	formation := w.engines[0].snapshot().Order.Formation
	for range 20 {
		earlier.Tick(context.Background())
		w.round()
	}
	assert.Equal(w.t, w.engines[0].snapshot().Order.Formation, formation)
}

// replaceHost replaces an agent and its engines by new ones without state.
func (w *world) replaceHost(a int) {
	for i := range ranksPerAgent {
		r := a*ranksPerAgent + i
		w.engines[r] = newEngine(r, w.engines[r].ignoreFence)
	}
	w.agents[a] = w.newAgent(a)
}

const (
	// seedsVariable sets the number of seeds per fault.
	seedsVariable = "GROUP_SEEDS"
	defaultSeeds  = 3
)

func seedCount(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv(seedsVariable)
	if text == "" {
		return defaultSeeds
	}
	n, err := strconv.ParseUint(text, 10, 16)
	assert.NilError(t, err)
	return n
}

// TestFaults verifies that no step runs on two maps during a fault and that the map
// still changes after it. A longer run:
//
//	GROUP_SEEDS=40 go test ./itest/group -run TestFaults -v -timeout 20m
func TestFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			for seed := range seedCount(t) {
				w := newWorld(t, seed)
				formed := w.runUntil(maxRounds, "first map", func() bool { return w.commonMap() != 0 })
				w.lossy = true
				fault.inject(w)
				w.lossy = false
				again := w.runUntil(maxRounds, "group runs", func() bool { return w.commonMap() != 0 })
				changed := w.changeMap()
				t.Logf("seed %d: rounds to form %d, to run after the fault %d, to a new map %d; %d steps completed",
					seed, formed, again, changed, w.checker.completed(ranks))
			}
		})
	}
}

// TestNoCoordinator verifies that a group runs at full rate without a coordinator.
func TestNoCoordinator(t *testing.T) {
	w := newWorld(t, 1)
	w.runUntil(maxRounds, "first map", func() bool { return w.commonMap() != 0 })
	w.active().paused = true
	before := w.checker.completed(ranks)
	const rounds = 50
	for range rounds {
		w.round()
	}
	assert.Equal(t, w.checker.completed(ranks), before+rounds*stepsPerRound)
}
