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

// limit is the number of rounds within which a map has to take hold.
const limit = 150

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// active returns the coordinator with the greatest lease.
func (w *world) active() *process { return w.processes[len(w.processes)-1] }

// newMap changes the load and waits until a map newer than the current one is in use everywhere.
func (w *world) newMap() int {
	w.t.Helper()
	old := w.runsOne()
	w.drift()
	return w.until(limit, "new map", func() bool { return w.runsOne() > old })
}

// untilPhase waits until the active coordinator is in a phase.
func (w *world) untilPhase(phase lockstep.Phase) {
	w.t.Helper()
	w.until(limit, string(phase), func() bool { return w.active().duty.Status().Phase == phase })
}

// faults are injected into a formed group with a lossy transport.
var faults = []struct {
	name   string
	inject func(w *world)
}{
	{"loss and reordering", func(w *world) { w.newMap() }},
	{"coordinator paused while changing", func(w *world) { w.pausedCoordinator(lockstep.PhaseChanging) }},
	{"coordinator paused while staging", func(w *world) { w.pausedCoordinator(lockstep.PhaseStaging) }},
	{"rank stalls while changing", func(w *world) { w.stalledRank(lockstep.PhaseChanging) }},
	{"rank stalls while staging", func(w *world) { w.stalledRank(lockstep.PhaseStaging) }},
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
	{"earlier agent wakes beside its successor", func(w *world) {
		earlier := w.agents[0]
		w.agents[0] = w.newAgent(0)
		w.newMap()
		for range 20 {
			earlier.Tick(context.Background())
			w.round()
		}
	}},
	{"earlier agent with a pending formation wakes", func(w *world) { w.earlierAgentForms() }},
	{"engine applies orders late", func(w *world) {
		w.engines[5].setDelay(4)
		w.newMap()
		w.engines[5].setDelay(0)
	}},
	{"paused coordinator, stalled rank and replaced host", func(w *world) {
		w.stalledRank(lockstep.PhaseChanging)
		w.pausedCoordinator(lockstep.PhaseChanging)
		w.replaceHost(7)
	}},
}

func (w *world) pausedCoordinator(phase lockstep.Phase) {
	w.drift()
	w.untilPhase(phase)
	earlier := w.active()
	earlier.paused = true
	w.addProcess()
	for range 10 {
		w.round()
	}
	earlier.paused = false
	w.newMap()
	assert.Assert(w.t, !earlier.lease.held, "earlier coordinator was not fenced")
}

func (w *world) stalledRank(phase lockstep.Phase) {
	w.drift()
	w.untilPhase(phase)
	w.engines[17].setStalled(true)
	before := w.witness.completed(ranks)
	for range 30 {
		w.round()
	}
	assert.Assert(w.t, w.witness.completed(ranks) <= before+1, "steps completed without rank 17")
	assert.DeepEqual(w.t, w.active().duty.Status().Silent, []int{17})
	w.engines[17].setStalled(false)
}

// earlierAgentForms wakes an agent whose order would take the engine out of the
// formation that its successor joined.
func (w *world) earlierAgentForms() {
	w.agents[1] = w.newAgent(1)
	w.until(limit, "pending formation", func() bool { return w.engines[0].snapshot().Order.EntersFormation() })
	earlier := w.agents[0]
	w.agents[0] = w.newAgent(0)
	w.newMap()
	formation := w.engines[0].snapshot().Order.Formation
	for range 20 {
		earlier.Tick(context.Background())
		w.round()
	}
	assert.Equal(w.t, w.engines[0].snapshot().Order.Formation, formation)
}

// replaceHost puts an empty host with new engines in place of one.
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

// TestFaults verifies that the group never splits and that a new map takes hold
// afterwards. A longer run:
//
//	GROUP_SEEDS=40 go test ./itest/group -run TestFaults -v -timeout 20m
func TestFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			for seed := range seedCount(t) {
				w := newWorld(t, seed)
				formed := w.until(limit, "first map", func() bool { return w.runsOne() != 0 })
				w.lossy = true
				fault.inject(w)
				w.lossy = false
				again := w.until(limit, "group runs", func() bool { return w.runsOne() != 0 })
				changed := w.newMap()
				t.Logf("seed %d: rounds to form %d, to run after the fault %d, to a new map %d; %d steps completed",
					seed, formed, again, changed, w.witness.completed(ranks))
			}
		})
	}
}

// TestNoCoordinator verifies that a group keeps running without any coordinator.
func TestNoCoordinator(t *testing.T) {
	w := newWorld(t, 1)
	w.until(limit, "first map", func() bool { return w.runsOne() != 0 })
	w.active().paused = true
	before := w.witness.completed(ranks)
	const rounds = 50
	for range rounds {
		w.round()
	}
	assert.Equal(t, w.witness.completed(ranks), before+rounds*stepsPerRound)
}
