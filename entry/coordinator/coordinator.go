// Package coordinator performs the duty of deciding on the expert map of one
// group of ranks: it forms the group, plans changes from the reported loads of
// the experts and carries them out through package lockstep. Any number of
// processes may perform the duty at the same time; only the one with the highest
// lease gets decisions through.
package coordinator

import (
	"sync"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
)

// Lease is the source of fencing numbers.
type Lease interface {
	// FencingToken returns the fencing number of the lease that this process believes to
	// hold, and false if it holds none. It does not block; acquiring and renewing
	// happen elsewhere. Fencing numbers of a group start at one, never repeat and
	// only grow; a process that starts again gets a new one.
	FencingToken() (number uint64, held bool)
	// CoversChange reports whether the lease lasts long enough to complete a change: a
	// group whose change is left half done stands still. It does not block.
	CoversChange() bool
	// MarkFenced tells that the number can no longer be used, mostly because a higher
	// one is in use. A new number is needed to go on. It does not block.
	MarkFenced(number uint64)
}

// Transport carries messages to the agents of the group's ranks.
type Transport interface {
	// Send sends an order to its rank. It does not block and may lose the order.
	Send(o groupmsg.Order)
}

// Config sets up a Duty.
type Config struct {
	// Group is the group to coordinate. It has no default.
	Group id.Group
	// Layers is the number of layers with experts. It has no default.
	Layers int
	// Shape describes each layer and the cost of a change. Ranks, Experts and
	// SlotsPerRank have no default.
	Shape expertmap.Config
	// Policy plans each layer. Default expertmap.Incremental.
	Policy expertmap.Policy
	// Lockstep sets up the protocol. Its number of ranks is taken from Shape.
	Lockstep lockstep.Config
	// PlanTicks is the number of ticks between two plans. Default 600.
	PlanTicks int
	// Recorder receives events. Default timeline.Discard.
	Recorder timeline.Recorder
}

const defaultPlanTicks = 600

func (c Config) withDefaults() Config {
	c.Shape = c.Shape.WithDefaults()
	c.Lockstep.Ranks = c.Shape.Ranks
	if c.Policy == nil {
		c.Policy = expertmap.Incremental{Config: c.Shape}
	}
	if c.PlanTicks == 0 {
		c.PlanTicks = defaultPlanTicks
	}
	if c.Recorder == nil {
		c.Recorder = timeline.Discard
	}
	return c
}

// Coordinator coordinates one group while its process holds the lease. It is safe for
// concurrent use.
type Coordinator struct {
	cfg       Config
	leases    Lease
	transport Transport

	// mu guards the fields below. Transport and Leases are called with mu held;
	// they must not call back.
	mu    sync.Mutex
	lease uint64
	core  *lockstep.Coordinator
	atlas *atlas
	// made counts the maps made under the lease.
	made      uint16
	sincePlan int
	phase     lockstep.Phase
	silent    []int
	committed lockstep.Decision
}

// New returns a duty that is idle until the process holds the lease.
func New(cfg Config, leases Lease, transport Transport) *Coordinator {
	return &Coordinator{cfg: cfg.withDefaults(), leases: leases, transport: transport}
}

// Status is what operators see of a duty.
type Status struct {
	Group id.Group `json:"group"`
	// Active is false while the process does not hold the lease.
	Active bool           `json:"active"`
	Epoch  lockstep.Epoch `json:"epoch"`
	Phase  lockstep.Phase `json:"phase"`
	// Committed is the decision that every rank has taken, if there is one.
	Committed lockstep.Decision `json:"committed"`
	// Step is the greatest next step that a rank has reported.
	Step lockstep.Step `json:"step"`
	// WaitsFor are the ranks that have not done yet what the phase needs.
	WaitsFor []int `json:"waits_for"`
	// Silent are the ranks whose agent or engine has not answered lately.
	Silent []int `json:"silent"`
}

// Status returns the current state.
func (d *Coordinator) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Status{Group: d.cfg.Group, Active: d.core != nil}
	if d.core == nil {
		return s
	}
	s.Epoch = d.core.Epoch()
	s.Phase = d.core.Phase()
	s.Committed, _ = d.core.Committed()
	s.WaitsFor = d.core.WaitsFor()
	s.Silent = d.core.Silent()
	for i := range d.cfg.Shape.Ranks {
		if r, ok := d.core.Report(i); ok {
			s.Step = max(s.Step, r.Next)
		}
	}
	return s
}

// Tick advances the duty. It is called at an interval and does not block.
func (d *Coordinator) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.checkLease() {
		return
	}
	d.sincePlan++
	d.core.SetChangesPaused(!d.leases.CoversChange())
	d.advance()
	d.send(d.core.Tick())
	d.noteSilent()
}

// Receive takes in a status. It is called by the transport and does not block.
func (d *Coordinator) Receive(s groupmsg.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.core == nil || s.Group != d.cfg.Group {
		return
	}
	if !validRank(s, d.cfg) {
		return
	}
	if s.Report.Epoch == d.core.Epoch() {
		d.atlas.take(s)
	}
	cmds := d.core.Receive(s.Report)
	d.advance()
	d.send(cmds)
}

func validRank(s groupmsg.Status, cfg Config) bool {
	return s.Report.Rank >= 0 && s.Report.Rank < cfg.Shape.Ranks
}

// checkLease follows the lease: a new number starts a new coordinator, a lost one ends it.
func (d *Coordinator) checkLease() bool {
	number, held := d.leases.FencingToken()
	if !held {
		d.stop()
		return false
	}
	if d.core != nil && number == d.lease {
		return true
	}
	if number <= d.lease {
		// Epochs and versions of a used lease would repeat.
		d.stop()
		d.leases.MarkFenced(number)
		return false
	}
	d.start(number)
	return true
}

func (d *Coordinator) start(number uint64) {
	d.lease = number
	d.made = 0
	d.core = lockstep.NewCoordinator(d.cfg.Lockstep, number)
	d.atlas = newAtlas(d.cfg)
	d.sincePlan = 0
	d.phase = ""
	d.silent = nil
	d.committed = lockstep.Decision{}
	d.record(EventStarted, "lease %d", number)
}

func (d *Coordinator) stop() {
	if d.core == nil {
		return
	}
	d.core = nil
	d.record(EventStopped, "lease %d", d.lease)
}

// send completes the commands and hands them to the transport.
func (d *Coordinator) send(cmds []lockstep.Command) {
	for _, c := range cmds {
		o := groupmsg.Order{Group: d.cfg.Group, Command: c}
		switch c.Kind {
		case lockstep.Stage:
			w, ok := d.atlas.weights(c.Map, c.Rank)
			if !ok {
				continue
			}
			o.Weights = &w
		case lockstep.Join:
			o.Describe = d.atlas.wanted(c.Rank)
		}
		d.transport.Send(o)
	}
}
