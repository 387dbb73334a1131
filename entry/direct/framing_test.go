package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// rawBackend is an endpoint that answers with bytes. ID stands for the request's ID in an answer.
// After an answer that ends with CLOSE it closes the connection, after one that ends with RESET
// it resets it.
type rawBackend struct {
	listener net.Listener
	runs     atomic.Int64
	conns    atomic.Int64
}

func newRawBackend(t *testing.T, answers func(n int, r *http.Request) string) *rawBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &rawBackend{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.conns.Add(1)
			go b.serve(c, answers)
		}
	}()
	return b
}

func (b *rawBackend) serve(c net.Conn, answers func(n int, r *http.Request) string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r.RemoteAddr = c.RemoteAddr().String()
		_, _ = io.Copy(io.Discard, r.Body)
		answer := strings.ReplaceAll(answers(int(b.runs.Add(1)), r), "ID", r.Header.Get("Request"))
		answer, closes := strings.CutSuffix(answer, "CLOSE")
		answer, resets := strings.CutSuffix(answer, "RESET")
		_, _ = io.WriteString(c, answer)
		if resets {
			time.Sleep(20 * time.Millisecond) // The bytes arrive before the reset.
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if closes || resets {
			return
		}
	}
}

func (b *rawBackend) endpoint(name string) Endpoint {
	return Endpoint{Name: id.Endpoint(name), Service: "s", Address: b.listener.Addr().String(), Slots: 4}
}

const (
	okHead       = "HTTP/1.1 200 OK\r\nSigned: yes\r\nRequest: ID\r\n"
	streamHead   = okHead + "Content-Type: text/event-stream\r\n"
	emptyRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nPause: 60000\r\nContent-Length: 0\r\n\r\n"
)

// TestActionsHaveConnectionsOfTheirOwn guards against an earlier refusal that is taken for that of
// a request which must not run twice: on a new connection there is no earlier answer.
func TestActionsHaveConnectionsOfTheirOwn(t *testing.T) {
	a := newRawBackend(t, func(int, *http.Request) string { return okHead + "Content-Length: 2\r\n\r\nok" })
	e := newEntry(t, routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 2})
	e.handler.SetEndpoints([]Endpoint{a.endpoint("a")})
	for range 3 {
		assert.Equal(t, e.send(http.MethodPost).status, 200)
	}
	assert.Equal(t, a.conns.Load(), int64(3))
}

// TestEarlierRefusalIsNotBelieved guards against a faulty endpoint that writes an earlier refusal
// once more on a kept connection, before the answer of the request that it runs: the client is
// told that the request has not run, or the request runs at a second endpoint.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	for name, refusal := range map[string]string{
		"names another request": strings.Replace(emptyRefusal, "\r\n", "\r\nRequest: earlier\r\n", 1),
		"names no request":      emptyRefusal,
	} {
		for kind, route := range map[string]routes.Route{
			"stream":             {Kind: routes.Streaming, MaxAttempts: 2},
			"resumable stream":   {Kind: routes.Streaming, MaxAttempts: 2, Resumable: true},
			"idempotent request": {Kind: routes.Idempotent, MaxAttempts: 2},
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				answer := func(n int, _ *http.Request) string {
					body := okHead + "Content-Length: 2\r\n\r\nok"
					if route.Kind == routes.Streaming {
						body = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", streamHead, len(wantEvents(1, 1)), wantEvents(1, 1))
					}
					if n == 2 {
						return refusal + body
					}
					return body
				}
				a := newRawBackend(t, answer)
				b := newRawBackend(t, answer)
				e := newEntry(t, route)
				e.handler.SetEndpoints([]Endpoint{a.endpoint("a")})
				assert.Equal(t, e.send(http.MethodPost, "Request: first").status, 200)
				e.handler.SetEndpoints([]Endpoint{a.endpoint("a"), b.endpoint("b")})
				e.handler.Service("s").MarkUnreachable("b")
				second := e.send(http.MethodPost, "Request: second")
				assert.Equal(t, second.status, 200, "%v", second)
				assert.Equal(t, a.runs.Load()+b.runs.Load(), int64(2), "the request ran twice")
				// The pause that the earlier refusal asked for is not in force.
				assert.Equal(t, e.send(http.MethodPost, "Request: third").status, 200)
				assert.Equal(t, b.runs.Load(), int64(0))
			})
		}
	}
}

