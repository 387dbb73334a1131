package dial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrBroken reports that a connection broke instead of being closed by its peer.
var ErrBroken = errors.New("connection broke while it was written to")

// EndConn is a connection whose Read returns io.EOF only if the peer closed it after its last byte. The operating system
// reports a reset once, to a read or to a write. If a concurrent write got the report, the next read would return io.EOF
// as after a close.
type EndConn struct {
	net.Conn

	mu sync.Mutex // held during a write
	// broken is the error of a write that got the report of a broken connection.
	broken error
}

// NewEndConn returns a connection that uses c. All reads and writes must go through it.
func NewEndConn(c net.Conn) *EndConn { return &EndConn{Conn: c} }

// DialEndConn connects with the dialer of c. It serves as the DialContext of an http.Transport.
func (c Config) DialEndConn(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.Dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewEndConn(conn), nil
}

// Write implements net.Conn.
func (c *EndConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	// EPIPE reports a reset that came after the peer's close, or one that a read has reported.
	if err != nil && c.broken == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE) {
		c.broken = err
	}
	return n, err
}

// Read implements net.Conn. At the peer's close it ends a write that is in progress, to learn its error.
func (c *EndConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	if err := c.Conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return n, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return n, fmt.Errorf("%w: %w", ErrBroken, c.broken)
	}
	return n, io.EOF
}
