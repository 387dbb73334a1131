// Package upstream is an HTTP/1.1 client for endpoints that never retries by itself:
// a request is written once, to one connection, and the error says whether any byte
// of it may have been sent.
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

	"github.com/siskinford/siskinford/core/dial"
	"github.com/siskinford/siskinford/core/httpstatus"
)

const (
	readBufferBytes = 4 << 10
	// maxSyncBodyBytes is the largest body that is written before the response is read.
	// It fits the socket buffers, so that the write does not wait for the endpoint.
	maxSyncBodyBytes = 16 << 10
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
)

// errHeadTooLarge reports a response whose head exceeds maxHeadBytes.
var errHeadTooLarge = errors.Newf("head of the answer exceeds %d bytes", maxHeadBytes)

// headLimiter is a reader that bounds the bytes of a response's head.
type headLimiter struct {
	io.Reader
	// left is the number of bytes that may still be read while limited is true.
	left    int
	limited bool
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// NotSentError reports that no byte of a request was sent.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query as sent by the client.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeWrite is called once a connection is available, immediately before the first byte is
	// written. An error prevents the write. It may be nil.
	BeforeWrite func() error
}

// conn is a connection to an endpoint. It serves one exchange at a time.
type conn struct {
	net.Conn
	pool *Pool
	// data carries all reads and writes of Conn.
	data *dial.EndConn
	br   *bufio.Reader
	// head is the source of br.
	head *headLimiter
	// idleSince and idleTimeout bound the use of a pooled connection.
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool
	// writing is true from the start of a long body until the socket accepted all of it.
	writing atomic.Bool
}

// Exchange is a request with its response. Close must be called.
type Exchange struct {
	// Response is the response head. Its body must be read to the end before the
	// connection can be reused.
	Response *http.Response
	request  *Request
	conn     *conn
	body     *trackedBody
	stop     func() bool
	closed   bool
}

// trackedBody records whether a body was read to its end. An error is returned again by later reads: the connection
// would return io.EOF.
type trackedBody struct {
	io.Reader
	ended bool
	err   error
}

func (b *trackedBody) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	n, b.err = b.Reader.Read(p)
	b.ended = b.err == io.EOF
	return n, b.err
}

// Body returns the response body. It ends with io.EOF only if it is complete.
func (x *Exchange) Body() io.Reader { return x.body }

// HasBody reports whether the response may have a body. Some responses state a length without one.
func (x *Exchange) HasBody() bool {
	s := x.Response.StatusCode
	return x.request.Method != http.MethodHead && s != http.StatusNoContent && s != http.StatusNotModified
}

// Drain reads the rest of a body that nobody wants, so that the connection can be reused. It gives
// up after limit bytes or the timeout.
func (x *Exchange) Drain(limit int64, timeout time.Duration) {
	if x.Response.ContentLength > limit {
		return
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return // The connection is closed.
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(x.body, limit)) // Close discards a connection with an unread body.
	if err := x.conn.SetReadDeadline(time.Time{}); err != nil {
		x.body.ended = false
	}
}

// Reused reports whether the connection served other exchanges before.
func (x *Exchange) Reused() bool { return x.conn.used }

// Next discards the response and reads the next one on the connection. The body of a response
// that does not belong to the request may have up to limit bytes.
func (x *Exchange) Next(limit int64) error {
	if n, err := io.Copy(io.Discard, io.LimitReader(x.body, limit)); err != nil || n == limit || !x.body.ended {
		return errors.Newf("the body of a foreign answer has no end within %d bytes: %v", n, err)
	}
	if framed := x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0; !framed || x.Response.Close {
		return errors.New("the connection ends with a foreign answer")
	}
	response, err := x.conn.readHead(x.request)
	if err != nil {
		return err
	}
	x.Response, x.body = response, &trackedBody{Reader: response.Body}
	return nil
}

// Close ends the exchange. It returns the connection to the pool if the response was
// read to its end and the connection is reusable, and closes it otherwise.
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

// keepAlive returns the idle timeout announced in the Keep-Alive header, or zero.
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

// do writes r and reads the response head. It closes the connection when ctx ends.
// The error is a *NotSentError if no byte was sent.
func (c *conn) do(ctx context.Context, r *Request) (*Exchange, error) {
	if r.BeforeWrite != nil {
		if err := r.BeforeWrite(); err != nil {
			c.pool.discard(c)
			return nil, &NotSentError{Cause: err}
		}
	}
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
	return &Exchange{Response: response, request: r, conn: c, body: body, stop: stop}, nil
}

// reset closes the connection with a TCP RST, so that the endpoint drops unread data
// and stops its work at once. After a normal close, a frozen host would still read
// the buffered request when it resumes.
func (c *conn) reset() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // The connection is closed in any case.
	}
	_ = c.Conn.Close()
}

// cause returns the cause of ctx's end, or err if ctx has not ended or nothing was sent.
func cause(ctx context.Context, err error) error {
	var notSent *NotSentError
	if ctx.Err() != nil && !errors.As(err, &notSent) {
		return context.Cause(ctx)
	}
	return err
}

// send writes the request. It writes a long body in the background, because an
// endpoint may respond before it has read the body.
func (c *conn) send(r *Request) error {
	head := appendHead(make([]byte, 0, 1024+len(r.Body)%maxSyncBodyBytes), r)
	if len(r.Body) <= maxSyncBodyBytes {
		return c.write(append(head, r.Body...))
	}
	if err := c.write(head); err != nil {
		return err
	}
	c.writing.Store(true)
	go func() {
		if _, err := c.data.Write(r.Body); err == nil {
			c.writing.Store(false)
		}
	}()
	return nil
}

func (c *conn) write(b []byte) error {
	n, err := c.data.Write(b)
	if err != nil && n == 0 {
		return &NotSentError{Cause: err}
	}
	return err
}

func (c *conn) readHead(r *Request) (*http.Response, error) {
	c.head.limited, c.head.left = true, maxHeadBytes
	defer func() { c.head.limited = false }()
	for {
		response, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil && c.head.left <= 0 {
			return nil, errHeadTooLarge // The error of a head that was cut may be another one.
		}
		if err != nil {
			return nil, errors.Wrap(err, "answer cannot be read")
		}
		if !httpstatus.Valid(response.StatusCode) {
			return nil, errors.Newf("answer has %03d, which is not a status", response.StatusCode)
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
