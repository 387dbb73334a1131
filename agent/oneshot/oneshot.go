// Package oneshot sends HTTP requests at most once.
//
// The standard transport sends a request again on another connection if a
// reused connection fails before the first byte of the response and either
// nothing was written, or the method is GET, HEAD, OPTIONS or TRACE, or the
// request has an Idempotency-Key or X-Idempotency-Key header. It does so only
// if the request has no body or its body can be rewound by GetBody. The
// standard client also sends a request again after a redirect. This package
// gives each request a body without GetBody, follows no redirect, speaks only
// HTTP/1, and reports whether any byte of a failed request may have been sent: it
// counts the bytes written to a connection, and rejects later writes to it before
// it reports that there were none.
package oneshot

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/httpstatus"
)

// idleTimeout is shorter than the idle timeout of most servers, so that requests
// rarely fail on a connection that the server is closing.
const idleTimeout = 15 * time.Second

// Config configures a Client.
type Config struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// MaxIdleConns bounds the idle connections that are kept. A negative value
	// keeps none, so that each request uses a fresh connection.
	MaxIdleConns int
	// MaxHeaderBytes bounds the header of a response. Default as in net/http.
	MaxHeaderBytes int64
}

// Client sends requests at most once. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// notSentError reports that no byte of a request was sent.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.cause) }
func (e *notSentError) Unwrap() error { return e.cause }

// NotSent reports whether err guarantees that no byte of the request was sent.
func NotSent(err error) bool {
	var notSent *notSentError
	return errors.As(err, &notSent)
}

// New returns a client. It uses no proxy.
func New(c Config) *Client {
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Client{transport: &http.Transport{
		DialContext:            dialSealable(dialer),
		DisableCompression:     true,
		DisableKeepAlives:      c.MaxIdleConns < 0,
		MaxIdleConns:           max(c.MaxIdleConns, 0),
		MaxIdleConnsPerHost:    max(c.MaxIdleConns, 0),
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: c.MaxHeaderBytes,
		Protocols:              protocols,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// connUse is the connection that the transport chose for a request, with the number
// of bytes written to it before.
type connUse struct {
	conn    *sealableConn
	written int64
}

// Do sends the request once and returns the response, which may be a redirect.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[connUse]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn.(*sealableConn)
		used.Store(&connUse{conn: conn, written: conn.bytesWritten()})
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	preventRewind(r)
	response, err := c.transport.RoundTrip(r)
	if err == nil && !httpstatus.Valid(response.StatusCode) {
		_ = response.Body.Close()
		c.transport.CloseIdleConnections() // The connection may be among them.
		return nil, errors.Newf("answer has %03d, which is not a status", response.StatusCode)
	}
	if err == nil {
		return response, nil
	}
	if u := used.Load(); u != nil && !u.conn.sealIfUnused(u.written) {
		return nil, err
	}
	return nil, &notSentError{cause: err}
}

// preventRewind gives the request a body that the transport cannot rewind. A request
// without a body gets an empty one, since the transport may send it again otherwise.
func preventRewind(r *http.Request) {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = emptyBody{}
		r.ContentLength = 0
	}
}

// emptyBody is an empty body that, unlike http.NoBody, the transport does not
// recognise as empty.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
