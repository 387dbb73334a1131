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

// Kinds of events.
const (
	// EventStarted and EventStopped tell that the duty follows a lease, or lost it.
	EventStarted timeline.Kind = "coordinator.started"
	EventStopped timeline.Kind = "coordinator.stopped"
	// EventPhase tells what the coordinator waits for now.
	EventPhase timeline.Kind = "coordinator.phase"
	// EventSilent tells which ranks have not answered lately.
	EventSilent timeline.Kind = "coordinator.silent-ranks"
	// EventStaged tells that every rank holds the weights of a map.
	EventStaged timeline.Kind = "coordinator.staged"
	// EventFormed tells that every rank is part of a new formation.
	EventFormed timeline.Kind = "coordinator.formed"
	// EventSwitched tells that every rank has the decision to use another map.
	EventSwitched timeline.Kind = "coordinator.switched"
	// EventPlanned tells the figures of a change that was set out on.
	EventPlanned timeline.Kind = "coordinator.planned"
)

var (
	plansMade   = metrics.NewCounter(`siskinford_expertmap_plans_total`)
	bytesRanks  = metrics.NewCounter(`siskinford_expertmap_bytes_total{source="rank"}`)
	bytesStore  = metrics.NewCounter(`siskinford_expertmap_bytes_total{source="store"}`)
	timesFenced = metrics.NewCounter(`siskinford_coordinator_fenced_total`)
)

// advance notes the phase, keeps the atlas up to date and plans if it is time to.
func (d *Coordinator) advance() {
	d.notePhase()
	d.noteCommitted()
	reports, ok := d.reports()
	if !ok || d.phase == lockstep.PhaseFenced {
		return
	}
	d.atlas.update(reports)
	switch d.phase {
	case lockstep.PhaseStaging:
		d.planMissing()
	case lockstep.PhaseSteady:
		d.planLoad()
	}
}

func (d *Coordinator) notePhase() {
	phase := d.core.Phase()
	if phase == d.phase {
		return
	}
	if d.phase == lockstep.PhaseStaging && (phase == lockstep.PhaseChanging || phase == lockstep.PhaseForming) {
		d.record(EventStaged, "map %d", d.core.Staging())
	}
	d.phase = phase
	d.record(EventPhase, "%s at epoch %d, waits for ranks %v", phase, d.core.Epoch(), d.core.WaitsFor())
	if phase == lockstep.PhaseFenced {
		timesFenced.Inc()
		d.leases.MarkFenced(d.lease)
	}
}

// noteCommitted records a decision that every rank has taken. The first one that
// a coordinator finds may be that of an earlier coordinator.
func (d *Coordinator) noteCommitted() {
	t, ok := d.core.Committed()
	if !ok || t == d.committed {
		return
	}
	d.committed = t
	kind := EventSwitched
	if t.IsFormation() {
		kind = EventFormed
	}
	d.record(kind, "map %d from step %d of formation %d", t.Map, t.Step, t.Formation)
}

func (d *Coordinator) noteSilent() {
	silent := d.core.Silent()
	if slices.Equal(silent, d.silent) {
		return
	}
	d.silent = silent
	d.record(EventSilent, "ranks %v", silent)
}

// reports returns the reports of all ranks in the current epoch.
func (d *Coordinator) reports() ([]lockstep.Report, bool) {
	out := make([]lockstep.Report, d.cfg.Shape.Ranks)
	for i := range out {
		r, ok := d.core.Report(i)
		if !ok {
			return nil, false
		}
		out[i] = r
	}
	return out, true
}

// planMissing makes a map if the one to stage is not known to this coordinator,
// as for a new group, or after a rank was replaced under a new coordinator.
func (d *Coordinator) planMissing() {
	wanted := d.core.Staging()
	if wanted != 0 && d.atlas.knows(wanted) {
		return
	}
	held, ok := d.atlas.held()
	if !ok {
		return
	}
	load, ok := d.atlas.load(held)
	if !ok {
		load = d.uniformLoad()
	}
	d.set(d.plan(held, load))
}

func (d *Coordinator) uniformLoad() []expertmap.Load {
	out := make([]expertmap.Load, d.cfg.Layers)
	for i := range out {
		out[i] = make(expertmap.Load, d.cfg.Shape.Experts)
		for e := range out[i] {
			out[i][e] = 1
		}
	}
	return out
}

// planLoad plans a change for the reported load, at an interval.
func (d *Coordinator) planLoad() {
	if d.sincePlan < d.cfg.PlanTicks {
		return
	}
	held, ok := d.atlas.held()
	if !ok {
		return
	}
	load, ok := d.atlas.load(held)
	if !ok {
		return
	}
	d.sincePlan = 0
	d.atlas.forgetLoads()
	p := d.plan(held, load)
	if p.moves > 0 {
		d.set(p)
	}
}

// proposal is the plan of all layers.
type proposal struct {
	target     layers
	moves      int
	rankBytes  int64
	storeBytes int64
	gain, cost time.Duration
}

func (d *Coordinator) plan(held layers, load []expertmap.Load) proposal {
	p := proposal{target: make(layers, len(held))}
	for i := range held {
		layer := d.cfg.Policy.Plan(held[i], load[i])
		p.target[i] = layer.Target
		p.moves += len(layer.Moves)
		p.rankBytes += layer.RankBytes
		p.storeBytes += layer.StoreBytes
		p.gain += layer.Gain
		p.cost += layer.Cost
	}
	return p
}

// set makes the proposal the target of the group.
func (d *Coordinator) set(p proposal) {
	if d.made == math.MaxUint16 {
		// The lease has no versions left.
		d.leases.MarkFenced(d.lease)
		return
	}
	d.made++
	v := lockstep.NewVersion(d.lease, d.made)
	d.atlas.add(v, p.target)
	d.core.SetTargetMap(v)
	plansMade.Inc()
	bytesRanks.AddInt64(p.rankBytes)
	bytesStore.AddInt64(p.storeBytes)
	d.record(EventPlanned, "map %d: %d moves, %d bytes from ranks, %d from the store, gain %s, cost %s",
		v, p.moves, p.rankBytes, p.storeBytes, p.gain, p.cost)
}

func (d *Coordinator) record(kind timeline.Kind, format string, args ...any) {
	d.cfg.Recorder.Record(timeline.Event{
		Kind: kind, Duty: string(d.cfg.Group), Detail: fmt.Sprintf(format, args...),
	})
}
