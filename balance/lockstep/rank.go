package lockstep

import (
	"slices"

	"github.com/siskinford/siskinford/core/id"
)

// Rank is the state machine of one rank. Its owner delivers commands, applies
// Order to the engine until the engine's state shows it, passes each state that
// it reads to Observe, and sends Report to the coordinator. It is not safe for
// concurrent use.
type Rank struct {
	index       int
	incarnation id.Incarnation
	seq         uint64

	epoch          Epoch
	committed      Decision
	committedEpoch Epoch
	// previousMap is the map before the committed decision.
	previousMap  Version
	pending      Decision
	pendingEpoch Epoch
	promised     bool
	refused      bool
	diverged     bool

	order EngineOrder
	// entered is set once the engine reported the order's formation.
	entered  bool
	nextStep Step
	staged   []Version
	stageMap Version
}

// NewRank returns a rank outside any formation. The incarnation must be new.
func NewRank(index int, incarnation id.Incarnation) *Rank {
	return &Rank{index: index, incarnation: incarnation}
}

// Receive handles a command and reports whether the rank should send a report.
func (r *Rank) Receive(c Command) bool {
	if c.Rank != r.index {
		return false
	}
	if c.Kind != Join && c.Incarnation != r.incarnation {
		return false
	}
	if c.Epoch < r.epoch {
		return true
	}
	if c.Kind == Join {
		r.epoch = c.Epoch
		return true
	}
	if c.Epoch > r.epoch {
		return false
	}
	switch c.Kind {
	case Stage:
		r.stageMap = max(r.stageMap, c.Map)
	case Prepare:
		r.prepare(c)
	case Commit:
		r.commit(c)
	case Abort:
		r.abort(c)
	}
	r.updateOrder()
	return true
}

func (r *Rank) prepare(c Command) {
	if !r.mayPrepare(c) {
		return
	}
	r.pending = c.Decision
	r.pendingEpoch = c.Epoch
	r.promised = false
	r.refused = false
	if c.Decision.IsFormation() {
		r.leaveFormation()
	}
}

// mayPrepare reports whether the decision follows the committed one and no other
// decision was prepared in this epoch.
func (r *Rank) mayPrepare(c Command) bool {
	if !r.pending.IsZero() && r.pendingEpoch >= c.Epoch {
		return false
	}
	if c.Decision.IsFormation() {
		return c.Decision.Formation == c.Epoch && c.Decision.After(r.committed)
	}
	return c.Decision.Formation == r.committed.Formation &&
		c.Decision.Index == r.committed.Index+1 &&
		c.Decision.Step > r.committed.Step
}

// leaveFormation permanently leaves the current formation.
func (r *Rank) leaveFormation() {
	r.committed = Decision{}
	r.committedEpoch = 0
	r.previousMap = 0
	r.nextStep = 0
	r.entered = false
	r.diverged = false
}

func (r *Rank) commit(c Command) {
	if !r.promised || r.pending != c.Decision {
		return
	}
	r.previousMap = r.committed.Map
	r.committed = r.pending
	r.committedEpoch = c.Epoch
	r.clearPending()
}

func (r *Rank) abort(c Command) {
	if r.pending.IsZero() || r.pending.IsFormation() || r.pendingEpoch >= c.Epoch {
		return
	}
	// The next order needs a fencing token above that of the aborted decision.
	r.committedEpoch = c.Epoch
	r.clearPending()
}

func (r *Rank) clearPending() {
	r.pending = Decision{}
	r.pendingEpoch = 0
	r.promised = false
	r.refused = false
}

// Observe processes the engine's state as read back. It reports whether a new
// report should be sent.
func (r *Rank) Observe(s EngineState) bool {
	before := r.flags()
	changed := !slices.Equal(r.staged, s.Staged)
	r.staged = slices.Clone(s.Staged)
	if r.order.Formation != 0 {
		r.observeFormation(s)
	}
	return changed || before != r.flags()
}

