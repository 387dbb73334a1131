package oneshot

import (
	"context"
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("connection carries no more requests")

// sealedConn is a connection that knows what was written to it and can be
// sealed against later writes.
type sealedConn struct {
	net.Conn

	// mu is a leaf lock. It is not held during a write.
	mu      sync.Mutex
	written int64 // bytes taken by the operating system
	writing int   // writes in progress
	sealed  bool
}

// Write implements net.Conn.
func (c *sealedConn) Write(data []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.written += int64(n)
	return n, err
}

func (c *sealedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writing++
	return true
}

func (c *sealedConn) position() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal refuses all later writes and closes the connection if nothing was or is
// being written since the position. It reports whether that is so.
func (c *sealedConn) seal(position int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 || c.written != position {
		return false
	}
	c.sealed = true
	_ = c.Conn.Close() // The connection is unusable either way.
	return true
}

// dialSealed wraps the connections of a dialer.
func dialSealed(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &sealedConn{Conn: conn}, nil
	}
}
