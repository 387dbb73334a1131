package objectapi

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAnswerBytes limits an answer. A list of the generic API is not paged.
	maxAnswerBytes = 64 * MaxValueBytes
	// maxErrorText limits the part of an error answer that is reported. Unit: bytes.
	maxErrorText = 200
)

// answer is the status and body of an answer that arrived whole.
type answer struct {
	status int
	body   []byte
}

// sentError reports a request that may have reached the platform.
type sentError struct{ cause error }

func (e *sentError) Error() string { return e.cause.Error() }
func (e *sentError) Unwrap() error { return e.cause }

// roundTrip sends one request and reads its answer whole. The error is a
// *sentError unless no byte of the request can have left the process.
func (c *Client) roundTrip(ctx context.Context, hc *http.Client, r Call, timeout time.Duration) (answer, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	hr, err := c.newRequest(callCtx, r)
	if err != nil {
		return answer{}, err
	}
	a, err := exchange(hc, hr)
	c.circuit.done(c.now(), classify(ctx, a, err))
	if err != nil && ctx.Err() == nil {
		// The failed connection may have silent siblings.
		hc.CloseIdleConnections()
	}
	return a, err
}

func classify(ctx context.Context, a answer, err error) result {
	switch {
	case err == nil && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests:
		return resultOK
	case err != nil && ctx.Err() != nil:
		return resultNone
	default:
		return resultFailed
	}
}

func (c *Client) newRequest(ctx context.Context, r Call) (*http.Request, error) {
	target := strings.TrimSuffix(c.cfg.BaseURL, "/") + r.Path
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	hr, err := http.NewRequestWithContext(ctx, r.Method, target, body(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http cannot rewind the body to send it again.
	hr.GetBody = nil
	hr.Header.Set(HeaderCaller, c.cfg.Caller)
	for name, values := range r.Header {
		hr.Header[name] = values
	}
	return hr, nil
}

func body(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(b)
}

func exchange(hc *http.Client, hr *http.Request) (answer, error) {
	resp, err := hc.Do(hr)
	if err != nil {
		return answer{}, sendFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, &sentError{cause: err}
	}
	if len(b) > maxAnswerBytes {
		return answer{}, &sentError{cause: errors.Newf("answer exceeds %d bytes", maxAnswerBytes)}
	}
	return answer{status: resp.StatusCode, body: b}, nil
}

// sendFailure wraps err as *sentError unless the connection could not be opened.
func sendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return &sentError{cause: err}
}

// statusError describes an answer with an unexpected status.
func statusError(a answer) error {
	text := strings.TrimSpace(string(a.body[:min(len(a.body), maxErrorText)]))
	return errors.Newf("platform answered with status %d: %s", a.status, text)
}
