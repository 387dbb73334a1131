package timeline

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func fixedClock(seconds int64) func() time.Time {
	return func() time.Time { return time.Unix(seconds, 0) }
}

func TestStampsAfterObserveAreLater(t *testing.T) {
	ahead, behind := NewClock(fixedClock(30)), NewClock(fixedClock(10))
	sent := ahead.Now()
	behind.Observe(sent)
	assert.Assert(t, sent.Before(behind.Now()))
}

func TestStampBeyondMaxClockOffsetIsIgnored(t *testing.T) {
	c := NewClock(fixedClock(10))
	c.Observe(Stamp{Wall: time.Unix(10, 0).Add(MaxClockOffset + 1).UnixNano()})
	assert.Equal(t, c.Now(), Stamp{Wall: time.Unix(10, 0).UnixNano()})
}

// TestCausalOrder checks that stamps follow causality between clocks that are wrong and jump back.
func TestCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		walls := make([]int64, 3)
		clocks := make([]*Clock, len(walls))
		last := make([]Stamp, len(walls))
		for i := range clocks {
			clocks[i] = NewClock(func() time.Time { return time.Unix(walls[i], 0) })
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			walls[from] = rapid.Int64Range(0, 50).Draw(t, "wall")
			sent := clocks[from].Now()
			assert.Assert(t, last[from] == Stamp{} || last[from].Before(sent))
			last[from] = sent
			clocks[to].Observe(sent)
			received := clocks[to].Now()
			assert.Assert(t, sent.Before(received))
			last[to] = received
		}
	})
}
