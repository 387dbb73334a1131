package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEndpoint starts a server that runs script on each connection, numbered from 1.
func startEndpoint(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) (*Pool, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	pool := NewPool(Config{Address: l.Addr().String()})
	t.Cleanup(pool.Close)
	return pool, &conns
}

// read reads one request and returns its body.
func read(r *bufio.Reader) (*http.Request, string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(q.Body)
	return q, string(b), err
}

func request(method, target, body string) *Request {
	return &Request{Method: method, Target: target, Host: "h.example", Header: http.Header{"X-A": {"1"}}, Body: []byte(body)}
}

func exchange(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	x, err := p.Do(ctx, r, false)
	if err != nil {
		return "", err
	}
	defer x.Close()
	b, err := io.ReadAll(x.Body())
	return string(b), err
}

func TestConnectionReuse(t *testing.T) {
	cases := map[string]struct {
		answer string
		kept   bool
	}{
		"announced":                  {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok", true},
		"chunked":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"closing":                    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		"bytes after the answer":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", false},
		"shorter than the margin":    {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", true},
		"informational answer first": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pool, conns := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := read(r); err != nil {
						return
					}
					fmt.Fprint(conn, c.answer)
				}
			})
			for range 2 {
				got, err := exchange(t, pool, request("GET", "/x", ""))
				assert.NilError(t, err)
				assert.Equal(t, got, "ok")
				time.Sleep(5 * time.Millisecond) // Wait for late bytes.
			}
			want := int32(2)
			if c.kept {
				want = 1
			}
			assert.Equal(t, conns.Load(), want)
		})
	}
}

// TestUnsolicitedBytesOnIdleConnection guards against mistaking an unsolicited response, received
// while the connection was idle in the pool, for that of the next request.
func TestUnsolicitedBytesOnIdleConnection(t *testing.T) {
	pool, conns := startEndpoint(t, func(n int, conn net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := read(r); err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			if n == 1 {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX")
			}
		}
	})
	got, err := exchange(t, pool, request("GET", "/x", ""))
	assert.NilError(t, err)
	assert.Equal(t, got, "1")
	time.Sleep(60 * time.Millisecond)
	got, err = exchange(t, pool, request("GET", "/x", ""))
	assert.NilError(t, err)
	assert.Equal(t, got, "2")
	assert.Equal(t, conns.Load(), int32(2))
}

func TestTruncatedResponsesFail(t *testing.T) {
	cases := map[string]string{
		"length not reached": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"no last chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no response":        "",
		"no HTTP":            "\x00\x01\x02 what is this\r\n\r\n",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			pool, _ := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				_, _, _ = read(r)
				fmt.Fprint(conn, answer)
			})
			_, err := exchange(t, pool, request("GET", "/x", ""))
			assert.Assert(t, err != nil)
			var notSent *NotSentError
			assert.Assert(t, !errors.As(err, &notSent))
		})
	}
}

func TestResetWithoutLengthIsNotComplete(t *testing.T) {
	pool, _ := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		_, _, _ = read(r)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(10 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	_, err := exchange(t, pool, request("GET", "/x", ""))
	assert.Assert(t, err != nil)
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	var notSent *NotSentError
	_, err = exchange(t, NewPool(Config{Address: address}), request("POST", "/x", "b"))
	assert.Assert(t, errors.As(err, &notSent))

	pool, _ := startEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _, _ = read(r) })
	pool.cfg.MaxConns = 1
	pool.open = 1
	_, err = exchange(t, pool, request("POST", "/x", "b"))
	assert.Assert(t, errors.Is(err, ErrTooManyConns))
	assert.Assert(t, errors.As(err, &notSent))
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	pool, _ := startEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _, _ = read(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	why := errors.New("the client has gone")
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(20*time.Millisecond, func() { cancel(why) })
	_, err := pool.Do(ctx, request("GET", "/x", ""), false)
	assert.Assert(t, errors.Is(err, why))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the endpoint still sees the connection")
	}
}

// TestCancelResetsTheConnection guards against a frozen host that resumes and runs a
// buffered request whose client has gone.
func TestCancelResetsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	pool, _ := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _, _ = read(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"))
		_, err := r.ReadByte()
		ended <- err
	})
	for name, end := range map[string]func(context.CancelFunc, *Exchange){
		"the client goes":       func(cancel context.CancelFunc, _ *Exchange) { cancel() },
		"the answer is dropped": func(_ context.CancelFunc, x *Exchange) { x.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			x, err := pool.Do(ctx, request("GET", "/x", ""), true)
			assert.NilError(t, err)
			defer x.Close()
			end(cancel, x)
			select {
			case err := <-ended:
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
			case <-time.After(2 * time.Second):
				t.Fatal("the endpoint still sees the connection")
			}
		})
	}
}

// TestResponseBeforeRequestBody covers an endpoint that responds before it has read a
// long body and reads on: the connection must not carry another request.
func TestResponseBeforeRequestBody(t *testing.T) {
	pool, conns := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(200 * time.Millisecond)
	})
	long := request("POST", "/x", strings.Repeat("b", 8<<20))
	for range 2 {
		got, err := exchange(t, pool, long)
		assert.NilError(t, err)
		assert.Equal(t, got, "ok")
	}
	assert.Equal(t, conns.Load(), int32(2))
}

func TestRequestArrivesUnchanged(t *testing.T) {
	type seen struct {
		line, host, length, body string
		header                   http.Header
	}
	got := make(chan seen, 1)
	pool, _ := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		q, body, err := read(r)
		if err != nil {
			return
		}
		got <- seen{q.Method + " " + q.RequestURI, q.Host, q.Header.Get("Content-Length"), body, q.Header}
		fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	_, err := exchange(t, pool, request("POST", "/a%2Fb/../c?x=%20&y", "body"))
	assert.NilError(t, err)
	s := <-got
	assert.Equal(t, s.line, "POST /a%2Fb/../c?x=%20&y")
	assert.Equal(t, s.host, "h.example")
	assert.Equal(t, s.body, "body")
	assert.Equal(t, s.header.Get("X-A"), "1")
	assert.Equal(t, s.header.Get("User-Agent"), "")
}
