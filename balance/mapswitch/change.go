package mapswitch

import "time"

// learn waits until every rank of an open group has reported.
func (c *Coordinator) learn(now time.Duration) {
	for i := range c.ranks {
		if k := &c.ranks[i]; !k.reported || !k.report.Open {
			return
		}
	}
	if _, _, ok := c.Current(); !ok {
		return
	}
	c.beginRecovery(now, "checking for an unfinished change of an earlier coordinator")
}

// idle starts a recovery if another coordinator has given orders.
func (c *Coordinator) idle(now time.Duration) {
	if c.otherCoordinatorSeen() {
		c.beginRecovery(now, "another coordinator armed a rank or held a step")
	}
}

// otherCoordinatorSeen reports whether a rank is armed or holds a step by another
// coordinator's order.
func (c *Coordinator) otherCoordinatorSeen() bool {
	for i := range c.ranks {
		r := &c.ranks[i].report
		if r.Armed != 0 && r.Armed != c.version {
			return true
		}
		if r.Held != 0 && !c.releasable[heldStep{i, r.Held}] && (i != c.holder || r.Held != c.step) {
			return true
		}
	}
	return false
}

func (c *Coordinator) prepare(now time.Duration) []Order {
	if now-c.phaseStart > c.cfg.PrepareTimeout {
		c.abandon(now, "copying the weights timed out")
		return nil
	}
	if c.otherCoordinatorSeen() {
		c.abandon(now, "another coordinator armed a rank or held a step")
		return nil
	}
	var out []Order
	ready := true
	for i := range c.ranks {
		k := &c.ranks[i]
		if k.report.Prepared == c.version {
			continue
		}
		ready = false
		if !k.prepared {
			out = append(out, c.issue(Order{Rank: i, Op: Prepare, Version: c.version, Map: c.target}, now)...)
		}
	}
	if ready {
		c.step = c.nextHoldStep(c.lastStep() + c.leadSteps())
		c.enter(Holding, now, "every rank has the weights")
	}
	return out
}

func (c *Coordinator) onPrepare(k *rank, o Order, got Outcome, now time.Duration) {
	switch c.phase {
	case Preparing:
		if o.Version != c.version {
			return
		}
		if got == Conflict && k.report.Prepared != c.version {
			c.abandon(now, "a rank refused to prepare the map")
			return
		}
		k.prepared = true
	case Recovering, Deciding, Undoing:
		if o.Version <= c.version {
			return // The answer to the change's own map, not to a fence.
		}
		if got == Done {
			k.fence = max(k.fence, o.Version)
			return
		}
		k.fenceRefused, k.refusedAtReport, k.disarmed = true, k.reports, false
	default:
	}
}

// abandon ends a change for which no rank was armed.
func (c *Coordinator) abandon(now time.Duration, reason string) {
	c.version, c.target = 0, nil
	c.enter(Idle, now, reason)
}

func (c *Coordinator) hold(now time.Duration) []Order {
	if c.holdTries > maxHoldTries || now-c.phaseStart > c.cfg.PrepareTimeout {
		c.allowRelease() // No rank was armed for the step.
		c.abandon(now, "no step could be held")
		return nil
	}
	via := (c.holdVia + 1) % len(c.ranks)
	if via == c.holder {
		via = (via + 1) % len(c.ranks)
	}
	out := c.issueVia(Order{Rank: c.holder, Via: via, Op: Hold, Step: c.step}, now)
	if len(out) > 0 {
		c.holdVia = via
		c.ranks[via].relaySuspect = true
	}
	return out
}

func (c *Coordinator) onHold(o Order, got Outcome, now time.Duration) {
	if c.phase != Holding || o.Step != c.step {
		return
	}
	if got == Conflict {
		c.allowRelease() // A resent hold may still be executed.
		c.holdTries++
		c.step = c.nextHoldStep(c.lastStep() + c.leadSteps())
		return
	}
	c.heldAt = now
	c.enter(Arming, now, "the step is held")
}

