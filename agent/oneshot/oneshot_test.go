package oneshot_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/agent/oneshot"
)

// neverCut makes a cutServer answer all requests, which are counted from 1.
const neverCut = 0

// cutServer closes its first connection at request cutAt, by calling cut, and answers
// all other requests. It counts the requests that reached it, complete or in part.
type cutServer struct {
	listener net.Listener
	cutAt    int // number of a request on the first connection
	cut      func(conn net.Conn, reader *bufio.Reader)
	seen     atomic.Int64
	conns    sync.WaitGroup
}

func startCutServer(t *testing.T, cutAt int, cut func(net.Conn, *bufio.Reader)) *cutServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &cutServer{listener: listener, cutAt: cutAt, cut: cut}
	s.conns.Go(s.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		s.conns.Wait()
	})
	return s
}

func (s *cutServer) accept() {
	for first := true; ; first = false {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Go(func() { s.serve(conn, first) })
	}
}

// serve answers all requests but number cutAt of the first connection.
func (s *cutServer) serve(conn net.Conn, first bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		s.seen.Add(1)
		if first && n == s.cutAt {
			s.cut(conn, reader)
			return
		}
		if readRequest(reader) != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func readRequest(reader *bufio.Reader) error {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err
}

func cutAfterRead(conn net.Conn, reader *bufio.Reader) {
	_ = readRequest(reader)
}

func cutAtFirstByte(net.Conn, *bufio.Reader) {}

func resetAfterRead(conn net.Conn, reader *bufio.Reader) {
	_ = readRequest(reader)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// sendTwice sends a request twice over a kept-alive connection. It returns the number
// of requests that the server received and the error of the second one.
func sendTwice(t *testing.T, s *cutServer, send func(*http.Request) (*http.Response, error), build func(url string) *http.Request) (int64, error) {
	t.Helper()
	url := "http://" + s.listener.Addr().String() + "/tags"
	response, err := send(build(url))
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	response, err = send(build(url))
	if err == nil {
		assert.NilError(t, response.Body.Close())
	}
	return s.seen.Load(), err
}

func TestNeverReplays(t *testing.T) {
	cuts := map[string]func(net.Conn, *bufio.Reader){
		"closed after the request was read": cutAfterRead,
		"closed at the first byte":          cutAtFirstByte,
		"reset after the request was read":  resetAfterRead,
	}
	requests := []struct {
		name, method, header, body string
	}{
		{"get", http.MethodGet, "", ""},
		{"post with key", http.MethodPost, "Idempotency-Key", "tag"},
		{"post with key and no body", http.MethodPost, "Idempotency-Key", ""},
		{"post with other key", http.MethodPost, "X-Idempotency-Key", "tag"},
		{"delete with key", http.MethodDelete, "Idempotency-Key", ""},
	}
	for cutName, cut := range cuts {
		for _, r := range requests {
			t.Run(cutName+"/"+r.name, func(t *testing.T) {
				build := func(url string) *http.Request {
					request, err := http.NewRequest(r.method, url, strings.NewReader(r.body))
					assert.NilError(t, err)
					if r.header != "" {
						request.Header.Set(r.header, "key-1")
					}
					return request
				}
				standard := &http.Transport{}
				defer standard.CloseIdleConnections()
				seen, err := sendTwice(t, startCutServer(t, 2, cut), standard.RoundTrip, build)
				assert.NilError(t, err)
				assert.Equal(t, seen, int64(3), "the standard transport must replay, or this test shows nothing")

				client := oneshot.New(oneshot.Config{DialTimeout: time.Second, MaxIdleConns: 4})
				defer client.Close()
				seen, err = sendTwice(t, startCutServer(t, 2, cut), client.Do, build)
				assert.Equal(t, seen, int64(2), "the request was replayed")
				assert.Assert(t, err != nil)
				assert.Assert(t, !oneshot.NotSent(err))
			})
		}
	}
}

func TestNotSent(t *testing.T) {
	client := oneshot.New(oneshot.Config{DialTimeout: time.Second, MaxIdleConns: 4})
	defer client.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := "http://" + listener.Addr().String()
	assert.NilError(t, listener.Close())
	request, err := http.NewRequest(http.MethodPost, refused, strings.NewReader("x"))
	assert.NilError(t, err)
	_, err = client.Do(request)
	assert.Assert(t, oneshot.NotSent(err), "a refused connection carries no byte: %v", err)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Do(request.WithContext(ctx))
	assert.Assert(t, oneshot.NotSent(err), "%v", err)
}

// TestNotSentOnReusedConnection checks that a request that fails between the choice
// of a connection and the first write is not sent afterwards.
func TestNotSentOnReusedConnection(t *testing.T) {
	const rounds = 200
	faults := map[string]func(conn net.Conn, cancel func()){
		"connection closed": func(conn net.Conn, _ func()) { _ = conn.Close() },
		"request cancelled": func(_ net.Conn, cancel func()) { cancel() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			server := startCutServer(t, neverCut, cutAfterRead)
			client := oneshot.New(oneshot.Config{DialTimeout: time.Second, MaxIdleConns: 4})
			notSent := int64(0)
			for range rounds {
				_, err := sendOnce(t, client, server, nil)
				assert.NilError(t, err)
				notSent += countNotSent(t, client, server, fault)
			}
			client.Close()
			_ = server.listener.Close()
			server.conns.Wait()
			sent := int64(rounds) + (rounds - notSent)
			assert.Assert(t, server.seen.Load() <= sent, "%d requests arrived, %d can have been sent", server.seen.Load(), sent)
			if name == "connection closed" {
				assert.Equal(t, notSent, int64(rounds))
			}
		})
	}
}

// sendOnce sends a request and calls gotConn with the chosen connection.
func sendOnce(t *testing.T, client *oneshot.Client, s *cutServer, gotConn func(net.Conn, func())) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if gotConn != nil {
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { gotConn(info.Conn, cancel) }}
		ctx = httptrace.WithClientTrace(ctx, trace)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.listener.Addr().String()+"/tags", strings.NewReader("x"))
	assert.NilError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	assert.Check(t, err == nil || ctx.Err() != nil)
	return response, response.Body.Close()
}

// countNotSent sends a request with a fault and returns 1 if it was reported as not sent.
func countNotSent(t *testing.T, client *oneshot.Client, s *cutServer, fault func(net.Conn, func())) int64 {
	t.Helper()
	_, err := sendOnce(t, client, s, fault)
	if oneshot.NotSent(err) {
		return 1
	}
	return 0
}

func TestFollowsNoRedirect(t *testing.T) {
	redirect := func(conn net.Conn, reader *bufio.Reader) {
		_ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n")
	}
	server := startCutServer(t, 2, redirect)
	client := oneshot.New(oneshot.Config{DialTimeout: time.Second, MaxIdleConns: 4})
	defer client.Close()
	seen, err := sendTwice(t, server, client.Do, func(url string) *http.Request {
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
		assert.NilError(t, err)
		return request
	})
	assert.NilError(t, err)
	assert.Equal(t, seen, int64(2))
}
