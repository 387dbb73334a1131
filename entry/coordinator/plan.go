package coordinator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/timeline"
)

const (
	// EventStarted and EventStopped record that the coordinator acquired or lost the lease.
	EventStarted timeline.Kind = "coordinator.started"
	EventStopped timeline.Kind = "coordinator.stopped"
	// EventPhase records a new phase and the ranks it waits for.
	EventPhase timeline.Kind = "coordinator.phase"
	// EventSilent records a change of the silent ranks.
	EventSilent timeline.Kind = "coordinator.silent-ranks"
	// EventStaged records that every rank holds the weights of a map.
	EventStaged timeline.Kind = "coordinator.staged"
	// EventFormed records that every rank has committed a new formation.
	EventFormed timeline.Kind = "coordinator.formed"
	// EventSwitched records that every rank has committed the switch to another map.
	EventSwitched timeline.Kind = "coordinator.switched"
	// EventPlanned records the moves, gain and cost of a planned change.
	EventPlanned timeline.Kind = "coordinator.planned"
)

var (
	plansMade   = metrics.NewCounter(`siskinford_expertmap_plans_total`)
	rankBytes   = metrics.NewCounter(`siskinford_expertmap_bytes_total{source="rank"}`)
	storeBytes  = metrics.NewCounter(`siskinford_expertmap_bytes_total{source="store"}`)
	timesFenced = metrics.NewCounter(`siskinford_coordinator_fenced_total`)
)

// advance updates phase and maps, and plans a map in the phases that need one.
func (c *Coordinator) advance() {
	c.updatePhase()
	c.recordCommitted()
	reports, ok := c.reports()
	if !ok || c.phase == lockstep.PhaseFenced {
		return
	}
	c.maps.applyReports(reports)
	switch c.phase {
	case lockstep.PhaseStaging:
		c.planStaging()
	case lockstep.PhaseSteady:
		c.rebalance()
	}
}

func (c *Coordinator) updatePhase() {
	phase := c.protocol.Phase()
	if phase == c.phase {
		return
	}
	if c.phase == lockstep.PhaseStaging && (phase == lockstep.PhaseChanging || phase == lockstep.PhaseForming) {
		c.record(EventStaged, "map %d", c.protocol.Staging())
	}
	c.phase = phase
	c.record(EventPhase, "%s at epoch %d, waits for ranks %v", phase, c.protocol.Epoch(), c.protocol.WaitsFor())
	if phase == lockstep.PhaseFenced {
		timesFenced.Inc()
		c.lease.MarkFenced(c.token)
	}
}

// recordCommitted records a decision that every rank has committed. The first one may be
// that of an earlier coordinator.
func (c *Coordinator) recordCommitted() {
	d, ok := c.protocol.Committed()
	if !ok || d == c.committed {
		return
	}
	c.committed = d
	kind := EventSwitched
	if d.IsFormation() {
		kind = EventFormed
	}
	c.record(kind, "map %d from step %d of formation %d", d.Map, d.Step, d.Formation)
}

func (c *Coordinator) recordSilent() {
	silent := c.protocol.Silent()
	if slices.Equal(silent, c.silent) {
		return
	}
	c.silent = silent
	c.record(EventSilent, "ranks %v", silent)
}

// reports returns all ranks' reports in the current epoch, and false if any is missing.
func (c *Coordinator) reports() ([]lockstep.Report, bool) {
	out := make([]lockstep.Report, c.cfg.Shape.Ranks)
	for i := range out {
		r, ok := c.protocol.Report(i)
		if !ok {
			return nil, false
		}
		out[i] = r
	}
	return out, true
}

// planStaging plans a map if this coordinator did not plan the one to stage: for a new
// group, or after a rank was replaced under a new coordinator.
func (c *Coordinator) planStaging() {
	wanted := c.protocol.Staging()
	if wanted != 0 && c.maps.hasPlanned(wanted) {
		return
	}
	held, ok := c.maps.heldMaps()
	if !ok {
		return
	}
	load, ok := c.maps.expertLoad(held)
	if !ok {
		load = c.uniformLoad()
	}
	c.setTarget(c.plan(held, load))
}

func (c *Coordinator) uniformLoad() []expertmap.Load {
	out := make([]expertmap.Load, c.cfg.Layers)
	for i := range out {
		out[i] = make(expertmap.Load, c.cfg.Shape.Experts)
		for e := range out[i] {
			out[i][e] = 1
		}
	}
	return out
}

// rebalance plans a change for the reported loads every PlanTicks ticks.
func (c *Coordinator) rebalance() {
	if c.ticksSincePlan < c.cfg.PlanTicks {
		return
	}
	held, ok := c.maps.heldMaps()
	if !ok {
		return
	}
	load, ok := c.maps.expertLoad(held)
	if !ok {
		return
	}
	c.ticksSincePlan = 0
	c.maps.clearLoads()
	p := c.plan(held, load)
	if p.moves > 0 {
		c.setTarget(p)
	}
}

// proposal is a planned change of all layers.
type proposal struct {
	target     layerMaps
	moves      int
	rankBytes  int64
	storeBytes int64
	gain, cost time.Duration
}

func (c *Coordinator) plan(held layerMaps, load []expertmap.Load) proposal {
	p := proposal{target: make(layerMaps, len(held))}
	for i := range held {
		layer := c.cfg.Policy.Plan(held[i], load[i])
		p.target[i] = layer.Target
		p.moves += len(layer.Moves)
		p.rankBytes += layer.RankBytes
		p.storeBytes += layer.StoreBytes
		p.gain += layer.Gain
		p.cost += layer.Cost
	}
	return p
}

// setTarget assigns a version to the proposal and makes it the target of the group.
func (c *Coordinator) setTarget(p proposal) {
	if c.versionsUsed == math.MaxUint16 {
		// No versions are left under this token.
		c.lease.MarkFenced(c.token)
		return
	}
	c.versionsUsed++
	v := lockstep.NewVersion(c.token, c.versionsUsed)
	c.maps.addPlanned(v, p.target)
	c.protocol.SetTargetMap(v)
	plansMade.Inc()
	rankBytes.AddInt64(p.rankBytes)
	storeBytes.AddInt64(p.storeBytes)
	c.record(EventPlanned, "map %d: %d moves, %d bytes from ranks, %d from the store, gain %s, cost %s",
		v, p.moves, p.rankBytes, p.storeBytes, p.gain, p.cost)
}

func (c *Coordinator) record(kind timeline.Kind, format string, args ...any) {
	c.cfg.Recorder.Record(timeline.Event{
		Kind: kind, Duty: string(c.cfg.Group), Detail: fmt.Sprintf(format, args...),
	})
}