func (c *Coordinator) arm(now time.Duration) []Order {
	if c.allArmed() {
		c.allowRelease()
		c.enter(Releasing, now, "every rank is armed")
		return nil
	}
	if now-c.heldAt > max(c.cfg.HoldTimeout, c.cfg.PingDelay+holdRTTs*c.longestRTT()) {
		c.enter(Deciding, now, "arming all ranks timed out")
		return nil
	}
	var out []Order
	for i := range c.ranks {
		k := &c.ranks[i]
		switch {
		case k.armed:
		case k.relaySuspect && now-c.heldAt > max(c.cfg.PingTimeout, c.cfg.PingDelay+resendRTTs*k.rtt):
			c.enter(Deciding, now, "the relay that forwarded the hold did not answer a ping")
			return out
		case k.relaySuspect && now-c.heldAt < c.cfg.PingDelay:
		case k.relaySuspect:
			out = append(out, c.issue(Order{Rank: i, Op: Ping}, now)...)
		default:
			k.armSent = true
			out = append(out, c.issue(Order{Rank: i, Op: Arm, Version: c.version, Step: c.step}, now)...)
		}
	}
	return out
}

func (c *Coordinator) onArm(k *rank, o Order, got Outcome, now time.Duration) {
	if o.Version != c.version {
		return
	}
	if got == Done {
		k.armed = true
		return
	}
	if c.phase == Arming {
		c.enter(Deciding, now, "a rank refused to arm the map")
	}
}

func (c *Coordinator) allArmed() bool {
	for i := range c.ranks {
		if !c.ranks[i].armed {
			return false
		}
	}
	return true
}

// decide fences the ranks that did not confirm that they are armed. The first accepted
// fence, or a rank that was never sent an arm order, means that the change can be undone; a rank
// that refuses the fence and reports that it is armed counts as armed.
func (c *Coordinator) decide(now time.Duration) []Order {
	if c.allArmed() {
		c.allowRelease()
		c.enter(Releasing, now, "every rank is armed")
		return nil
	}
	highestArmed := c.highestArmed()
	for i := range c.ranks {
		if c.cannotArm(i, highestArmed) {
			c.enter(Undoing, now, "a rank can no longer be armed")
			return nil
		}
	}
	var out []Order
	for i := range c.ranks {
		if !c.ranks[i].armed {
			out = append(out, c.issueFence(i, now)...)
		}
	}
	return out
}

// cannotArm reports whether the version of the change cannot be armed at a rank, now or
// later. Only orders of this lease name the version.
func (c *Coordinator) cannotArm(i int, highestArmed uint64) bool {
	return c.ranks[i].fenced(highestArmed) || c.version != 0 && c.target != nil && !c.ranks[i].armSent && c.ranks[i].report.Armed == 0
}

// highestArmed returns the highest version that is or may be armed.
func (c *Coordinator) highestArmed() uint64 {
	v := c.version
	for i := range c.ranks {
		v = max(v, c.ranks[i].report.Armed)
	}
	return v
}

// fenced reports whether a rank accepted a fence above highestArmed and not below the
// prepared version. A lower fence proves nothing: the rank may have been armed after it,
// or a later coordinator has prepared a map there and may arm it at any time.
func (k *rank) fenced(highestArmed uint64) bool {
	return k.fence > highestArmed && k.fence >= k.report.Prepared
}

// issueFence orders a rank to prepare the map in use under a new version.
func (c *Coordinator) issueFence(i int, now time.Duration) []Order {
	k := &c.ranks[i]
	content, ok := c.contents[k.report.Version]
	if !ok || c.awaitsAnswer(i, Prepare, now) {
		return nil
	}
	if k.fenceRefused && k.reports == k.refusedAtReport {
		return nil // Wait for a report that shows why the last one was refused.
	}
	return c.issue(Order{Rank: i, Op: Prepare, Version: c.newVersion(), Map: content}, now)
}

