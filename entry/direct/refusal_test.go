package direct

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusalNeedsNoBody guards against a promise not to run a request that is lost because the
// body of the refusal is cut off, late or too large: the client of a request that may run only
// once could not ask again.
func TestRefusalNeedsNoBody(t *testing.T) {
	head := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest: ID\r\n"
	for kind, route := range kinds {
		for name, answer := range map[string]string{
			"cut off":       head + "Content-Length: 10\r\n\r\nhalfCLOSE",
			"reset":         head + "Content-Length: 10\r\n\r\nhalfRESET",
			"late":          head + "Content-Length: 10\r\n\r\nhalf",
			"broken chunks": head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				refusing := func(int, *http.Request) string { return answer }
				a, b := newRawBackend(t, refusing), newRawBackend(t, refusing)
				e := newEntry(t, route)
				e.handler.SetEndpoints([]Endpoint{a.endpoint("a"), b.endpoint("b")})
				got := e.send(http.MethodPost)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
				assert.Equal(t, a.runs.Load()+b.runs.Load(), int64(2), "a refused request is tried elsewhere")
				assert.Assert(t, got.took < time.Second, "%v", got.took)
			})
		}
		t.Run(kind+", without end", func(t *testing.T) {
			refusing := func(_ int, w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Not-Run", "1")
				endless(503, true)(0, w, r)
			}
			e := newEntry(t, route, newBackend(t, "a", refusing), newBackend(t, "b", refusing))
			got := e.send(http.MethodPost)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
		})
	}
}

// TestRefusalKeepsConnection checks that a refusal with a short body does not cost a connection.
func TestRefusalKeepsConnection(t *testing.T) {
	a := newRawBackend(t, func(n int, _ *http.Request) string {
		if n%2 == 1 {
			return okHead + "Content-Length: 2\r\n\r\nok"
		}
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest: ID\r\nContent-Length: 4\r\n\r\nbusy"
	})
	e := newEntry(t, idempotent)
	e.handler.SetEndpoints([]Endpoint{a.endpoint("a")})
	for n := range 6 {
		assert.Equal(t, e.send(http.MethodGet).status, map[bool]int{true: 200, false: 503}[n%2 == 0])
	}
	assert.Equal(t, a.conns.Load(), int64(1))
}
