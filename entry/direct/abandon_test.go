package direct

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/entry/routes"
)

// TestClientThatLeavesIsNoFailure guards against an endpoint that is avoided because clients left
// while the bodies of its answers were read.
func TestClientThatLeavesIsNoFailure(t *testing.T) {
	for kind, route := range kinds {
		t.Run(kind, func(t *testing.T) {
			status := 200
			if route.Kind == routes.Streaming {
				status = 404
			}
			answering := make(chan struct{}, 100)
			slow := newRawBackend(t, func(int, *http.Request) string {
				answering <- struct{}{}
				return fmt.Sprintf("HTTP/1.1 %d S\r\nSigned: yes\r\nRequest: ID\r\nContent-Length: 10\r\n\r\nhalf", status)
			})
			e := newEntry(t, route)
			e.handler.SetEndpoints([]Endpoint{slow.endpoint("a"), slow.endpoint("b")})
			for range 8 {
				c, err := net.Dial("tcp", strings.TrimPrefix(e.server.URL, "http://"))
				assert.NilError(t, err)
				fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: h.example\r\nRequest: r\r\nKey: key-a\r\nContent-Length: 0\r\n\r\n")
				<-answering
				time.Sleep(20 * time.Millisecond)
				_ = c.Close()
			}
			assertNoFailure(t, e)
		})
	}
}

// assertNoFailure checks that no attempt counted against its endpoint, once all have ended.
func assertNoFailure(t *testing.T, e *entry) {
	t.Helper()
	s := e.handler.Service("s")
	for end := time.Now().Add(2 * time.Second); len(s.ownLoads()) > 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "requests have not ended")
	}
	assert.Equal(t, attempts(e, Failed), uint64(0))
	assert.Equal(t, attempts(e, Hung), uint64(0))
}

// attempts returns the number of attempts with the outcome.
func attempts(e *entry, o Outcome) uint64 {
	return e.handler.opt.Metrics.GetOrCreateCounter(fmt.Sprintf(`siskinford_attempts_total{outcome=%q,service="s"}`, o)).Get()
}
