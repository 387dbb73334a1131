// Package link connects processes over QUIC. The dialing side sends orders, the
// listening side replies. All messages of a connection share one stream, so that
// messages written at the same time are sent in one packet.
package link

import (
	"time"

	"github.com/quic-go/quic-go"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/timeline"
)

// Config configures connections.
type Config struct {
	// LocalIP is the local address of dialed connections, by which peers identify the
	// host. Default: chosen by the operating system.
	LocalIP string
	// DialTimeout bounds the setup of a connection. Default: 1 s.
	DialTimeout time.Duration
	// ProbeInterval is the time without any message after which a client sends
	// an application probe, and the time between probes. Default: 500 ms.
	ProbeInterval time.Duration
	// SilenceTimeout is the time without any message after which a client closes a
	// connection. Default: 1.5 s.
	SilenceTimeout time.Duration
	// IdleProbeInterval and IdleSilenceTimeout replace ProbeInterval and
	// SilenceTimeout while only subscriptions are open. Defaults: 1.75 s and 2.75 s.
	IdleProbeInterval  time.Duration
	IdleSilenceTimeout time.Duration
	// IdleTimeout is the time without any packet after which a listener closes
	// a connection. Default: 10 s.
	IdleTimeout time.Duration
	// MaxQueuedBytes bounds the send queue of a connection. A client's sends fail beyond
	// it, and a listener closes the connection. Default: 64 MiB.
	MaxQueuedBytes int
	// WriterYields is how often a writer yields to goroutines that queue messages before
	// it sends a batch. Default: 4.
	WriterYields int
	// Clock stamps messages and observes the stamps of received ones, so that events of
	// several processes are in causal order. Nil disables stamps.
	Clock *timeline.Clock
}

// stamp returns the stamp for a message, or nil without a clock.
func (c Config) stamp() *timeline.Stamp {
	if c.Clock == nil {
		return nil
	}
	s := c.Clock.Now()
	return &s
}

// observe advances the clock to the stamp of a received message, which may be nil.
func (c Config) observe(s *timeline.Stamp) {
	if c.Clock != nil && s != nil {
		c.Clock.Observe(*s)
	}
}

// DefaultConfig returns the defaults for connections within a region.
func DefaultConfig() Config {
	return Config{
		DialTimeout:        time.Second,
		ProbeInterval:      500 * time.Millisecond,
		SilenceTimeout:     1500 * time.Millisecond,
		IdleProbeInterval:  1750 * time.Millisecond,
		IdleSilenceTimeout: 2750 * time.Millisecond,
		IdleTimeout:        10 * time.Second,
		MaxQueuedBytes:     64 << 20,
		WriterYields:       4,
	}
}

// PeerConfig returns the defaults for connections between entries. Idle ones are not
// probed, as the membership protocol detects failed entries.
func PeerConfig() Config {
	c := DefaultConfig()
	c.IdleProbeInterval = 10 * time.Minute
	c.IdleSilenceTimeout = time.Hour
	c.IdleTimeout = 90 * time.Second
	return c
}

// Validate reports all values out of range.
func (c Config) Validate() finding.List {
	var l finding.List
	positive := func(name string, d time.Duration) {
		if d <= 0 {
			l.Addf(name, "duration %v is not positive", d)
		}
	}
	positive("dial-timeout", c.DialTimeout)
	positive("probe-interval", c.ProbeInterval)
	positive("silence-timeout", c.SilenceTimeout)
	positive("idle-probe-interval", c.IdleProbeInterval)
	positive("idle-silence-timeout", c.IdleSilenceTimeout)
	positive("idle-timeout", c.IdleTimeout)
	if c.IdleSilenceTimeout <= c.IdleProbeInterval {
		l.Addf("idle-silence-timeout", "%v is not greater than the idle probe interval %v", c.IdleSilenceTimeout, c.IdleProbeInterval)
	}
	if c.SilenceTimeout <= c.ProbeInterval {
		l.Addf("silence-timeout", "%v is not greater than the probe interval %v", c.SilenceTimeout, c.ProbeInterval)
	}
	if c.MaxQueuedBytes <= 0 {
		l.Addf("max-queued-bytes", "%d is not positive", c.MaxQueuedBytes)
	}
	return l
}

func (c Config) quic() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           c.DialTimeout,
		MaxIdleTimeout:                 c.IdleTimeout,
		InitialStreamReceiveWindow:     1 << 20,
		MaxStreamReceiveWindow:         16 << 20,
		InitialConnectionReceiveWindow: 2 << 20,
		MaxConnectionReceiveWindow:     32 << 20,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		Allow0RTT:                      false,
	}
}
