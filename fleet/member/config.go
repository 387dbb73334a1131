// Package member tracks which entry hosts are live. Within a zone, hosts probe
// a bounded number of others and spread what they learn on the same messages.
// Between zones, few delegates exchange summaries of constant size.
package member

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config holds the bounds of both protocols.
type Config struct {
	Zone  ZoneConfig
	Cross CrossConfig
}

// ZoneConfig holds the bounds of the protocol inside a zone.
type ZoneConfig struct {
	// ProbeInterval is the time between probes of each monitored host. Unit: duration. Default: 500ms.
	ProbeInterval time.Duration
	// Successors is the number of hosts that each host monitors, its next ones
	// in hash order. Unit: hosts. Default: 2.
	Successors int
	// FingerProbes is the number of further hosts probed in each interval, in turn
	// those at doubling distances in hash order. Unit: hosts. Default: 1.
	FingerProbes int
	// RetryInterval is the time without an answer after which a probe is
	// repeated. The first repetition uses a fresh connection. Unit: duration. Default: 200ms.
	RetryInterval time.Duration
	// IndirectProbes is the number of hosts asked to probe for each repetition. Unit: hosts. Default: 2.
	IndirectProbes int
	// SuspectAfter is the silence after which a monitored host is suspected. Unit: duration. Default: 1.2s.
	SuspectAfter time.Duration
	// DeadAfter is the time after which a suspected host is declared dead. Unit: duration. Default: 1.6s.
	DeadAfter time.Duration
	// Retention is the time for which dead hosts are remembered. Unit: duration. Default: 60s.
	Retention time.Duration
	// RejoinInterval is the time between probes of a host that is dead or
	// known from the host list only. Unit: duration. Default: 2s.
	RejoinInterval time.Duration
	// SyncInterval is the least time between two exchanges of all members that
	// a host starts. Unit: duration. Default: 1s.
	SyncInterval time.Duration
	// MaxUpdates bounds the claims in a message. Unit: claims. Default: 8.
	MaxUpdates int
	// Transmits is the number of messages that repeat a claim. Unit: messages. Default: 8.
	Transmits int
	// PauseAfter is the time between two ticks from which on the process
	// itself counts as paused and silence of others is not held against them.
	// Unit: duration. Default: 400ms.
	PauseAfter time.Duration
	// HostListLag is the time after its start for which a host refutes that the
	// host list calls it leaving. Unit: duration. Default: 60s.
	HostListLag time.Duration
}

// CrossConfig holds the bounds of the protocol between zones.
type CrossConfig struct {
	// Interval is the time between two exchanges of summaries with each other
	// zone. Unit: duration. Default: 5s.
	Interval time.Duration
	// Delegates is the number of hosts of each zone that exchange summaries. Unit: hosts. Default: 2.
	Delegates int
	// Contacts bounds the hosts named in a summary. Unit: hosts. Default: 3.
	Contacts int
	// Seeds bounds the hosts remembered for each other zone from the host list. Unit: hosts. Default: 3.
	Seeds int
	// Transmits is the number of messages that repeat a summary inside a zone. Unit: messages. Default: 3.
	Transmits int
	// SilentAfter is the age of the last summary from which on a zone counts as unreachable. Unit: duration. Default: 16s.
	SilentAfter time.Duration
}

// Default returns the default bounds.
func Default() Config {
	return Config{Zone: DefaultZone(), Cross: DefaultCross()}
}

// DefaultZone returns the default bounds inside a zone.
func DefaultZone() ZoneConfig {
	return ZoneConfig{
		ProbeInterval:  500 * time.Millisecond,
		Successors:     2,
		FingerProbes:   1,
		RetryInterval:  200 * time.Millisecond,
		IndirectProbes: 2,
		SuspectAfter:   1200 * time.Millisecond,
		DeadAfter:      1600 * time.Millisecond,
		Retention:      time.Minute,
		RejoinInterval: 2 * time.Second,
		SyncInterval:   time.Second,
		MaxUpdates:     8,
		Transmits:      8,
		PauseAfter:     400 * time.Millisecond,
		HostListLag:    time.Minute,
	}
}

// DefaultCross returns the default bounds between zones.
func DefaultCross() CrossConfig {
	return CrossConfig{
		Interval:    5 * time.Second,
		Delegates:   2,
		Contacts:    3,
		Seeds:       3,
		Transmits:   3,
		SilentAfter: 16 * time.Second,
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
	positive("zone.probe_interval", int64(c.Zone.ProbeInterval))
	positive("zone.successors", int64(c.Zone.Successors))
	positive("zone.retry_interval", int64(c.Zone.RetryInterval))
	positive("zone.suspect_after", int64(c.Zone.SuspectAfter))
	positive("zone.dead_after", int64(c.Zone.DeadAfter))
	positive("zone.retention", int64(c.Zone.Retention))
	positive("zone.rejoin_interval", int64(c.Zone.RejoinInterval))
	positive("zone.sync_interval", int64(c.Zone.SyncInterval))
	positive("zone.max_updates", int64(c.Zone.MaxUpdates))
	positive("zone.transmits", int64(c.Zone.Transmits))
	positive("zone.pause_after", int64(c.Zone.PauseAfter))
	positive("cross.interval", int64(c.Cross.Interval))
	positive("cross.delegates", int64(c.Cross.Delegates))
	positive("cross.contacts", int64(c.Cross.Contacts))
	positive("cross.seeds", int64(c.Cross.Seeds))
	positive("cross.silent_after", int64(c.Cross.SilentAfter))
	if c.Zone.SuspectAfter < c.Zone.ProbeInterval+c.Zone.RetryInterval {
		l.Addf("zone.suspect_after", "%v leaves no time to repeat a probe sent every %v after %v",
			c.Zone.SuspectAfter, c.Zone.ProbeInterval, c.Zone.RetryInterval)
	}
	return l.Err()
}
