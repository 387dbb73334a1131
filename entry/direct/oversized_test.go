package direct

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/entry/routes"
)

// endless answers with the status and a body that goes on until the caller closes. Without a
// length the body ends with its connection.
func endless(status int, chunked bool) script {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "yes")
		w.Header().Set("Request", r.Header.Get("Request"))
		if !chunked {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		w.WriteHeader(status)
		text := []byte(strings.Repeat("the endpoint is in trouble\n", 1000))
		for {
			if _, err := w.Write(text); err != nil {
				return
			}
		}
	}
}

// sized answers with the status and a body of n bytes.
func sized(status, n int) script {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "yes")
		w.Header().Set("Request", r.Header.Get("Request"))
		w.Header().Set("Content-Length", fmt.Sprint(n))
		w.WriteHeader(status)
		_, _ = w.Write([]byte(strings.Repeat("x", n)))
	}
}

var kinds = map[string]routes.Route{
	"stream":                 {Kind: routes.Streaming, MaxAttempts: 2},
	"resumable stream":       {Kind: routes.Streaming, MaxAttempts: 2, Resumable: true},
	"idempotent request":     {Kind: routes.Idempotent, MaxAttempts: 2},
	"non-idempotent request": {Kind: routes.NonIdempotent, MaxAttempts: 2},
}

// TestAnswerBeyondLimitIsNotCut guards against an answer that is cut to the size limit and passed on
// with a new length, so that the client takes a part of it for the whole.
func TestAnswerBeyondLimitIsNotCut(t *testing.T) {
	for kind, route := range kinds {
		for name, answer := range map[string]script{
			"500 without end":                endless(500, true),
			"500 without length and end":     endless(500, false),
			"503 without promise or end":     endless(503, true),
			"404 without end":                endless(404, true),
			"500 of a byte more than fits":   sized(500, maxBufferedBytes+1),
			"500 of many times what fits":    sized(500, 8*maxBufferedBytes),
			"404 of a byte more than fits":   sized(404, maxBufferedBytes+1),
			"200 without end":                endless(200, true),
			"200 without length and end":     endless(200, false),
			"200 of a byte more than fits":   sized(200, maxBufferedBytes+1),
			"200 of many times what fits":    sized(200, 8*maxBufferedBytes),
			"201 that is no stream, endless": endless(201, true),
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				e := newEntry(t, route, newBackend(t, "a", answer), newBackend(t, "b", answer))
				got := e.send(http.MethodPost)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.header.Get("Signed"), "")
				assert.Assert(t, len(got.body) < 1000, "%d bytes", len(got.body))
				assert.Assert(t, got.took < 2*time.Second, "%v", got.took)
			})
		}
	}
}

// TestLargestAnswerIsPassedOn checks that the size limit spares an answer that just fits.
func TestLargestAnswerIsPassedOn(t *testing.T) {
	for kind, route := range kinds {
		for _, status := range []int{200, 404, 500} {
			if route.Kind == routes.Streaming && status == 200 {
				continue // Passed on event by event.
			}
			t.Run(fmt.Sprint(kind, ", ", status), func(t *testing.T) {
				answer := sized(status, maxBufferedBytes)
				e := newEntry(t, route, newBackend(t, "a", answer), newBackend(t, "b", answer))
				got := e.send(http.MethodPost)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, status)
				assert.Equal(t, len(got.body), maxBufferedBytes)
				assert.Equal(t, got.header.Get("Signed"), "yes")
			})
		}
	}
}

// TestAnswerBeyondLimitIsTriedElsewhere checks that an answer that is too large is a failed attempt:
// what may be repeated is repeated, and nothing else.
func TestAnswerBeyondLimitIsTriedElsewhere(t *testing.T) {
	for kind, route := range kinds {
		for _, status := range []int{200, 500} {
			if route.Kind == routes.Streaming && status == 200 {
				continue
			}
			t.Run(fmt.Sprint(kind, ", ", status), func(t *testing.T) {
				sound := respondOK("ok")
				if route.Kind == routes.Streaming {
					sound = events(3, 0, 0)
				}
				a, b := newBackend(t, "a", endless(status, true)), newBackend(t, "b", sound)
				e := newEntry(t, route, a, b)
				e.handler.Service("s").MarkUnreachable("b") // Makes a the first choice.
				got := e.send(http.MethodPost)
				assert.NilError(t, got.err)
				assert.Equal(t, len(a.requests()), 1)
				if route.Retryable() {
					assert.Equal(t, got.status, 200, got.body)
					assert.Equal(t, len(b.requests()), 1)
				} else {
					assert.Equal(t, got.status, 502, got.body)
					assert.Equal(t, len(b.requests()), 0)
				}
			})
		}
	}
}