// TestRefusalOfEarlierTryIsNotBelieved guards against a faulty endpoint that writes its refusal of a
// request once more when the same request comes again on the same connection, and then runs it: the
// second refusal is taken for the answer, and the request runs twice.
func TestRefusalOfEarlierTryIsNotBelieved(t *testing.T) {
	for kind, route := range kinds {
		if route.Retryable() {
			continue // May run more than once.
		}
		t.Run(kind, func(t *testing.T) {
			refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nAt-Fault: z\r\nRequest: ID\r\nContent-Length: 0\r\n\r\n"
			answer := okHead + "Content-Length: 2\r\n\r\nok"
			if route.Kind == routes.Streaming {
				answer = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", streamHead, len(wantEvents(1, 1)), wantEvents(1, 1))
			}
			var runs atomic.Int64
			// Requests are told apart by their connection, as this fault needs the same one.
			refused := make(map[string]bool)
			var mu sync.Mutex
			a := newRawBackend(t, func(n int, r *http.Request) string {
				mu.Lock()
				defer mu.Unlock()
				again := refused[r.RemoteAddr]
				if n == 2 {
					refused[r.RemoteAddr] = true
					return refusal
				}
				if n > 2 {
					runs.Add(1)
				}
				if again {
					return refusal + answer
				}
				return answer
			})
			e := newEntry(t, route)
			e.handler.SetEndpoints([]Endpoint{a.endpoint("a")})
			assert.Equal(t, e.send(http.MethodPost, "Request: first").status, 200) // Leaves a connection to be used again.
			got := e.send(http.MethodPost, "Request: second")
			assert.Equal(t, got.status, 200, "%v", got)
			assert.Equal(t, runs.Load(), int64(1))
		})
	}
}

// TestBegunStreamHoldsNoForeignBytes guards against streams that break off and in which clients
// then find the answer of the next endpoint, or which end as if they were complete.
func TestBegunStreamHoldsNoForeignBytes(t *testing.T) {
	broken := streamHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(wantEvents(1, 2)), wantEvents(1, 2)) + "CLOSE"
	for name, second := range map[string]string{
		"refusal":                   "HTTP/1.1 503 Service Unavailable\r\nRequest: ID\r\nNot-Run: 1\r\nContent-Length: 7\r\n\r\nrefused",
		"refusal without a body":    emptyRefusal,
		"not found":                 "HTTP/1.1 404 Not Found\r\nRequest: ID\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nnot found",
		"failure with events":       "HTTP/1.1 500 Internal Server Error\r\nRequest: ID\r\nSigned: yes\r\nContent-Length: 18\r\n\r\nid: 3\ndata: boom\n\n",
		"failure that breaks off":   "HTTP/1.1 500 Internal Server Error\r\nRequest: ID\r\nSigned: yes\r\nContent-Length: 18\r\n\r\nid: 3CLOSE",
		"head that breaks off":      "HTTP/1.1 200 OK\r\nSigned: yes\r\nConteCLOSE",
		"head in the status line":   "HTTP/1.1 20CLOSE",
		"answer that is no stream":  okHead + "Content-Type: text/html\r\nContent-Length: 16\r\n\r\n<p>an error</p>\n",
		"paragraphs, no stream":     okHead + "Content-Type: text/plain\r\nContent-Length: 17\r\n\r\nerror\n\ntry again\n\n",
		"event-like, no stream":     okHead + "Content-Type: application/json\r\nContent-Length: 15\r\n\r\nid: 3\ndata: x\n\n",
		"event that breaks off":     streamHead + "\r\nid: 3\ndata: thCLOSE",
		"empty stream of no length": "HTTP/1.1 200 OK\r\n\r\nCLOSE",
	} {
		t.Run(name, func(t *testing.T) {
			a := newRawBackend(t, func(int, *http.Request) string { return broken })
			b := newRawBackend(t, func(int, *http.Request) string { return second })
			e := newEntry(t, stream)
			e.handler.SetEndpoints([]Endpoint{a.endpoint("a"), b.endpoint("b")})
			e.handler.Service("s").MarkUnreachable("b")
			got := e.send(http.MethodPost)
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, wantEvents(1, 2))
			assert.Assert(t, got.err != nil, "the stream ended as if it were complete")
			assert.Equal(t, b.runs.Load(), int64(1))
		})
	}
}

