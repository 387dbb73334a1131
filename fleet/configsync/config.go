// Package configsync brings accepted configurations to every entry. One host of
// each zone watches the platform and pushes what is new to its zone. Heartbeats
// carry digests of versions, and a host that misses a version recovers it from
// a peer in its zone, then from a peer elsewhere, and from the platform last.
package configsync

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Config holds the bounds of the protocol.
type Config struct {
	// Fanout is the number of hosts that a host pushes a version to. Unit: hosts. Default: 3.
	Fanout int
	// CallTimeout bounds a call to a peer. Unit: duration. Default: 400ms.
	CallTimeout time.Duration
	// PushGrace is the time that a host waits for a push after it learned of a
	// greater version, before it asks for it. Unit: duration. Default: 200ms.
	PushGrace time.Duration
	// ZoneTries is the number of peers in the zone asked for a version before peers elsewhere. Unit: hosts. Default: 3.
	ZoneTries int
	// ElsewhereTries is the number of peers elsewhere asked before the platform. Unit: hosts. Default: 2.
	ElsewhereTries int
	// DutyInterval is the time between checks whether the host is the reader of its zone. Unit: duration. Default: 200ms.
	DutyInterval time.Duration
	// JoinGrace is the time after its start in which a host asks peers only. Unit: duration. Default: 2s.
	JoinGrace time.Duration
	// WatchTimeout bounds one poll of the platform. Unit: duration. Default: 10s.
	WatchTimeout time.Duration
	// CallPlatformTimeout bounds any other call to the platform. Unit: duration. Default: 2s.
	CallPlatformTimeout time.Duration
	// ListInterval is the time after which the reader lists all objects again. Unit: duration. Default: 60s.
	ListInterval time.Duration
	// BackoffMin is the first wait after a failure. Unit: duration. Default: 250ms.
	BackoffMin time.Duration
	// BackoffMax bounds the wait after repeated failures. Unit: duration. Default: 8s.
	BackoffMax time.Duration
}

// Default returns the default bounds.
func Default() Config {
	return Config{
		Fanout:              3,
		CallTimeout:         400 * time.Millisecond,
		PushGrace:           200 * time.Millisecond,
		ZoneTries:           3,
		ElsewhereTries:      2,
		DutyInterval:        200 * time.Millisecond,
		JoinGrace:           2 * time.Second,
		WatchTimeout:        10 * time.Second,
		CallPlatformTimeout: 2 * time.Second,
		ListInterval:        time.Minute,
		BackoffMin:          250 * time.Millisecond,
		BackoffMax:          8 * time.Second,
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
	positive("fanout", int64(c.Fanout))
	positive("call_timeout", int64(c.CallTimeout))
	if c.ZoneTries < 0 {
		l.Addf("zone_tries", "must not be negative, but is %d", c.ZoneTries)
	}
	if c.ElsewhereTries < 0 {
		l.Addf("elsewhere_tries", "must not be negative, but is %d", c.ElsewhereTries)
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
