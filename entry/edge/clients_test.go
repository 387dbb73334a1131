package edge

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestAnswerDuringDrainAnnouncesClose guards against clients that send their next request on a
// connection that is about to be closed, because the last answer on it did not say so.
func TestAnswerDuringDrainAnnouncesClose(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	c := newClientServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-proceed
		_, _ = w.Write([]byte("ok"))
	}), zerolog.Nop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = c.server.Serve(l) }()
	t.Cleanup(func() { _ = c.server.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	br := bufio.NewReader(conn)
	for _, drains := range []bool{false, true} {
		_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		<-arrived
		if drains {
			c.drain()
		}
		proceed <- struct{}{}
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.Close, drains)
		assert.Equal(t, resp.Header.Get("Keep-Alive") == "", drains)
		_, err = br.Discard(2)
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, c.server.Shutdown(ctx))
}
