// Package dial creates dialers for TCP connections with keep-alive probes.
package dial

import (
	"net"
	"net/netip"
	"time"
)

// Config configures a dialer. Zero values select the defaults of package net.
type Config struct {
	// Source is the local address of connections.
	Source netip.Addr
	// Timeout bounds connecting.
	Timeout time.Duration
	// KeepAliveInterval is the idle time before the first keep-alive probe and the time
	// between probes. KeepAliveProbes unanswered probes end a connection.
	KeepAliveInterval time.Duration
	KeepAliveProbes   int
}

// Dialer returns a dialer configured by c.
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
