package gate

import (
	"sync"
	"time"
)

// maxClockStep is the longest time between two ticks that counts as running.
const maxClockStep = time.Second

// pauseClock is a clock that stands still while the process is paused. The
// ledger's retention counts by it: a tombstone must outlive dispatches that wait
// in the agent's socket through a pause.
type pauseClock struct {
	now func() time.Time

	mu      sync.Mutex // leaf lock
	ticked  time.Time  // by now
	reached time.Time
}

func newPauseClock(now func() time.Time) *pauseClock {
	start := now()
	return &pauseClock{now: now, ticked: start, reached: start}
}

// tick tells that the process runs. Housekeeping calls it many times a second.
func (c *pauseClock) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.reached = c.reached.Add(min(now.Sub(c.ticked), maxClockStep))
	c.ticked = now
}

// read returns the time without pauses.
func (c *pauseClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reached.Add(min(c.now().Sub(c.ticked), maxClockStep))
}
