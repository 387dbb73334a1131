package upstream

import (
	"bufio"
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBeforeWritePreventsRequest guards against a request that is written although it was withdrawn
// while its connection was opened or taken from the pool.
func TestBeforeWritePreventsRequest(t *testing.T) {
	arrived := make(chan string, 4)
	pool, _ := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			q, _, err := read(r)
			if err != nil {
				return
			}
			arrived <- q.RequestURI
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	withdrawn := errors.New("withdrawn")
	for _, c := range []struct {
		target string
		body   string
		err    error
	}{{"/new", "", withdrawn}, {"/first", "", nil}, {"/pooled", "", withdrawn}, {"/long", string(make([]byte, 2*maxSyncBodyBytes)), withdrawn}, {"/second", "", nil}} {
		q := request("POST", c.target, c.body)
		q.BeforeWrite = func() error { return c.err }
		body, err := exchange(t, pool, q)
		if c.err == nil {
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
			assert.Equal(t, <-arrived, c.target)
			continue
		}
		var notSent *NotSentError
		assert.Assert(t, errors.As(err, &notSent) && errors.Is(err, withdrawn), "%v", err)
	}
	assert.Equal(t, len(arrived), 0)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	assert.Equal(t, pool.open, len(pool.idle), "connections of withdrawn requests are not counted as open")
}
