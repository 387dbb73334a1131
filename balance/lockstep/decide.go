package lockstep

// decide returns the command that each rank is waiting for, at most one per rank.
func (c *Coordinator) decide() []Command {
	if c.phase == PhaseFenced {
		return nil
	}
	if c.allJoined() {
		c.startOver()
	}
	if c.phase == PhaseFenced {
		return nil
	}
	if !c.allJoined() {
		c.phase = PhaseJoining
		return c.toEach(c.join, func(v *rankView) bool { return !v.joined })
	}
	top := c.topCommitted()
	if c.intact(top) {
		return c.decideIntact(top)
	}
	if c.partlyCommitted(top) {
		return c.commit(top)
	}
	return c.decideForm()
}

// startOver begins the next round if this one cannot make or complete a decision.
func (c *Coordinator) startOver() {
	if c.anyFailed() {
		c.margin = min(2*c.margin, MaxMargin)
		c.nextRound()
		return
	}
	top := c.topCommitted()
	broken := !c.intact(top) && !c.partlyCommitted(top)
	if broken && top.Formation == c.epoch {
		// The epoch names a formation already.
		c.nextRound()
		return
	}
	if broken && !c.prepared.IsZero() && !c.prepared.IsFormation() {
		c.nextRound()
	}
}

func (c *Coordinator) allJoined() bool {
	for i := range c.ranks {
		if !c.ranks[i].joined {
			return false
		}
	}
	return true
}

// anyFailed reports whether a rank cannot give its promise, or can no longer keep it.
func (c *Coordinator) anyFailed() bool {
	if c.prepared.IsZero() {
		return false
	}
	for i := range c.ranks {
		r := &c.ranks[i].report
		if (r.Refused || r.Diverged) && r.Pending == c.prepared && r.PendingEpoch == c.epoch {
			return true
		}
	}
	return false
}

func (c *Coordinator) topCommitted() Decision {
	var top Decision
	for i := range c.ranks {
		if t := c.ranks[i].report.Committed; t.After(top) {
			top = t
		}
	}
	return top
}

// intact reports whether every rank has committed top.
func (c *Coordinator) intact(top Decision) bool {
	if top.IsZero() {
		return false
	}
	for i := range c.ranks {
		r := &c.ranks[i].report
		if r.Committed != top || r.Diverged {
			return false
		}
	}
	return true
}

// partlyCommitted reports whether every rank has committed or promised top. As
// a commit needs the promise of every rank, the commit can then be completed.
func (c *Coordinator) partlyCommitted(top Decision) bool {
	if top.IsZero() {
		return false
	}
	for i := range c.ranks {
		r := &c.ranks[i].report
		if r.Diverged || r.Committed != top && (r.Pending != top || !r.Promised) {
			return false
		}
	}
	return true
}

// commit completes a decision at the ranks that have not committed it.
func (c *Coordinator) commit(t Decision) []Command {
	c.phase = PhaseChanging
	if t.IsFormation() {
		c.phase = PhaseForming
	}
	return c.toEach(
		func(i int) Command { return c.command(i, Commit, t) },
		func(v *rankView) bool { return v.report.Committed != t },
	)
}

func (c *Coordinator) decideIntact(top Decision) []Command {
	if c.prepared == top {
		c.prepared = Decision{}
		c.margin = c.cfg.Margin
	}
	if !c.prepared.IsZero() {
		return c.prepareOrCommit()
	}
	if resume := c.resume(); len(resume) > 0 {
		return resume
	}
	if c.target <= top.Map || c.cautious || len(c.Silent()) > 0 {
		c.phase = PhaseSteady
		return nil
	}
	if !c.stagedEverywhere(c.target) {
		return c.stage(c.target)
	}
	c.prepared = Decision{
		Formation: top.Formation, Index: top.Index + 1,
		Step: max(c.greatestNext(), top.Step) + c.margin, Map: c.target,
	}
	return c.prepareOrCommit()
}

// resume withdraws promises to earlier coordinators, whose decision can no
// longer be committed since every rank has joined this epoch without it.
func (c *Coordinator) resume() []Command {
	c.phase = PhaseChanging
	return c.toEach(
		func(i int) Command { return c.command(i, Abort, Decision{}) },
		func(v *rankView) bool { return !v.report.Pending.IsZero() },
	)
}

func (c *Coordinator) decideForm() []Command {
	if !c.prepared.IsZero() {
		return c.prepareOrCommit()
	}
	v := c.formVersion()
	if v == 0 {
		c.phase = PhaseStaging
		c.staging = 0
		return nil
	}
	if !c.stagedEverywhere(v) {
		return c.stage(v)
	}
	c.prepared = Decision{Formation: c.epoch, Map: v}
	return c.prepareOrCommit()
}

// formVersion returns the map for a new formation: the newest that every rank
// holds, otherwise the newest known.
func (c *Coordinator) formVersion() Version {
	var held Version
	known := c.target
	for i := range c.ranks {
		r := &c.ranks[i].report
		known = max(known, r.Committed.Map, r.Pending.Map)
		for _, v := range r.Staged {
			known = max(known, v)
			if v > held && c.stagedEverywhere(v) {
				held = v
			}
		}
	}
	if held != 0 {
		return held
	}
	return known
}

// prepareOrCommit asks for the missing promises, or commits if there are none.
func (c *Coordinator) prepareOrCommit() []Command {
	t := c.prepared
	missing := c.toEach(
		func(i int) Command { return c.command(i, Prepare, t) },
		func(v *rankView) bool { return !c.promised(&v.report) },
	)
	if len(missing) == 0 {
		return c.commit(t)
	}
	c.phase = PhaseChanging
	if t.IsFormation() {
		c.phase = PhaseForming
	}
	return missing
}

func (c *Coordinator) promised(r *Report) bool {
	return r.Promised && !r.Diverged && r.Pending == c.prepared && r.PendingEpoch == c.epoch
}

func (c *Coordinator) stage(v Version) []Command {
	c.phase = PhaseStaging
	c.staging = v
	return c.toEach(
		func(i int) Command {
			cmd := c.command(i, Stage, Decision{})
			cmd.Map = v
			return cmd
		},
		func(view *rankView) bool { return !view.report.HasStaged(v) },
	)
}

func (c *Coordinator) stagedEverywhere(v Version) bool {
	for i := range c.ranks {
		if !c.ranks[i].report.HasStaged(v) {
			return false
		}
	}
	return true
}

func (c *Coordinator) greatestNext() Step {
	var next Step
	for i := range c.ranks {
		next = max(next, c.ranks[i].report.Next)
	}
	return next
}

// toEach returns make's command for each rank that needs one.
func (c *Coordinator) toEach(command func(rank int) Command, needs func(*rankView) bool) []Command {
	var cmds []Command
	for i := range c.ranks {
		if needs(&c.ranks[i]) {
			cmds = append(cmds, command(i))
		}
	}
	return cmds
}

func (c *Coordinator) join(rank int) Command {
	return Command{Kind: Join, Rank: rank, Epoch: c.epoch}
}

func (c *Coordinator) command(rank int, kind CommandKind, t Decision) Command {
	return Command{
		Kind: kind, Rank: rank, Incarnation: c.ranks[rank].report.Incarnation,
		Epoch: c.epoch, Decision: t,
	}
}
