package lockstep

// decide returns the command that each rank has to answer, at most one per rank.
func (c *Coordinator) decide() []Command {
	if c.phase == PhaseFenced {
		return nil
	}
	if c.allJoined() {
		c.restartIfBlocked()
	}
	if c.phase == PhaseFenced {
		return nil
	}
	if !c.allJoined() {
		c.phase = PhaseJoining
		return c.commandsFor(c.joinCommand, func(v *rankView) bool { return !v.joined })
	}
	latest := c.latestCommitted()
	if c.committedEverywhere(latest) {
		return c.decideChange(latest)
	}
	if c.committable(latest) {
		return c.commit(latest)
	}
	return c.decideFormation()
}

// restartIfBlocked begins the next epoch if this one cannot make or complete a decision.
func (c *Coordinator) restartIfBlocked() {
	if c.promiseFailed() {
		c.margin = min(2*c.margin, MaxMargin)
		c.nextEpoch()
		return
	}
	latest := c.latestCommitted()
	broken := !c.committedEverywhere(latest) && !c.committable(latest)
	if broken && latest.Formation == c.epoch {
		// The epoch is already used by a formation.
		c.nextEpoch()
		return
	}
	if broken && !c.proposed.IsZero() && !c.proposed.IsFormation() {
		c.nextEpoch()
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

// promiseFailed reports whether a rank cannot give its promise, or can no longer keep it.
func (c *Coordinator) promiseFailed() bool {
	if c.proposed.IsZero() {
		return false
	}
	for i := range c.ranks {
		r := &c.ranks[i].report
		if (r.Refused || r.Diverged) && r.Pending == c.proposed && r.PendingEpoch == c.epoch {
			return true
		}
	}
	return false
}

func (c *Coordinator) latestCommitted() Decision {
	var latest Decision
	for i := range c.ranks {
		if d := c.ranks[i].report.Committed; d.After(latest) {
			latest = d
		}
	}
	return latest
}

// committedEverywhere reports whether every rank has committed d.
func (c *Coordinator) committedEverywhere(d Decision) bool {
	if d.IsZero() {
		return false
	}
	for i := range c.ranks {
		r := &c.ranks[i].report
		if r.Committed != d || r.Diverged {
			return false
		}
	}
	return true
}

// committable reports whether every rank has committed or promised d. As a commit
// needs the promise of every rank, the commit can then be completed.
func (c *Coordinator) committable(d Decision) bool {
	if d.IsZero() {
		return false
	}
	for i := range c.ranks {
		r := &c.ranks[i].report
		if r.Diverged || r.Committed != d && (r.Pending != d || !r.Promised) {
			return false
		}
	}
	return true
}

// commit completes a decision at the ranks that have not committed it.
func (c *Coordinator) commit(d Decision) []Command {
	c.phase = PhaseChanging
	if d.IsFormation() {
		c.phase = PhaseForming
	}
	return c.commandsFor(
		func(i int) Command { return c.command(i, Commit, d) },
		func(v *rankView) bool { return v.report.Committed != d },
	)
}

func (c *Coordinator) decideChange(latest Decision) []Command {
	if c.proposed == latest {
		c.proposed = Decision{}
		c.margin = c.cfg.Margin
	}
	if !c.proposed.IsZero() {
		return c.prepareOrCommit()
	}
	if aborts := c.abortPending(); len(aborts) > 0 {
		return aborts
	}
	if c.targetMap <= latest.Map || c.changesPaused || len(c.Silent()) > 0 {
		c.phase = PhaseSteady
		return nil
	}
	if !c.stagedEverywhere(c.targetMap) {
		return c.stage(c.targetMap)
	}
	c.proposed = Decision{
		Formation: latest.Formation, Index: latest.Index + 1,
		Step: max(c.maxNextStep(), latest.Step) + c.margin, Map: c.targetMap,
	}
	return c.prepareOrCommit()
}

// abortPending withdraws promises to earlier coordinators, whose decision can no
// longer be committed since every rank has joined this epoch without it.
func (c *Coordinator) abortPending() []Command {
	c.phase = PhaseChanging
	return c.commandsFor(
		func(i int) Command { return c.command(i, Abort, Decision{}) },
		func(v *rankView) bool { return !v.report.Pending.IsZero() },
	)
}

func (c *Coordinator) decideFormation() []Command {
	if !c.proposed.IsZero() {
		return c.prepareOrCommit()
	}
	v := c.formationMap()
	if v == 0 {
		c.phase = PhaseStaging
		c.staging = 0
		return nil
	}
	if !c.stagedEverywhere(v) {
		return c.stage(v)
	}
	c.proposed = Decision{Formation: c.epoch, Map: v}
	return c.prepareOrCommit()
}

// formationMap returns the map for a new formation: the newest that every rank
// holds, otherwise the newest known.
func (c *Coordinator) formationMap() Version {
	var held Version
	known := c.targetMap
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

// prepareOrCommit requests the missing promises, or commits if none is missing.
func (c *Coordinator) prepareOrCommit() []Command {
	d := c.proposed
	missing := c.commandsFor(
		func(i int) Command { return c.command(i, Prepare, d) },
		func(v *rankView) bool { return !c.promised(&v.report) },
	)
	if len(missing) == 0 {
		return c.commit(d)
	}
	c.phase = PhaseChanging
	if d.IsFormation() {
		c.phase = PhaseForming
	}
	return missing
}

func (c *Coordinator) promised(r *Report) bool {
	return r.Promised && !r.Diverged && r.Pending == c.proposed && r.PendingEpoch == c.epoch
}

func (c *Coordinator) stage(v Version) []Command {
	c.phase = PhaseStaging
	c.staging = v
	return c.commandsFor(
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

func (c *Coordinator) maxNextStep() Step {
	var next Step
	for i := range c.ranks {
		next = max(next, c.ranks[i].report.Next)
	}
	return next
}

// commandsFor returns the command for each rank that needs one.
func (c *Coordinator) commandsFor(command func(rank int) Command, needs func(*rankView) bool) []Command {
	var cmds []Command
	for i := range c.ranks {
		if needs(&c.ranks[i]) {
			cmds = append(cmds, command(i))
		}
	}
	return cmds
}

func (c *Coordinator) joinCommand(rank int) Command {
	return Command{Kind: Join, Rank: rank, Epoch: c.epoch}
}

func (c *Coordinator) command(rank int, kind CommandKind, d Decision) Command {
	return Command{
		Kind: kind, Rank: rank, Incarnation: c.ranks[rank].report.Incarnation,
		Epoch: c.epoch, Decision: d,
	}
}
