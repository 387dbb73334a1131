// Package upstream sends requests to endpoints over HTTP/1.1 connections that
// it never uses behind the caller's back: a request is written once, to one
// connection, and the caller learns whether any byte of it may have left.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readBuffer = 4 << 10
	// syncBody is the largest body that is written before the answer is read. It
	// fits the socket buffers, so that the write does not wait for the endpoint. Unit: bytes.
	syncBody = 16 << 10
)

// NotSentError reports that no byte of a request has left.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Request is one request as it goes to an endpoint.
type Request struct {
	Method string
	// Target is the path and query as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// conn is one connection to an endpoint. It serves one exchange at a time.
type conn struct {
	net.Conn
	pool *Pool
	br   *bufio.Reader
	// idleSince and idleFor bound the use of a connection that waits in the pool.
	idleSince time.Time
	idleFor   time.Duration
	used      bool
	// writing is false once the whole request was handed to the socket.
	writing atomic.Bool
}

// Exchange is one request with its answer. Close must be called.
type Exchange struct {
	// Response is the answer's head. Its body must be read to the end before
	// the connection can be used again.
	Response *http.Response
	conn     *conn
	body     *trackedBody
	stop     func() bool
	closed   bool
}

// trackedBody tells whether a body was read to its end.
type trackedBody struct {
	io.Reader
	ended bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Body returns the answer's body. It ends with io.EOF only if it is complete.
func (x *Exchange) Body() io.Reader { return x.body }

// Close ends the exchange. The connection is kept if the answer was read to its
// end and nothing else is known against it, and closed otherwise.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	intact := x.stop()
	if intact && x.reusable() {
		x.conn.pool.put(x.conn, keepAlive(x.Response.Header))
		return
	}
	if !x.body.ended {
		x.conn.reset()
	}
	x.conn.pool.discard(x.conn)
}

func (x *Exchange) reusable() bool {
	r := x.Response
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return x.body.ended && framed && !r.Close && !x.conn.writing.Load() && x.conn.br.Buffered() == 0
}

// keepAlive returns the announced idle timeout of a connection, or zero.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s >= 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// do writes r and reads the head of the answer. When ctx ends the connection is
// closed. The error is a *NotSentError if no byte left.
func (c *conn) do(ctx context.Context, r *Request) (*Exchange, error) {
	stop := context.AfterFunc(ctx, c.reset)
	if err := c.send(r); err != nil {
		stop()
		c.pool.discard(c)
		return nil, cause(ctx, err)
	}
	response, err := c.readHead(r)
	if err != nil {
		stop()
		c.pool.discard(c)
		return nil, cause(ctx, err)
	}
	body := &trackedBody{Reader: response.Body}
	return &Exchange{Response: response, conn: c, body: body, stop: stop}, nil
}

// reset closes the connection so that the endpoint drops what it has not read, and
// stops its work at once. Closing alone would leave a request that waits at a frozen
// host to be read when it wakes.
func (c *conn) reset() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // The connection is closed in any case.
	}
	_ = c.Conn.Close()
}

// cause returns the reason for which ctx ended, if it did, and err otherwise.
func cause(ctx context.Context, err error) error {
	var notSent *NotSentError
	if ctx.Err() != nil && !errors.As(err, &notSent) {
		return context.Cause(ctx)
	}
	return err
}

// send writes the request. A long body is written while the answer is awaited,
// because an endpoint may answer before it has read the body.
func (c *conn) send(r *Request) error {
	head := appendHead(make([]byte, 0, 1024+len(r.Body)%syncBody), r)
	if len(r.Body) <= syncBody {
		return c.write(append(head, r.Body...))
	}
	if err := c.write(head); err != nil {
		return err
	}
	c.writing.Store(true)
	go func() {
		if _, err := c.Write(r.Body); err == nil {
			c.writing.Store(false)
		}
	}()
	return nil
}

func (c *conn) write(b []byte) error {
	n, err := c.Write(b)
	if err != nil && n == 0 {
		return &NotSentError{Cause: err}
	}
	return err
}

func (c *conn) readHead(r *Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "answer cannot be read")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("endpoint switched protocols without being asked")
		}
	}
}

// appendHead appends the request line and header. Hop-by-hop fields must have
// been removed from the header.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
