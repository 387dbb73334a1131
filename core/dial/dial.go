// Package dial opens TCP connections that notice a silent peer.
package dial

import (
	"net"
	"net/netip"
	"time"
)

// Config describes how connections are opened. Zero values leave the choice to
// the operating system.
type Config struct {
	// Source is the address of this host from which connections are opened.
	Source netip.Addr
	// Timeout bounds the time to connect.
	Timeout time.Duration
	// KeepAliveInterval is the time without traffic after which a connection is
	// probed, and between probes. ProbeCount probes without an answer end it.
	KeepAliveInterval time.Duration
	KeepAliveProbes   int
}

// Dialer returns a dialer for such connections.
func (c Config) Dialer() *net.Dialer {
	d := &net.Dialer{Timeout: c.Timeout}
	if c.Source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.Source, 0))
	}
	if c.KeepAliveInterval > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{
			Enable: true, Idle: c.KeepAliveInterval, Interval: c.KeepAliveInterval, Count: c.KeepAliveProbes,
		}
	}
	return d
}
