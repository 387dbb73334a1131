package lockstep

import "slices"

// Config sets up a coordinator.
type Config struct {
	// Ranks is the number of ranks of the group. It has no default.
	Ranks int
	// Margin is the number of steps between the greatest progress reported and
	// the step of a change. It doubles after each refusal, up to MaxMargin. Default 64.
	Margin Step
	// PollTicks is the number of ticks between two polls of all ranks. Default 4.
	PollTicks int
	// MaxReportAgeTicks is the greatest age of a report, in ticks, for a change to be
	// started; a group is not stopped for a rank that does not answer. Default 8.
	MaxReportAgeTicks int
}

// MaxMargin is the greatest margin in steps.
const MaxMargin Step = 4096

const (
	defaultMargin     = 64
	defaultPollTicks  = 4
	defaultFreshTicks = 8
)

func (c Config) withDefaults() Config {
	if c.Margin == 0 {
		c.Margin = defaultMargin
	}
	if c.PollTicks == 0 {
		c.PollTicks = defaultPollTicks
	}
	if c.MaxReportAgeTicks == 0 {
		c.MaxReportAgeTicks = defaultFreshTicks
	}
	return c
}

// Phase tells what a coordinator waits for.
type Phase string

const (
	// PhaseJoining waits until every rank has joined the epoch.
	PhaseJoining Phase = "joining"
	// PhaseStaging waits until every rank holds the weights of a map.
	PhaseStaging Phase = "staging"
	// PhaseForming waits until every rank is part of a new formation.
	PhaseForming Phase = "forming"
	// PhaseChanging waits until every rank has the new map.
	PhaseChanging Phase = "changing"
	// PhaseSteady waits for nothing.
	PhaseSteady Phase = "steady"
	// PhaseFenced is final: a higher epoch exists.
	PhaseFenced Phase = "fenced"
)

// rankView is what a coordinator knows of one rank in its epoch.
type rankView struct {
	report Report
	joined bool
	// age is the number of ticks since the last report.
	age int
	// sent is the last command, which is repeated on ticks only.
	sent Command
}

// Coordinator is the state machine that decides on the map of one group. It
// acts for one lease; its owner makes a new one for a new lease. It is not safe
// for concurrent use.
type Coordinator struct {
	cfg      Config
	epoch    Epoch
	margin   Step
	target   Version
	prepared Decision
	ranks    []rankView
	ticks    int
	phase    Phase
	staging  Version
	waiting  []int
	// cautious keeps changes from being begun.
	cautious bool
}

// NewCoordinator returns a coordinator for the lease with the given fencing number.
func NewCoordinator(cfg Config, lease uint64) *Coordinator {
	cfg = cfg.withDefaults()
	return &Coordinator{
		cfg: cfg, epoch: NewEpoch(lease), margin: cfg.Margin,
		ranks: make([]rankView, cfg.Ranks), phase: PhaseJoining,
	}
}

// Epoch returns the current epoch.
func (c *Coordinator) Epoch() Epoch { return c.epoch }

// Phase returns what the coordinator waits for.
func (c *Coordinator) Phase() Phase { return c.phase }

// Staging returns the map that the ranks are to load in PhaseStaging, zero if
// the coordinator knows of none and needs SetTargetMap.
func (c *Coordinator) Staging() Version { return c.staging }

// WaitsFor returns the ranks that have not done yet what the phase needs.
func (c *Coordinator) WaitsFor() []int { return slices.Clone(c.waiting) }

// Silent returns the ranks without a recent report.
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
	top := c.topCommitted()
	return top, c.intact(top)
}

// Report returns the last report of a rank in the current epoch.
func (c *Coordinator) Report(rank int) (Report, bool) {
	return c.ranks[rank].report, c.ranks[rank].joined
}

// SetTargetMap sets the map that the group shall use. Lower versions than an earlier one are ignored.
func (c *Coordinator) SetTargetMap(v Version) { c.target = max(c.target, v) }

// SetChangesPaused keeps the coordinator from beginning a change of the map while
// cautious is true. It completes what was begun, and forms the group if needed.
func (c *Coordinator) SetChangesPaused(cautious bool) { c.cautious = cautious }

// Receive handles a report and returns commands to send.
func (c *Coordinator) Receive(r Report) []Command {
	if c.phase == PhaseFenced || r.Rank < 0 || r.Rank >= len(c.ranks) {
		return nil
	}
	if r.Epoch > c.epoch {
		c.phase = PhaseFenced
		return nil
	}
	if r.Epoch < c.epoch || !c.accept(r) {
		return nil
	}
	return c.send(false)
}

// accept stores a report of the current epoch. A second incarnation of a rank
// starts the next round, which only the one that is alive can join.
func (c *Coordinator) accept(r Report) bool {
	v := &c.ranks[r.Rank]
	if v.joined && v.report.Incarnation != r.Incarnation {
		c.nextRound()
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

// nextRound starts over in the next epoch of the lease.
func (c *Coordinator) nextRound() {
	next, ok := c.epoch.Next()
	if !ok {
		c.phase = PhaseFenced
		return
	}
	c.epoch = next
	c.prepared = Decision{}
	for i := range c.ranks {
		c.ranks[i].joined = false
	}
}

// Tick advances the coordinator's notion of time and returns commands to send,
// among them those that were not answered yet.
func (c *Coordinator) Tick() []Command {
	if c.phase == PhaseFenced {
		return nil
	}
	c.ticks++
	for i := range c.ranks {
		c.ranks[i].age++
	}
	cmds := c.send(true)
	if c.ticks%c.cfg.PollTicks == 0 {
		cmds = c.addPolls(cmds)
	}
	return cmds
}

// addPolls adds a Join for each rank that cmds does not ask to join. Ranks with
// another command are polled too, since a new incarnation ignores that command.
func (c *Coordinator) addPolls(cmds []Command) []Command {
	asked := make([]bool, len(c.ranks))
	for _, cmd := range cmds {
		asked[cmd.Rank] = cmd.Kind == Join
	}
	for i := range c.ranks {
		if !asked[i] {
			cmds = append(cmds, c.join(i))
		}
	}
	return cmds
}

// send returns the wanted commands; without repeat only those not sent before.
func (c *Coordinator) send(repeat bool) []Command {
	if c.phase == PhaseFenced {
		return nil
	}
	var out []Command
	c.waiting = c.waiting[:0]
	for _, cmd := range c.decide() {
		c.waiting = append(c.waiting, cmd.Rank)
		v := &c.ranks[cmd.Rank]
		if !repeat && v.sent == cmd {
			continue
		}
		v.sent = cmd
		out = append(out, cmd)
	}
	return out
}
