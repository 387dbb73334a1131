// Package member implements SWIM-style membership and failure detection for entry
// hosts. Within a zone, each host probes a bounded number of others and piggybacks
// membership updates on the probes. Between zones, a few delegates per zone
// exchange summaries of constant size.
package member

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config holds the parameters of both protocols.
type Config struct {
	Zone  ZoneConfig
	Cross CrossConfig
}

// ZoneConfig holds the parameters of the protocol inside a zone.
type ZoneConfig struct {
	// ProbeInterval is the time between probes of each monitored host. Unit: duration. Default: 500ms.
	ProbeInterval time.Duration
	// Successors is the number of next hosts on the hash ring that each host
	// monitors. Unit: hosts. Default: 2.
	Successors int
	// FingerProbes is the number of fingers, the hosts at doubling distances on
	// the hash ring, probed per ProbeInterval in rotation. Unit: hosts. Default: 1.
	FingerProbes int
	// RetryInterval is the time after which an unanswered probe is retried. The
	// first retry uses a new connection. Unit: duration. Default: 200ms.
	RetryInterval time.Duration
	// IndirectProbes is the number of hosts sent a PingReq with each retry. Unit: hosts. Default: 2.
	IndirectProbes int
	// SuspectAfter is the silence after which a monitored host is suspected. Unit: duration. Default: 1.2s.
	SuspectAfter time.Duration
	// DeadAfter is the time in state Suspect after which a host is declared dead. Unit: duration. Default: 1.6s.
	DeadAfter time.Duration
	// Retention is the time after which a dead host is removed from the table. Unit: duration. Default: 60s.
	Retention time.Duration
	// RejoinInterval is the time between probes of a random host that is dead or
	// only in the host list. Unit: duration. Default: 2s.
	RejoinInterval time.Duration
	// SyncInterval is the minimum time between two full syncs that a host
	// starts. Unit: duration. Default: 1s.
	SyncInterval time.Duration
	// MaxUpdates is the maximum number of queued updates in a message. Unit: updates. Default: 8.
	MaxUpdates int
	// Transmits is the number of messages that carry each update. Unit: messages. Default: 8.
	Transmits int
	// PauseAfter is the gap between two ticks from which the own process counts
	// as paused; the pause is then not counted as silence of other hosts.
	// Unit: duration. Default: 400ms.
	PauseAfter time.Duration
	// HostListLag is the time after a host's start during which it refutes a
	// host list that marks it as leaving. Unit: duration. Default: 60s.
	HostListLag time.Duration
}

// CrossConfig holds the parameters of the protocol between zones.
type CrossConfig struct {
	// Interval is the time between exchanges of summaries with each other zone.
	// Unit: duration. Default: 5s.
	Interval time.Duration
	// Delegates is the number of hosts of each zone that exchange summaries. Unit: hosts. Default: 2.
	Delegates int
	// Contacts is the maximum number of contacts in a summary. Unit: hosts. Default: 3.
	Contacts int
	// Seeds is the maximum number of hosts kept per other zone from the host list. Unit: hosts. Default: 3.
	Seeds int
	// Transmits is the number of messages that carry each summary inside a zone. Unit: messages. Default: 3.
	Transmits int
	// SilentAfter is the age of the last summary from which a zone counts as unreachable. Unit: duration. Default: 16s.
	SilentAfter time.Duration
}

// Default returns the default parameters.
func Default() Config {
	return Config{Zone: DefaultZone(), Cross: DefaultCross()}
}

// DefaultZone returns the default parameters inside a zone.
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

// DefaultCross returns the default parameters between zones.
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

// Validate returns an error that lists all findings about c.
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
