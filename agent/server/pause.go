package server

import (
	"sync"
	"time"
)

// maxClockStep is the most that the clock advances between two ticks.
const maxClockStep = time.Second

// pauseClock is a clock that stops while the process is suspended. The ledger measures
// retention with it: a tombstone must outlive the dispatches that wait in the agent's
// socket during a suspension.
type pauseClock struct {
	now func() time.Time

	mu         sync.Mutex // leaf lock
	lastTick   time.Time  // reading of now
	timeAtTick time.Time  // reading of this clock
}

func newPauseClock(now func() time.Time) *pauseClock {
	start := now()
	return &pauseClock{now: now, lastTick: start, timeAtTick: start}
}

// tick advances the clock. It is called every housekeepingInterval while the process runs.
func (c *pauseClock) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.timeAtTick = c.timeAtTick.Add(min(now.Sub(c.lastTick), maxClockStep))
	c.lastTick = now
}

// read returns the time without suspensions.
func (c *pauseClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timeAtTick.Add(min(c.now().Sub(c.lastTick), maxClockStep))
}