// undo disarms and fences all ranks.
func (c *Coordinator) undo(now time.Duration) []Order {
	var out []Order
	fenced := true
	highestArmed := c.highestArmed()
	for i := range c.ranks {
		k := &c.ranks[i]
		if c.cannotArm(i, highestArmed) {
			continue
		}
		fenced = false
		armed := k.report.Armed
		if armed == 0 {
			armed = c.version
		}
		if !c.mayDisarm(armed, highestArmed) {
			c.beginRecovery(now, "another coordinator armed a rank")
			return out
		}
		if !k.disarmed && armed != 0 {
			out = append(out, c.issue(Order{Rank: i, Op: Disarm, Version: armed}, now)...)
			continue
		}
		out = append(out, c.issueFence(i, now)...)
	}
	if !fenced {
		return out
	}
	c.allowRelease()
	if c.allFenced() {
		c.allowReleaseAll()
	}
	c.version, c.target = 0, nil
	c.enter(Releasing, now, "no rank is armed")
	return out
}

// allFenced reports whether no rank is or can be armed with any version, so that no
// coordinator's hold is needed any more.
func (c *Coordinator) allFenced() bool {
	highestArmed := c.highestArmed()
	for i := range c.ranks {
		if !c.ranks[i].fenced(highestArmed) {
			return false
		}
	}
	return true
}

// mayDisarm reports whether a version can no longer be armed at some rank.
func (c *Coordinator) mayDisarm(version, highestArmed uint64) bool {
	for i := range c.ranks {
		if c.ranks[i].fence > version || version == c.version && c.cannotArm(i, highestArmed) {
			return true
		}
	}
	return false
}

func (c *Coordinator) release(now time.Duration) []Order {
	if c.step == 0 || c.lastStep() >= c.step {
		c.released(now)
		return nil
	}
	return c.issue(Order{Rank: c.holder, Op: Release, Step: c.step}, now)
}

func (c *Coordinator) onRelease(o Order, now time.Duration) {
	if c.phase == Releasing && o.Step == c.step {
		c.released(now)
	}
}

func (c *Coordinator) released(now time.Duration) {
	if c.version == 0 {
		c.backOff(now)
		c.enter(Idle, now, "the change was undone")
		return
	}
	c.enter(Settling, now, "the step was released")
}

// settle waits until every rank uses the armed map.
func (c *Coordinator) settle(now time.Duration) {
	for i := range c.ranks {
		if c.ranks[i].report.Version != c.version {
			c.allowReleaseWhileArmed()
			c.restartIfSuperseded(now)
			return
		}
	}
	if c.target != nil {
		c.contents[c.version], c.ordered[c.version] = c.target, true
	}
	c.undoneInARow = 0
	c.enter(Idle, now, "every rank uses the new map")
}

// allowReleaseWhileArmed permits releasing the holds of other coordinators. While every
// rank is armed with one version, none can switch to another map first.
func (c *Coordinator) allowReleaseWhileArmed() {
	for i := range c.ranks {
		if r := &c.ranks[i].report; r.Held != 0 && r.Armed == c.version {
			c.releasable[heldStep{i, r.Held}] = true
		}
	}
}

// restartIfSuperseded returns to Learning if another coordinator changed the map afterwards.
func (c *Coordinator) restartIfSuperseded(now time.Duration) {
	if c.lastStep() <= c.step+1 {
		return
	}
	for i := range c.ranks {
		if r := &c.ranks[i].report; r.Version != c.ranks[0].report.Version || r.Armed != 0 {
			return
		}
	}
	c.version, c.target = 0, nil
	c.enter(Learning, now, "another coordinator changed the map")
}

// releaseAllowed releases the holds that are no longer needed, including those that were
// executed late.
func (c *Coordinator) releaseAllowed(now time.Duration) []Order {
	if c.phase == Releasing {
		return nil
	}
	var out []Order
	for i := range c.ranks {
		r := &c.ranks[i].report
		if r.Held != 0 && c.releasable[heldStep{i, r.Held}] && r.Step < r.Held {
			out = append(out, c.issue(Order{Rank: i, Op: Release, Step: r.Held}, now)...)
		}
	}
	return out
}
