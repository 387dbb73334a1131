package dispatch

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config bounds the work of a Dispatcher.
type Config struct {
	// RecoveryTimeout bounds the time in which a started answer must be found
	// again after its connection was lost. Default: 5 s.
	RecoveryTimeout time.Duration
	// RecoveryInterval is the time between tries to reattach. Default: 100 ms.
	RecoveryInterval time.Duration
	// WithdrawTimeout bounds the wait for the verdict on a withdrawn attempt. Default: 1 s.
	WithdrawTimeout time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		RecoveryTimeout:  5 * time.Second,
		RecoveryInterval: 100 * time.Millisecond,
		WithdrawTimeout:  time.Second,
	}
}

// Validate reports all values out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"recovery-timeout", c.RecoveryTimeout},
		{"recovery-interval", c.RecoveryInterval},
		{"withdraw-timeout", c.WithdrawTimeout},
	} {
		if d.value <= 0 {
			l.Addf(d.name, "duration %v is not positive", d.value)
		}
	}
	return l
}
