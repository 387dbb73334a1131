// Package coordinator decides on the expert map of one group of ranks: it forms the group,
// plans changes from the reported expert loads and carries them out with package lockstep.
// Any number of processes may run a coordinator for a group at the same time; only
// decisions with the highest fencing token take effect.
package coordinator

import (
	"sync"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
)

// Lease is the source of fencing tokens. Its methods must not block.
type Lease interface {
	// FencingToken returns the token of the lease that this process holds by its own clock,
	// and false if it holds none. Renewal and acquisition happen elsewhere. Tokens of a group
	// start at one and strictly increase; a restarted process gets a new one.
	FencingToken() (token uint64, held bool)
	// CoversChange reports whether the lease lasts long enough to complete a change: a group
	// with a half-done change stalls.
	CoversChange() bool
	// MarkFenced reports that the token must no longer be used, usually because a higher one
	// is in use. The coordinator then needs a new token.
	MarkFenced(token uint64)
}

// Transport sends messages to the agents of the group's ranks.
type Transport interface {
	// Send sends an order to its rank. It must not block and may lose the order.
	Send(o groupmsg.Order)
}

// Config configures a Coordinator.
type Config struct {
	// Group is the group to coordinate. Required.
	Group id.Group
	// Layers is the number of layers with experts. Required.
	Layers int
	// Shape describes each layer and the cost of a change. Ranks, Experts and SlotsPerRank
	// are required.
	Shape expertmap.Config
	// Policy plans each layer. Default: expertmap.Incremental.
	Policy expertmap.Policy
	// Lockstep configures the protocol. Its number of ranks is taken from Shape.
	Lockstep lockstep.Config
	// PlanTicks is the number of ticks between plans. Default: 600.
	PlanTicks int
	// Recorder receives events. Default: timeline.Discard.
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
	lease     Lease
	transport Transport

	// mu guards the fields below. Transport and Lease are called with mu held; they must not
	// call back.
	mu       sync.Mutex
	token    uint64
	protocol *lockstep.Coordinator
	maps     *mapState
	// versionsUsed counts the map versions created under the token.
	versionsUsed   uint16
	ticksSincePlan int
	phase          lockstep.Phase
	silent         []int
	committed      lockstep.Decision
}

// New returns a coordinator that is idle until the process holds the lease.
func New(cfg Config, lease Lease, transport Transport) *Coordinator {
	return &Coordinator{cfg: cfg.withDefaults(), lease: lease, transport: transport}
}

// Status is the state of a coordinator as operators see it.
type Status struct {
	Group id.Group `json:"group"`
	// Active is false while the process does not hold the lease.
	Active bool           `json:"active"`
	Epoch  lockstep.Epoch `json:"epoch"`
	Phase  lockstep.Phase `json:"phase"`
	// Committed is the last decision that every rank has committed, if any.
	Committed lockstep.Decision `json:"committed"`
	// Step is the greatest next step reported by a rank.
	Step lockstep.Step `json:"step"`
	// WaitsFor are the ranks that the current phase still waits for.
	WaitsFor []int `json:"waits_for"`
	// Silent are the ranks whose agent or engine has not answered recently.
	Silent []int `json:"silent"`
}

// Status returns the current state.
func (c *Coordinator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Group: c.cfg.Group, Active: c.protocol != nil}
	if c.protocol == nil {
		return s
	}
	s.Epoch = c.protocol.Epoch()
	s.Phase = c.protocol.Phase()
	s.Committed, _ = c.protocol.Committed()
	s.WaitsFor = c.protocol.WaitsFor()
	s.Silent = c.protocol.Silent()
	for i := range c.cfg.Shape.Ranks {
		if r, ok := c.protocol.Report(i); ok {
			s.Step = max(s.Step, r.Next)
		}
	}
	return s
}

// Tick advances the coordinator. It is called at a fixed interval and does not block.
func (c *Coordinator) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checkLease() {
		return
	}
	c.ticksSincePlan++
	c.protocol.SetChangesPaused(!c.lease.CoversChange())
	c.advance()
	c.send(c.protocol.Tick())
	c.recordSilent()
}

// Receive processes a status. The transport calls it; it does not block.
func (c *Coordinator) Receive(s groupmsg.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.protocol == nil || s.Group != c.cfg.Group {
		return
	}
	if !rankInRange(s, c.cfg) {
		return
	}
	if s.Report.Epoch == c.protocol.Epoch() {
		c.maps.addStatus(s)
	}
	cmds := c.protocol.Receive(s.Report)
	c.advance()
	c.send(cmds)
}

func rankInRange(s groupmsg.Status, cfg Config) bool {
	return s.Report.Rank >= 0 && s.Report.Rank < cfg.Shape.Ranks
}

// checkLease starts a coordinator for a new token, stops it when the lease is lost, and
// reports whether the lease is held.
func (c *Coordinator) checkLease() bool {
	token, held := c.lease.FencingToken()
	if !held {
		c.stop()
		return false
	}
	if c.protocol != nil && token == c.token {
		return true
	}
	if token <= c.token {
		// Epochs and versions under a reused token would repeat.
		c.stop()
		c.lease.MarkFenced(token)
		return false
	}
	c.start(token)
	return true
}

func (c *Coordinator) start(token uint64) {
	c.token = token
	c.versionsUsed = 0
	c.protocol = lockstep.NewCoordinator(c.cfg.Lockstep, token)
	c.maps = newMapState(c.cfg)
	c.ticksSincePlan = 0
	c.phase = ""
	c.silent = nil
	c.committed = lockstep.Decision{}
	c.record(EventStarted, "lease %d", token)
}

func (c *Coordinator) stop() {
	if c.protocol == nil {
		return
	}
	c.protocol = nil
	c.record(EventStopped, "lease %d", c.token)
}

// send adds weights or layout requests to the commands and sends them.
func (c *Coordinator) send(cmds []lockstep.Command) {
	for _, cmd := range cmds {
		o := groupmsg.Order{Group: c.cfg.Group, Command: cmd}
		switch cmd.Kind {
		case lockstep.Stage:
			w, ok := c.maps.weightsFor(cmd.Map, cmd.Rank)
			if !ok {
				continue
			}
			o.Weights = &w
		case lockstep.Join:
			o.Describe = c.maps.layoutToRequest(cmd.Rank)
		}
		c.transport.Send(o)
	}
}
