// Package oneshot sends HTTP requests at most once.
//
// The standard transport sends a request again on another connection if a
// reused connection fails before the first byte of the answer and either
// nothing was written, or the method is GET, HEAD, OPTIONS or TRACE, or the
// request has an Idempotency-Key or X-Idempotency-Key header. It does so only
// if the request has no body or its body can be rewound by GetBody. The
// standard client also sends a request again after a redirect. This package
// gives each request a body without GetBody, follows no redirect, speaks only
// HTTP/1, and reports whether a request can have been sent.
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
)

// idleTimeout closes idle connections before servers usually do, which keeps
// requests from failing on connections that are being closed.
const idleTimeout = 15 * time.Second

// Config sets up a Client.
type Config struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// MaxIdleConns bounds the idle connections that are kept. A negative value
	// keeps none, so that each request uses a fresh connection.
	MaxIdleConns int
	// MaxHeaderBytes bounds the header of an answer. Default 1 MiB.
	MaxHeaderBytes int64
}

// Client sends requests at most once. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// notSentError reports that no byte of a request has left.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.cause) }
func (e *notSentError) Unwrap() error { return e.cause }

// NotSent reports whether err is certain that no byte of the request has left.
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
		DialContext:            dialer.DialContext,
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

// Do sends the request once and returns the answer, redirects included.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	protect(r)
	response, err := c.transport.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, &notSentError{cause: err}
	}
	return nil, err
}

// protect gives the request a body that the transport cannot rewind. An empty
// body keeps a request from being treated as one without a body.
func protect(r *http.Request) {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = emptyBody{}
		r.ContentLength = 0
	}
}

// emptyBody is an empty body that the transport does not recognise as such.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