// TestHeadThatBreaksOffIsNoAnswer guards against a success with an empty or short body, framed as
// whole, after an endpoint stopped in the middle of its answer's head.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"in the status line":  "HTTP/1.1 200",
		"after the status":    "HTTP/1.1 200 OK\r\n",
		"in a field":          okHead + "Content-Le",
		"in a length":         okHead + "Content-Length: 1",
		"after the fields":    okHead + "Content-Length: 2\r\n",
		"before the last end": okHead + "Content-Length: 2\r\n\r",
		"in the body":         okHead + "Content-Length: 9\r\n\r\nshort",
		"in a chunk":          okHead + "Transfer-Encoding: chunked\r\n\r\n9\r\nshort",
		"before the end":      okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		for _, ending := range []string{"CLOSE", "RESET"} {
			for kind, route := range map[string]routes.Route{"stream": stream, "request": {Kind: routes.Idempotent, MaxAttempts: 2}} {
				t.Run(name+", "+ending+", "+kind, func(t *testing.T) {
					a := newRawBackend(t, func(int, *http.Request) string { return answer + ending })
					e := newEntry(t, route)
					e.handler.SetEndpoints([]Endpoint{a.endpoint("a")})
					got := e.send(http.MethodPost)
					assert.Assert(t, got.status != 200 || got.err != nil, "%v", got)
				})
			}
		}
	}
}

// TestAnswerWithoutLength checks answers that end with their connection: they are whole if it was
// closed, and broken off if it was reset or ended inside an event.
func TestAnswerWithoutLength(t *testing.T) {
	request := routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1}
	once := routes.Route{Kind: routes.Streaming, MaxAttempts: 1}
	cases := map[string]struct {
		route  routes.Route
		answer string
		want   string
		broken bool
	}{
		"request, closed":          {request, okHead + "\r\nbodyCLOSE", "body", false},
		"request, reset":           {request, okHead + "\r\nbodyRESET", "", true},
		"stream, closed":           {once, streamHead + "\r\n" + wantEvents(1, 3) + "CLOSE", wantEvents(1, 3), false},
		"stream, reset":            {once, streamHead + "\r\n" + wantEvents(1, 3) + "RESET", wantEvents(1, 3), true},
		"stream, closed in event":  {once, streamHead + "\r\n" + wantEvents(1, 3) + "id: 4\ndata: xCLOSE", wantEvents(1, 3), true},
		"stream, closed in field":  {once, streamHead + "\r\n" + wantEvents(1, 3) + "id: 4\ndaCLOSE", wantEvents(1, 3), true},
		"stream, no blank line":    {once, streamHead + "\r\n" + wantEvents(1, 3) + "id: 4\ndata: x\nCLOSE", wantEvents(1, 3), true},
		"stream, half a blank one": {once, streamHead + "\r\n" + wantEvents(1, 3) + "id: 4\ndata: x\n\rCLOSE", wantEvents(1, 3), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := newRawBackend(t, func(int, *http.Request) string { return c.answer })
			e := newEntry(t, c.route)
			e.handler.SetEndpoints([]Endpoint{a.endpoint("a")})
			got := e.send(http.MethodPost)
			if c.broken {
				assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%v", got)
			} else {
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, 200)
			}
			if c.route.Kind == routes.Streaming || !c.broken {
				assert.Equal(t, got.body, c.want)
			}
		})
	}
}
