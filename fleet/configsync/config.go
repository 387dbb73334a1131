// Package configsync replicates accepted configurations to every entry. One host per
// zone, the reader, watches the platform and pushes new versions through its zone.
// Anti-entropy repairs missed pushes: heartbeats carry digests of versions, and a
// host fetches a missing version from its zone, another zone or the platform.
package configsync

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config holds the parameters of the protocol.
type Config struct {
	// Fanout is the number of children per host in the push tree. Unit: hosts. Default: 3.
	Fanout int
	// CallTimeout is the timeout of a call to a peer. Unit: duration. Default: 400ms.
	CallTimeout time.Duration
	// PushGrace is the time to wait for a push after a digest with a greater
	// version, before fetching it. Unit: duration. Default: 200ms.
	PushGrace time.Duration
	// MaxZonePeers is the maximum number of peers in the zone to fetch from, before other zones. Unit: hosts. Default: 3.
	MaxZonePeers int
	// MaxRemotePeers is the maximum number of peers in other zones to fetch from, before the platform. Unit: hosts. Default: 2.
	MaxRemotePeers int
	// DutyInterval is the time between checks of whether the host has become the reader of its zone. Unit: duration. Default: 200ms.
	DutyInterval time.Duration
	// JoinGrace is the time after the start in which the host bootstraps from peers only. Unit: duration. Default: 2s.
	JoinGrace time.Duration
	// WatchTimeout is the timeout of one long poll of the platform. Unit: duration. Default: 10s.
	WatchTimeout time.Duration
	// CallPlatformTimeout is the timeout of any other platform call. Unit: duration. Default: 2s.
	CallPlatformTimeout time.Duration
	// ListInterval is the time after which the reader repeats its full list. Unit: duration. Default: 60s.
	ListInterval time.Duration
	// BackoffMin is the delay after the first failure. Unit: duration. Default: 250ms.
	BackoffMin time.Duration
	// BackoffMax is the maximum delay after repeated failures. Unit: duration. Default: 8s.
	BackoffMax time.Duration
}

// Default returns the default parameters.
func Default() Config {
	return Config{
		Fanout:              3,
		CallTimeout:         400 * time.Millisecond,
		PushGrace:           200 * time.Millisecond,
		MaxZonePeers:        3,
		MaxRemotePeers:      2,
		DutyInterval:        200 * time.Millisecond,
		JoinGrace:           2 * time.Second,
		WatchTimeout:        10 * time.Second,
		CallPlatformTimeout: 2 * time.Second,
		ListInterval:        time.Minute,
		BackoffMin:          250 * time.Millisecond,
		BackoffMax:          8 * time.Second,
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
	positive("fanout", int64(c.Fanout))
	positive("call_timeout", int64(c.CallTimeout))
	if c.MaxZonePeers < 0 {
		l.Addf("zone_tries", "must not be negative, but is %d", c.MaxZonePeers)
	}
	if c.MaxRemotePeers < 0 {
		l.Addf("elsewhere_tries", "must not be negative, but is %d", c.MaxRemotePeers)
	}
	positive("duty_interval", int64(c.DutyInterval))
	positive("watch_timeout", int64(c.WatchTimeout))
	positive("call_platform_timeout", int64(c.CallPlatformTimeout))
	positive("list_interval", int64(c.ListInterval))
	positive("backoff_min", int64(c.BackoffMin))
	if c.BackoffMax < c.BackoffMin {
		l.Addf("backoff_max", "%v is less than backoff_min, %v", c.BackoffMax, c.BackoffMin)
	}
	return l.Err()
}
