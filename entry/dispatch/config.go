package dispatch

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config sets the timeouts of a Dispatcher.
type Config struct {
	// RecoveryTimeout bounds reattaching to a started response after its connection
	// was lost. Default: 5 s.
	RecoveryTimeout time.Duration
	// RecoveryInterval is the time between reattach attempts. Default: 100 ms.
	RecoveryInterval time.Duration
	// WithdrawTimeout bounds the wait for the agent's reply for a withdrawn attempt. Default: 1 s.
	WithdrawTimeout time.Duration
}

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
