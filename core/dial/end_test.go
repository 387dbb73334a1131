package dial

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endingConn is a connection whose reads return io.EOF. Its writes return err, once released or at the write deadline.
type endingConn struct {
	net.Conn
	started, released chan struct{}
	err               error
}

func (c *endingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endingConn) Write([]byte) (int, error) {
	close(c.started)
	<-c.released
	return 0, c.err
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	select {
	case <-c.released:
	default:
		close(c.released)
	}
	return nil
}

// TestEndOfBrokenConnectionIsNotItsClose guards against a reset that is reported to a concurrent write, so that the
// read after it looks like the peer's close. Either the write has returned when the read ends, or it is in progress.
func TestEndOfBrokenConnectionIsNotItsClose(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		broken bool
	}{
		"written":              {nil, false},
		"reset":                {syscall.ECONNRESET, true},
		"timed out":            {syscall.ETIMEDOUT, true},
		"closed by the caller": {net.ErrClosed, true},
		"reset after a close":  {syscall.EPIPE, false},
		"write still waits":    {os.ErrDeadlineExceeded, false},
	} {
		for _, inProgress := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				raw := &endingConn{started: make(chan struct{}), released: make(chan struct{})}
				if raw.err = c.err; c.err != nil {
					raw.err = &net.OpError{Op: "write", Err: c.err}
				}
				e := NewEndConn(raw)
				returned := make(chan struct{})
				go func() {
					defer close(returned)
					_, _ = e.Write(make([]byte, 1))
				}()
				<-raw.started
				if !inProgress {
					close(raw.released)
					<-returned
				}
				_, err := e.Read(make([]byte, 1))
				assert.Equal(t, errors.Is(err, ErrBroken), c.broken, "%v", err)
				assert.Equal(t, err == io.EOF, !c.broken, "%v", err)
				<-returned
			})
		}
	}
	_, err := NewEndConn(&endingConn{released: make(chan struct{})}).Read(nil)
	assert.Equal(t, err, io.EOF)
}
