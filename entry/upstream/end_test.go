package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/dial"
)

// reportingConn reports the error of each write.
type reportingConn struct {
	net.Conn
	written chan error
}

func (c *reportingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written <- err
	return n, err
}

// TestResetDuringUploadIsNotComplete guards against an answer without a length that counts as whole because the write
// of the request's body, and not the read, got the report that the endpoint reset the connection. The answer is read on
// only after the write has ended.
func TestResetDuringUploadIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		// closes is true if the endpoint ends its answer, resets if it resets the connection then.
		closes, resets bool
	}{
		"reset":              {false, true},
		"reset after a FIN":  {true, true},
		"FIN, body not read": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			answered, end := make(chan struct{}), make(chan struct{})
			pool, _ := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
				if c.closes {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
				close(answered)
				if !c.resets {
					<-end
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			defer close(end)
			written := make(chan error, 2)
			connect := TCPDialer(netip.Addr{})
			pool.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := connect(ctx, address)
				return &reportingConn{conn, written}, err
			}
			x, err := pool.Do(t.Context(), request("POST", "/x", string(make([]byte, 16<<20))), true)
			assert.NilError(t, err)
			defer x.Close()
			<-answered
			if assert.NilError(t, <-written); c.resets {
				assert.Assert(t, <-written != nil)
			}
			body, err := io.ReadAll(x.Body())
			assert.Equal(t, string(body), "half")
			assert.Equal(t, errors.Is(err, dial.ErrBroken), !c.closes, "%v", err)
			_, again := x.Body().Read(make([]byte, 1))
			assert.Assert(t, again != nil && errors.Is(again, dial.ErrBroken) == !c.closes, "%v", again)
		})
	}
}