// reportFlags are the parts of a report that a coordinator waits for.
type reportFlags struct{ promised, refused, diverged bool }

func (r *Rank) flags() reportFlags { return reportFlags{r.promised, r.refused, r.diverged} }

func (r *Rank) observeFormation(s EngineState) {
	if s.Order.Formation != r.order.Formation {
		// An engine that left the formation has lost its steps and cannot return.
		r.diverged = r.diverged || r.entered
		return
	}
	r.entered = true
	r.diverged = r.diverged || s.Next < r.nextStep || r.contradicts(s)
	r.nextStep = max(r.nextStep, s.Next)
	r.updateOrder()
	r.decidePromise(s)
}

// contradicts reports whether the engine's last step ran on a map that was not decided.
func (r *Rank) contradicts(s EngineState) bool {
	if s.Next == 0 {
		return false
	}
	last := s.Next - 1
	if last < r.committed.Step {
		return s.LastMap != r.previousMap
	}
	brokePromise := r.promised && last >= r.pending.Step
	return brokePromise || s.LastMap != r.committed.Map
}

// decidePromise gives or refuses the promise once the order is in force.
func (r *Rank) decidePromise(s EngineState) {
	if r.pending.IsZero() || r.promised || s.Order != r.order || !r.canOrderPending() {
		return
	}
	r.promised = s.Next <= r.pending.Step && slices.Contains(r.staged, r.pending.Map)
	r.refused = !r.promised
}

// canOrderPending reports whether the engine has run a step of the committed
// decision, so that its order can describe the pending one.
func (r *Rank) canOrderPending() bool {
	return r.pending.IsFormation() || r.committed.Index == 0 || r.nextStep > r.committed.Step
}

// Order returns the wanted state of the engine, and false if there is none. An
// engine that diverged gets no orders until the group is formed again.
func (r *Rank) Order() (EngineOrder, bool) {
	return r.order, r.order.Formation != 0 && !r.diverged
}

// MapToStage returns the map whose weights the engine should load, and false if there is none.
func (r *Rank) MapToStage() (Version, bool) {
	if r.stageMap == 0 || slices.Contains(r.staged, r.stageMap) {
		return 0, false
	}
	return r.stageMap, true
}

func (r *Rank) updateOrder() {
	want := r.wantedOrder()
	want.Turn = r.order.Turn
	if want == r.order {
		return
	}
	want.Turn++
	r.order = want
}

func (r *Rank) wantedOrder() EngineOrder {
	switch {
	case r.pending.IsFormation():
		return EngineOrder{Epoch: r.pendingEpoch, Formation: r.pending.Formation, Map: r.pending.Map}
	case r.committed.IsZero():
		return EngineOrder{}
	case !r.pending.IsZero() && r.canOrderPending():
		return EngineOrder{
			Epoch: r.pendingEpoch, Formation: r.committed.Formation,
			Map: r.committed.Map, SwitchAt: r.pending.Step,
		}
	case r.committed.Index == 0:
		return EngineOrder{
			Epoch: r.committedEpoch, Formation: r.committed.Formation,
			Map: r.committed.Map, SwitchAt: Never,
		}
	}
	return EngineOrder{
		Epoch: r.committedEpoch, Formation: r.committed.Formation,
		Map: r.previousMap, SwitchAt: r.committed.Step, Next: r.committed.Map,
	}
}

// Report returns the rank's state with the next sequence number.
func (r *Rank) Report() Report {
	r.seq++
	return Report{
		Rank: r.index, Incarnation: r.incarnation, Seq: r.seq, Epoch: r.epoch,
		Committed: r.committed, Pending: r.pending, PendingEpoch: r.pendingEpoch,
		Promised: r.promised, Refused: r.refused, Diverged: r.diverged,
		Next: r.nextStep, Staged: slices.Clone(r.staged),
	}
}

// Diverged reports whether the engine ran a step against its orders.
func (r *Rank) Diverged() bool { return r.diverged }
