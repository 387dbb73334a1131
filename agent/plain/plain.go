// Package plain is the agent's reverse proxy for the plain HTTP service on its host.
package plain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/agent/oneshot"
	"github.com/siskinford/siskinford/wire/msg"
)

const (
	defaultDialTimeout    = time.Second
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxAnswerBytes = 64 << 20
	defaultMaxIdleConns   = 64
	copyBufferBytes       = 32 << 10
)

// Config configures a Client.
type Config struct {
	// URL is the service's base address, for instance http://127.0.0.1:8080.
	URL string
	// DialTimeout bounds the time to connect. Default 1 s.
	DialTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request and of a response. Default 64 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request. Default 4 MiB.
	MaxBodyBytes int
	// MaxAnswerBytes bounds the body of a response. Default 64 MiB.
	MaxAnswerBytes int64
	// MaxIdleConns bounds the idle connections that are kept. A negative value
	// uses a fresh connection for each request. Default 64.
	MaxIdleConns int
}

// NotStartedError reports that no byte of the request can have reached the service.
type NotStartedError struct{ Cause error }

func (e *NotStartedError) Error() string {
	return "request did not reach the service: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// LimitError reports that a part of a message exceeds its limit.
type LimitError struct {
	Part  string
	Limit int64
}

func (e *LimitError) Error() string { return fmt.Sprintf("%s exceeds %d bytes", e.Part, e.Limit) }

// Writer receives a response. Head is called once, before any Write. Both are called
// from the goroutine that called Do, and may block.
type Writer interface {
	Head(head msg.ResponseHead) error
	io.Writer
}

// Client forwards requests without retries. It is safe for concurrent use.
type Client struct {
	config Config
	base   *url.URL
	client *oneshot.Client
}

// New returns a client. It does not connect.
func New(c Config) (*Client, error) {
	base, err := url.Parse(c.URL)
	if err != nil {
		return nil, errors.Wrapf(err, "service URL %q", c.URL)
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, fmt.Errorf("service URL %q must have the form http://host:port", c.URL)
	}
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&c.MaxAnswerBytes, defaultMaxAnswerBytes)
	if c.MaxIdleConns == 0 {
		c.MaxIdleConns = defaultMaxIdleConns
	}
	client := oneshot.New(oneshot.Config{
		DialTimeout:    c.DialTimeout,
		MaxIdleConns:   c.MaxIdleConns,
		MaxHeaderBytes: int64(c.MaxHeaderBytes),
	})
	return &Client{config: c, base: base, client: client}, nil
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.Close() }

// Do sends the request once and streams the response to w. The error is a
// *NotStartedError only if no byte of the request can have been sent.
func (c *Client) Do(ctx context.Context, p *msg.HTTPRequest, w Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := c.newRequest(ctx, p)
	if err != nil {
		return &NotStartedError{Cause: err}
	}
	response, err := c.client.Do(request)
	if oneshot.NotSent(err) {
		return &NotStartedError{Cause: err}
	}
	if err != nil {
		return errors.Wrapf(err, "%s %s", p.Method, p.Path)
	}
	defer response.Body.Close()
	head := msg.ResponseHead{Status: response.StatusCode, Header: responseHeader(response.Header)}
	if err := w.Head(head); err != nil {
		return err
	}
	return c.copyBody(w, response.Body)
}

func (c *Client) newRequest(ctx context.Context, p *msg.HTTPRequest) (*http.Request, error) {
	if len(p.Body) > c.config.MaxBodyBytes {
		return nil, &LimitError{Part: "request body", Limit: int64(c.config.MaxBodyBytes)}
	}
	if headerBytes(p.Header) > c.config.MaxHeaderBytes {
		return nil, &LimitError{Part: "request header", Limit: int64(c.config.MaxHeaderBytes)}
	}
	if !strings.HasPrefix(p.Path, "/") {
		return nil, fmt.Errorf("path %q must start with a slash", p.Path)
	}
	target, err := url.ParseRequestURI(p.Path)
	if err != nil {
		return nil, errors.Wrapf(err, "path %q", p.Path)
	}
	target.Scheme = c.base.Scheme
	target.Host = c.base.Host
	request, err := http.NewRequestWithContext(ctx, p.Method, target.String(), bytes.NewReader(p.Body))
	if err != nil {
		return nil, err
	}
	request.Header = requestHeader(p.Header)
	return request, nil
}

func headerBytes(header []msg.Header) int {
	total := 0
	for _, field := range header {
		total += len(field.Name) + len(field.Value)
	}
	return total
}

// copyBody streams the body, and fails if it exceeds MaxAnswerBytes.
func (c *Client) copyBody(w io.Writer, body io.Reader) error {
	limited := &io.LimitedReader{R: body, N: c.config.MaxAnswerBytes + 1}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := limited.Read(buffer)
		if limited.N <= 0 {
			return &LimitError{Part: "answer body", Limit: c.config.MaxAnswerBytes}
		}
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "answer body")
		}
	}
}

// hopByHop lists the header fields that apply to one connection only. It includes
// Expect because the body is always sent at once.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

func requestHeader(fields []msg.Header) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header.Add(field.Name, field.Value)
	}
	removeHopByHop(header)
	header.Del("Host")
	header.Del("Content-Length")
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = nil
	}
	return header
}

func responseHeader(header http.Header) []msg.Header {
	removeHopByHop(header)
	var fields []msg.Header
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, msg.Header{Name: name, Value: value})
		}
	}
	return fields
}

// removeHopByHop removes the hop-by-hop fields, including those that the Connection
// field lists.
func removeHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for name := range header {
		if hopByHop[name] {
			header.Del(name)
		}
	}
}
