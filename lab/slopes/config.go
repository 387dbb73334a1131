// Package slopes measures in one process how the cost and latency of the fleet's
// control protocols scale with entries, zones, endpoints and teams.
package slopes

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config sets the scale and duration of the measurements.
type Config struct {
	// Seed seeds message loss, probe order and jitter. Default: 1.
	Seed uint64
	// Nodes are the fleet sizes, in entries. Default: 10, 50 and 200.
	Nodes []int
	// ZoneSize is the number of entries per zone. Default: 36.
	ZoneSize int
	// Loss is the loss rate between entries, in each direction, in the runs with
	// loss. Default: 0.05.
	Loss float64
	// Changes is the number of configuration changes per run. Default: 10.
	Changes int
	// Settle is the time allowed for peer discovery. Default: 8s.
	Settle time.Duration
	// Window is the time over which rates are measured. Default: 10s.
	Window time.Duration
	// Outage is the duration of the platform outage. Default: 20s.
	Outage time.Duration
	// Rounds is the number of repetitions of each fault. Default: 5.
	Rounds int
	// Endpoints, Teams and Services are the sizes of the full configuration.
	// Default: 1200, 890 and 32.
	Endpoints, Teams, Services int
}

// Default returns the configuration of the recorded measurements.
func Default() Config {
	return Config{
		Seed:      1,
		Nodes:     []int{10, 50, 200},
		ZoneSize:  36,
		Loss:      0.05,
		Changes:   10,
		Settle:    8 * time.Second,
		Window:    10 * time.Second,
		Outage:    20 * time.Second,
		Rounds:    5,
		Endpoints: 1200,
		Teams:     890,
		Services:  32,
	}
}

// Validate returns all findings about c.
func (c Config) Validate() error {
	var l finding.List
	positive := func(place string, v int64) {
		if v <= 0 {
			l.Addf(place, "must be greater than zero, not %d", v)
		}
	}
	if len(c.Nodes) == 0 {
		l.Addf("nodes", "at least one number of entries is needed")
	}
	for _, n := range c.Nodes {
		positive("nodes", int64(n))
	}
	positive("zone_size", int64(c.ZoneSize))
	positive("changes", int64(c.Changes))
	positive("settle", int64(c.Settle))
	positive("window", int64(c.Window))
	positive("outage", int64(c.Outage))
	positive("rounds", int64(c.Rounds))
	positive("endpoints", int64(c.Endpoints))
	positive("teams", int64(c.Teams))
	positive("services", int64(c.Services))
	if c.Loss < 0 || c.Loss >= 1 {
		l.Addf("loss", "must be at least 0 and less than 1, not %v", c.Loss)
	}
	return l.Err()
}
