package ledger

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config bounds the ledger by time and memory.
type Config struct {
	// ActionRetention is how long the record of a settled action is kept. It must
	// be at least the lifetime of tickets and of idempotency keys. Default: 1 h.
	ActionRetention time.Duration
	// AttemptRetention is how long the record of a settled attempt without an action
	// is kept. It must exceed the idle timeout of connections. Default: 1 min.
	AttemptRetention time.Duration
	// OrphanTimeout is how long a started attempt without an action continues
	// while no entry is attached to it. Default: 10 s.
	OrphanTimeout time.Duration
	// MaxAttempts bounds the recorded attempts. Default: 200,000.
	MaxAttempts int
	// MaxActions bounds the recorded actions. Default: 100,000.
	MaxActions int
	// MaxAnswerBytes bounds the memory for stored responses. Those of settled
	// attempts without an action are dropped first. Default: 64 MiB.
	MaxAnswerBytes int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		ActionRetention:  time.Hour,
		AttemptRetention: time.Minute,
		OrphanTimeout:    10 * time.Second,
		MaxAttempts:      200_000,
		MaxActions:       100_000,
		MaxAnswerBytes:   64 << 20,
	}
}

// Validate reports all values out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"action-retention", c.ActionRetention},
		{"attempt-retention", c.AttemptRetention},
		{"orphan-timeout", c.OrphanTimeout},
	} {
		if d.value <= 0 {
			l.Addf(d.name, "duration %v is not positive", d.value)
		}
	}
	for _, n := range []struct {
		name  string
		value int
	}{
		{"max-attempts", c.MaxAttempts},
		{"max-actions", c.MaxActions},
		{"max-answer-bytes", c.MaxAnswerBytes},
	} {
		if n.value <= 0 {
			l.Addf(n.name, "%d is not positive", n.value)
		}
	}
	return l
}
