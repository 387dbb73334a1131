package oneshot

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/siskinford/siskinford/core/dial"
)

var errSealed = errors.New("connection carries no more requests")

// sealableConn counts the bytes written to a connection and can reject later writes.
type sealableConn struct {
	net.Conn

	// mu is a leaf lock. It is not held during a write.
	mu      sync.Mutex
	written int64 // bytes accepted by the operating system
	writing int   // writes in progress
	sealed  bool
}

// Write implements net.Conn.
func (c *sealableConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.written += int64(n)
	return n, err
}

func (c *sealableConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writing++
	return true
}

func (c *sealableConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfUnused rejects all later writes and closes the connection if no write has
// begun since the given number of bytes was written. It reports whether it did so.
func (c *sealableConn) sealIfUnused(written int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 || c.written != written {
		return false
	}
	c.sealed = true
	_ = c.Conn.Close() // The connection cannot be used any more even if Close fails.
	return true
}

// dialSealable returns a dial function that wraps the dialer's connections.
func dialSealable(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &sealableConn{Conn: dial.NewEndConn(conn)}, nil
	}
}
