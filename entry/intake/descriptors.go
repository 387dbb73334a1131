package intake

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Kind is a use of descriptors.
type Kind string

// The uses of descriptors.
const (
	Clients   Kind = "clients"
	Endpoints Kind = "endpoints"
	Readiness Kind = "readiness"
	Operators Kind = "operators"
	Collector Kind = "metrics"
)

// descriptorShares are the shares of the uses in 32 parts of the descriptors. A client has one connection to an
// endpoint at a time, and most wait in a queue or send a body before.
var descriptorShares = map[Kind]int{Clients: 16, Endpoints: 12, Readiness: 2, Operators: 1, Collector: 1}

const (
	descriptorParts = 32
	// ownDescriptors and ownDivisor are the descriptors for the process's own files, listeners and connections to
	// relays, entries and the store: a number and a fraction of all.
	ownDescriptors = 32
	ownDivisor     = 16
)

// connections returns the number of connections of a kind, zero for no limit.
func (a *Account) connections(k Kind) int {
	if a == nil || a.cfg.MaxDescriptors <= 0 {
		return 0
	}
	left := a.cfg.MaxDescriptors - ownDescriptors - a.cfg.MaxDescriptors/ownDivisor
	return max(left*descriptorShares[k]/descriptorParts, 1)
}

// ErrDescriptors reports that no descriptor is left for a connection.
var ErrDescriptors = errors.New("no descriptor is left for a connection")

// Dial opens a connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Gate bounds the connections that a Dial opens.
type Gate struct {
	dial  Dial
	limit int64
	open  atomic.Int64
	// makeRoom closes connections that are not in use.
	makeRoom func()
}

// NewGate returns a gate for connections to endpoints. makeRoom closes those that are not in use; it is called
// before a connection is refused with ErrDescriptors.
func (a *Account) NewGate(dial Dial, makeRoom func()) *Gate {
	return &Gate{dial: dial, limit: int64(a.connections(Endpoints)), makeRoom: makeRoom}
}

// Dial opens a connection if a descriptor is left for it.
func (g *Gate) Dial(ctx context.Context, address string) (net.Conn, error) {
	if g.limit == 0 {
		return g.dial(ctx, address)
	}
	if !g.reserve() {
		g.makeRoom()
		if !g.reserve() {
			return nil, ErrDescriptors
		}
	}
	c, err := g.dial(ctx, address)
	if err != nil {
		g.open.Add(-1)
		return nil, err
	}
	return &gatedConn{Conn: c, gate: g}, nil
}

func (g *Gate) reserve() bool {
	if g.open.Add(1) <= g.limit {
		return true
	}
	g.open.Add(-1)
	return false
}

// gatedConn is a connection that was opened through a gate.
type gatedConn struct {
	net.Conn
	gate   *Gate
	closed atomic.Bool
}

// SyscallConn implements syscall.Conn, by which a pool tells whether a connection is idle.
func (c *gatedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.New("the connection has no descriptor")
}

// SetLinger sets the behaviour of Close, as for net.TCPConn.
func (c *gatedConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.gate.open.Add(-1)
	}
	return err
}
