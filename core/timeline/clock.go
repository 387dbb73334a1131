package timeline

import (
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock. Stamps are ordered by Wall, then by Logical.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Wall is the time in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical orders events with the same Wall.
	Logical uint32 `json:"logical"`
}

// Before reports whether s is ordered before t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that reads the wall time from wall, usually time.Now.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp greater than every stamp returned or observed before.
func (c *Clock) Now() Stamp {
	wall := c.wall().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// MaxClockOffset is how far a received stamp may be ahead of the local wall time. Stamps
// beyond it are ignored, so that one wrong clock does not advance all others.
const MaxClockOffset = time.Minute

// Observe advances the clock to a stamp received from another process.
func (c *Clock) Observe(s Stamp) {
	if s.Wall > c.wall().Add(MaxClockOffset).UnixNano() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
