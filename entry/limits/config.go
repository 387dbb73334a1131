// Package limits enforces the teams' token limits over all entries without a
// call per request.
//
// Each entry holds a share of each limited team, see package limit. Teams are
// partitioned into shards. In each zone, rendezvous hashing selects one entry as
// the leader of a shard, which divides the zone's grants between the zone's entries.
// One of a shard's leaders holds its lease in the platform and divides the limits
// between the zones. The lease names its address.
package limits

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
)

// Config holds the timing of the exchanges and the sizing of the floors.
type Config struct {
	// Zone is the availability zone of this entry. Required.
	Zone id.Zone
	// Interval is the time between two exchanges. Default: 1 s.
	Interval time.Duration
	// CallTimeout bounds a call to another entry. Default: 500 ms.
	CallTimeout time.Duration
	// LeaseTTL is the time for which the lease outlasts an outage of the platform,
	// and the longest time without a lease holder after one failed. Default: 30 s.
	LeaseTTL time.Duration
	// FloorFraction is the fraction of each limit reserved for floors. Range: 0 to 1. Default: 0.2.
	FloorFraction float64
	// Zones is the expected maximum number of zones that run at a time. Default: 3.
	Zones int
	// EntriesPerZone is the expected maximum number of entries that run in a zone. Default: 2.
	EntriesPerZone int
	// Now returns a time with a monotonic reading. Default: time.Now.
	Now func() time.Time
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Interval:       time.Second,
		CallTimeout:    500 * time.Millisecond,
		LeaseTTL:       30 * time.Second,
		FloorFraction:  0.2,
		Zones:          3,
		EntriesPerZone: 2,
		Now:            time.Now,
	}
}

// Validate reports all values out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	if c.FloorFraction < 0 || c.FloorFraction > 1 {
		l.Addf("floor-part", "%g is not between 0 and 1", c.FloorFraction)
	}
	if c.Zones <= 0 {
		l.Addf("zones", "%d is not positive", c.Zones)
	}
	if c.EntriesPerZone <= 0 {
		l.Addf("entries-per-zone", "%d is not positive", c.EntriesPerZone)
	}
	if c.Interval <= 0 {
		l.Addf("interval", "duration %v is not positive", c.Interval)
	}
	if c.CallTimeout <= 0 {
		l.Addf("call-timeout", "duration %v is not positive", c.CallTimeout)
	}
	if c.LeaseTTL <= 0 {
		l.Addf("lease-ttl", "duration %v is not positive", c.LeaseTTL)
	}
	return l
}
