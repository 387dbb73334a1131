package server

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/agent/ledger"
	"github.com/siskinford/siskinford/wire/msg"
)

type frameSink struct{ last *msg.Frame }

func (f *frameSink) Frame(frame *msg.Frame) { f.last = frame }

// TestTombstoneOutlivesPause guards against running an attempt that was reported as not
// run, when its dispatch is read only after a suspension of the agent.
func TestTombstoneOutlivesPause(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	clock := newPauseClock(func() time.Time { return now })
	l := ledger.New(ledger.DefaultConfig(), clock.read)
	attempt := ledger.Attempt{ID: "a1"}
	var sink frameSink
	l.Attach(attempt, 0, &sink)
	assert.Equal(t, sink.last.Refused.Code, msg.CodeUnknownAttempt)
	now = now.Add(time.Hour)
	clock.tick()
	l.Expire()
	admission, _ := l.Admit(attempt, &frameSink{})
	assert.Equal(t, admission, ledger.AdmissionRefused)
}

func TestPauseClockExcludesTimeBetweenDistantTicks(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	start := now
	clock := newPauseClock(func() time.Time { return now })
	for range 600 {
		now = now.Add(500 * time.Millisecond)
		clock.tick()
	}
	assert.Equal(t, clock.read().Sub(start), 5*time.Minute)
	now = now.Add(time.Hour)
	assert.Equal(t, clock.read().Sub(start), 5*time.Minute+maxClockStep)
	clock.tick()
	assert.Equal(t, clock.read().Sub(start), 5*time.Minute+maxClockStep)
}
