package lockstep

import "slices"

// Config holds the settings of a Coordinator.
type Config struct {
	// Ranks is the number of ranks of the group. It has no default.
	Ranks int
	// Margin is the number of steps between the greatest progress reported and
	// the step of a change. It doubles after each refusal, up to MaxMargin. Default 64.
	Margin Step
	// PollTicks is the number of ticks between two polls of all ranks. Default 4.
	PollTicks int
	// MaxReportAgeTicks is the greatest age of any rank's report, in ticks, at which a
	// change may start: the group must not stop for an unresponsive rank. Default 8.
	MaxReportAgeTicks int
}

// MaxMargin bounds the margin after refusals.
const MaxMargin Step = 4096

const (
	defaultMargin            = 64
	defaultPollTicks         = 4
	defaultMaxReportAgeTicks = 8
)

func (c Config) withDefaults() Config {
	if c.Margin == 0 {
		c.Margin = defaultMargin
	}
	if c.PollTicks == 0 {
		c.PollTicks = defaultPollTicks
	}
	if c.MaxReportAgeTicks == 0 {
		c.MaxReportAgeTicks = defaultMaxReportAgeTicks
	}
	return c
}

// Phase is the state of a coordinator.
type Phase string

const (
	// PhaseJoining waits until every rank has joined the epoch.
	PhaseJoining Phase = "joining"
	// PhaseStaging waits until every rank holds the weights of a map.
	PhaseStaging Phase = "staging"
	// PhaseForming waits until every rank is part of a new formation.
	PhaseForming Phase = "forming"
	// PhaseChanging waits until every rank uses the new map.
	PhaseChanging Phase = "changing"
	// PhaseSteady means that no change is in progress.
	PhaseSteady Phase = "steady"
	// PhaseFenced is final: a higher epoch exists.
	PhaseFenced Phase = "fenced"
)

// rankView is the last reported state of one rank in the coordinator's epoch.
type rankView struct {
	report Report
	joined bool
	// age is the number of ticks since the last report.
	age int
	// lastCommand is repeated on ticks only.
	lastCommand Command
}

// Coordinator is the state machine that decides on the map of one group. It
// acts for one lease; its owner creates a new one for a new lease. It is not safe
// for concurrent use.
type Coordinator struct {
	cfg           Config
	epoch         Epoch
	margin        Step
	targetMap     Version
	proposed      Decision
	ranks         []rankView
	ticks         int
	phase         Phase
	staging       Version
	waiting       []int
	changesPaused bool
}

// NewCoordinator returns a coordinator for the lease with the given fencing token.
func NewCoordinator(cfg Config, lease uint64) *Coordinator {
	cfg = cfg.withDefaults()
	return &Coordinator{
		cfg: cfg, epoch: NewEpoch(lease), margin: cfg.Margin,
		ranks: make([]rankView, cfg.Ranks), phase: PhaseJoining,
	}
}

// Epoch returns the current epoch.
func (c *Coordinator) Epoch() Epoch { return c.epoch }

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Staging returns the map that the ranks are to load in PhaseStaging, zero if
// none is known and SetTargetMap must be called.
func (c *Coordinator) Staging() Version { return c.staging }

// WaitsFor returns the ranks that block the current phase.
func (c *Coordinator) WaitsFor() []int { return slices.Clone(c.waiting) }

// Silent returns the ranks whose last report is older than MaxReportAgeTicks.
func (c *Coordinator) Silent() []int {
	var silent []int
	for i := range c.ranks {
		if c.ranks[i].age > c.cfg.MaxReportAgeTicks {
			silent = append(silent, i)
		}
	}
	return silent
}

// Committed returns the decision that every rank has committed, and false if there is none.
func (c *Coordinator) Committed() (Decision, bool) {
	if !c.allJoined() {
		return Decision{}, false
	}
	latest := c.latestCommitted()
	return latest, c.committedEverywhere(latest)
}

// Report returns the last report of a rank in the current epoch.
func (c *Coordinator) Report(rank int) (Report, bool) {
	return c.ranks[rank].report, c.ranks[rank].joined
}

// SetTargetMap sets the map that the group shall use. Versions below an earlier one are ignored.
func (c *Coordinator) SetTargetMap(v Version) { c.targetMap = max(c.targetMap, v) }

// SetChangesPaused keeps the coordinator from starting map changes while paused is
// true. Changes in progress are completed, and the group is formed if needed.
func (c *Coordinator) SetChangesPaused(paused bool) { c.changesPaused = paused }

// Receive handles a report and returns commands to send.
func (c *Coordinator) Receive(r Report) []Command {
	if c.phase == PhaseFenced || r.Rank < 0 || r.Rank >= len(c.ranks) {
		return nil
	}
	if r.Epoch > c.epoch {
		c.phase = PhaseFenced
		return nil
	}
	if r.Epoch < c.epoch || !c.storeReport(r) {
		return nil
	}
	return c.pendingCommands(false)
}

// storeReport stores a report of the current epoch. A second incarnation of a rank
// starts the next epoch, which only the running one can join.
func (c *Coordinator) storeReport(r Report) bool {
	v := &c.ranks[r.Rank]
	if v.joined && v.report.Incarnation != r.Incarnation {
		c.nextEpoch()
		return true
	}
	if v.joined && r.Seq <= v.report.Seq {
		return false
	}
	v.report = r
	v.joined = true
	v.age = 0
	return true
}

// nextEpoch restarts in the next epoch of the lease, or ends if there is none left.
func (c *Coordinator) nextEpoch() {
	next, ok := c.epoch.Next()
	if !ok {
		c.phase = PhaseFenced
		return
	}
	c.epoch = next
	c.proposed = Decision{}
	for i := range c.ranks {
		c.ranks[i].joined = false
	}
}

// Tick advances time by one tick and returns commands to send, including the
// unanswered ones.
func (c *Coordinator) Tick() []Command {
	if c.phase == PhaseFenced {
		return nil
	}
	c.ticks++
	for i := range c.ranks {
		c.ranks[i].age++
	}
	cmds := c.pendingCommands(true)
	if c.ticks%c.cfg.PollTicks == 0 {
		cmds = c.addPolls(cmds)
	}
	return cmds
}

// addPolls adds a Join for each rank that is not sent one in cmds. Ranks with
// another command are polled too, since a new incarnation ignores that command.
func (c *Coordinator) addPolls(cmds []Command) []Command {
	polled := make([]bool, len(c.ranks))
	for _, cmd := range cmds {
		polled[cmd.Rank] = cmd.Kind == Join
	}
	for i := range c.ranks {
		if !polled[i] {
			cmds = append(cmds, c.joinCommand(i))
		}
	}
	return cmds
}

// pendingCommands returns the unanswered commands; without repeat only those not sent before.
func (c *Coordinator) pendingCommands(repeat bool) []Command {
	if c.phase == PhaseFenced {
		return nil
	}
	var out []Command
	c.waiting = c.waiting[:0]
	for _, cmd := range c.decide() {
		c.waiting = append(c.waiting, cmd.Rank)
		v := &c.ranks[cmd.Rank]
		if !repeat && v.lastCommand == cmd {
			continue
		}
		v.lastCommand = cmd
		out = append(out, cmd)
	}
	return out
}
