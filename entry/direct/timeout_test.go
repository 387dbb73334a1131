package direct

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/entry/routes"
)

// TestTimedOutRequestIsAnswered guards against a request that reaches its route's timeout and whose
// connection is then closed without the answer that says whether it may have run.
func TestTimedOutRequestIsAnswered(t *testing.T) {
	slowHead := func(_ int, w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		text := "HTTP/1.1 200 OK\r\n"
		for ; r.Context().Err() == nil; text = "A: b\r\n" {
			if _, err := c.Write([]byte(text)); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	slowFailure := func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request", r.Header.Get("Request"))
		w.WriteHeader(500)
		for r.Context().Err() == nil {
			if _, err := w.Write([]byte("still ")); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for kind, route := range kinds {
		route.Timeout = 300 * time.Millisecond
		for name, answer := range map[string]script{"no answer": hang, "head a line at a time": slowHead, "failure that does not end": slowFailure} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				e := newEntry(t, route, newBackend(t, "a", answer))
				got := e.send(http.MethodPost)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
				assert.Assert(t, got.took < route.Timeout+500*time.Millisecond, "%v", got.took)
			})
		}
		t.Run(kind+", queued", func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, "a", hang)
			e := newEntry(t, route, a)
			one := a.endpoint("s")
			one.Slots = 1
			e.handler.SetEndpoints([]Endpoint{one})
			refused := 0
			for _, got := range e.sendTogether(12) {
				assert.NilError(t, got.err)
				if got.status == http.StatusServiceUnavailable {
					assert.Assert(t, got.header.Get("Retry-After") != "")
					refused++
				}
			}
			assert.Assert(t, refused > 0)
			assert.Equal(t, refused+len(a.requests()), 12)
		})
	}
}

// TestTimedOutStreamLeavesConnectionUsable guards against a write deadline that outlives its stream.
func TestTimedOutStreamLeavesConnectionUsable(t *testing.T) {
	route := routes.Route{Kind: routes.Streaming, Timeout: 200 * time.Millisecond}
	a := newBackend(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			hang(n, w, r)
			return
		}
		events(2, 0, 0)(n, w, r)
	})
	e := newEntry(t, route, a)
	client := &http.Client{Transport: &http.Transport{MaxIdleConns: 1}}
	for _, want := range []int{504, 200} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.server.URL+testPrefix+"x", nil)
		assert.NilError(t, err)
		r.Host = "h.example"
		r.Header.Set("Key", "key-a")
		resp, err := client.Do(r)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want)
		assert.NilError(t, resp.Body.Close())
		time.Sleep(finalAnswerTime)
	}
}

// openWithPartOfBody connects and sends the head and a part of the body of a request.
func (e *entry) openWithPartOfBody() net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(e.server.URL, "http://"))
	assert.NilError(e.t, err)
	e.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprint(c, "POST /r/x HTTP/1.1\r\nHost: h.example\r\nRequest: r\r\nKey: key-a\r\nContent-Length: 8\r\n\r\nhalf")
	assert.NilError(e.t, err)
	return c
}

// TestBodyThatDoesNotArriveIsAnswered guards against a client that stops sending its body and whose
// connection is closed without an answer when the time is over.
func TestBodyThatDoesNotArriveIsAnswered(t *testing.T) {
	for kind, route := range kinds {
		route.Timeout = 200 * time.Millisecond
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, "a", respondOK("ok"))
			e := newEntry(t, route, a)
			c := e.openWithPartOfBody()
			began := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
			assert.Assert(t, resp.Close)
			assert.Assert(t, time.Since(began) < route.Timeout+500*time.Millisecond, "%v", time.Since(began))
			assert.Equal(t, len(a.requests()), 0)
		})
	}
}

// wrappedWriter is a writer behind another one.
type wrappedWriter struct{ http.ResponseWriter }

func (w wrappedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestTooLargeBodyIsAnswered guards against a client that sends a body that is too large and gets its
// answer only after all of it, or none because the connection is reset.
func TestTooLargeBodyIsAnswered(t *testing.T) {
	e := newEntry(t, idempotent, newBackend(t, "a", respondOK("ok")))
	inner := e.server.Config.Handler
	e.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { inner.ServeHTTP(wrappedWriter{w}, r) })
	c, err := net.Dial("tcp", strings.TrimPrefix(e.server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /r/x HTTP/1.1\r\nHost: h.example\r\nRequest: r\r\nKey: key-a\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 2000))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = fmt.Fprint(c, strings.Repeat("x", 2000)) // A reset would show here or at the next call.
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Assert(t, resp.Close)
}

// slowLog is a log whose lines with a given event take a time.
type slowLog struct {
	event string
	delay time.Duration
}

func (l slowLog) Write(b []byte) (int, error) {
	if strings.Contains(string(b), l.event) {
		time.Sleep(l.delay)
	}
	return len(b), nil
}

// TestAnswerAfterDelayIsWritten guards against a stream without an event whose timeout is reached while the process
// has no processor time: the deadline of its writes passed before the answer, and the connection was closed without it.
func TestAnswerAfterDelayIsWritten(t *testing.T) {
	route := kinds["stream"]
	route.Timeout = 300 * time.Millisecond
	e := newEntry(t, route, newBackend(t, "a", hang))
	e.handler.requestLog.log = zerolog.New(slowLog{event: `"request.failed"`, delay: finalAnswerTime + 200*time.Millisecond})
	got := e.send(http.MethodPost)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout, got.body)
}
