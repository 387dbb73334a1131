// Package groups runs a coordinator for each group of ranks in the configuration: it
// competes for the group's lease, ticks the coordinator while the lease is held, and
// carries its messages to and from the agents.
package groups

import (
	"time"

	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/settings"
)

// Config configures a Manager.
type Config struct {
	// Host is the name of this machine, set by the entry.
	Host id.Host
	// TickInterval is the time between coordinator ticks. Default: 100 ms.
	TickInterval time.Duration
	// PollInterval is the time between polls of all ranks. A rank that misses three polls
	// counts as silent. Default: 2.5 s.
	PollInterval time.Duration
	// LeaseTTL is the validity of a renewed lease. Default: 10 s.
	LeaseTTL time.Duration
	// PlanInterval is the time between plans of a group's map. Default: 1 min.
	PlanInterval time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		TickInterval: 100 * time.Millisecond, PollInterval: 2500 * time.Millisecond,
		LeaseTTL: 10 * time.Second, PlanInterval: time.Minute,
	}
}

// Register registers the settings with the values of c as defaults.
func (c *Config) Register(s *settings.Set) {
	s.Duration(&c.TickInterval, "group-tick", "Time between two ticks of the coordinator of a group of ranks")
	s.Duration(&c.PollInterval, "group-poll-interval", "Time between two polls of the ranks of a group")
	s.Duration(&c.LeaseTTL, "group-lease", "Time for which the lease of a group's coordinator is renewed")
	s.Duration(&c.PlanInterval, "group-plan-interval", "Time between two plans of a group's expert map")
}

// Validate reports all durations that are not positive.
func (c Config) Validate() finding.List {
	var l finding.List
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"group-tick", c.TickInterval}, {"group-poll-interval", c.PollInterval}, {"group-lease", c.LeaseTTL}, {"group-plan-interval", c.PlanInterval}} {
		if d.value <= 0 {
			l.Addf(d.name, "duration %v is not positive", d.value)
		}
	}
	return l
}

// silentAfterPolls is the number of missed polls after which a rank counts as silent.
const silentAfterPolls = 3

// ticks returns the number of ticks in d, at least one.
func (c Config) ticks(d time.Duration) int { return max(1, int(d/c.TickInterval)) }

func (c Config) lockstep() lockstep.Config {
	poll := c.ticks(c.PollInterval)
	return lockstep.Config{PollTicks: poll, MaxReportAgeTicks: silentAfterPolls * poll}
}
