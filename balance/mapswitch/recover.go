package mapswitch

import "time"

func (c *Coordinator) beginRecovery(now time.Duration, reason string) {
	c.clearProgress()
	for i := range c.ranks {
		c.ranks[i].pending = nil
	}
	c.version, c.target = 0, nil
	c.enter(Recovering, now, reason)
}

// recover fences every rank. If all ranks are armed with one version instead,
// it completes the change of the earlier coordinator. If only some are, the
// accepted fences permit undoing it.
func (c *Coordinator) recover(now time.Duration) []Order {
	var out []Order
	var fenced, armed int
	highestArmed := c.highestArmed()
	for i := range c.ranks {
		k := &c.ranks[i]
		switch {
		case k.fenced(highestArmed):
			fenced++
		case k.fenceRefused && k.reports > k.refusedAtReport && k.report.Armed != 0:
			armed++
		default:
			out = append(out, c.issueFence(i, now)...)
		}
	}
	if fenced+armed < len(c.ranks) {
		return out
	}
	c.adoptHold()
	switch {
	case armed == 0:
		c.finishRecovery(now, "no rank was armed")
	case fenced == 0 && c.allArmedSame():
		c.version = c.ranks[0].report.Armed
		c.enter(Settling, now, "every rank was armed")
		c.allowReleaseAll()
	case fenced == 0:
		c.beginRecovery(now, "ranks report different armed versions")
	default:
		c.enter(Undoing, now, "some ranks were armed")
	}
	return out
}

// adoptHold takes over the step that another coordinator holds.
func (c *Coordinator) adoptHold() {
	c.step, c.target = 0, nil
	for i := range c.ranks {
		if h := c.ranks[i].report.Held; h != 0 {
			c.step, c.holder = h, i
		}
	}
}

// finishRecovery permits releasing all holds.
func (c *Coordinator) finishRecovery(now time.Duration, reason string) {
	c.allowReleaseAll()
	c.version = 0
	c.enter(Idle, now, reason)
}

func (c *Coordinator) allowReleaseAll() {
	for i := range c.ranks {
		if h := c.ranks[i].report.Held; h != 0 {
			c.releasable[heldStep{i, h}] = true
		}
	}
}

func (c *Coordinator) allArmedSame() bool {
	for i := range c.ranks {
		if c.ranks[i].report.Armed != c.ranks[0].report.Armed {
			return false
		}
	}
	return true
}
