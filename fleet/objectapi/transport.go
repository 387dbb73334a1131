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

	"github.com/siskinford/siskinford/core/httpstatus"
)

const (
	// maxResponseBytes bounds a response body. Lists of the generic API are not paged.
	maxResponseBytes = 64 * MaxValueBytes
	// maxErrorTextBytes bounds the part of a response body that an error message quotes.
	maxErrorTextBytes = 200
)

// response is the status and body of a completely received HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
	// era is the store's era at the time of the answer.
	era uint64
}

// possiblySentError reports a request that may have reached the platform.
type possiblySentError struct{ cause error }

func (e *possiblySentError) Error() string { return e.cause.Error() }
func (e *possiblySentError) Unwrap() error { return e.cause }

// roundTrip sends one request, reads the whole response and records the result in the
// circuit breaker. The error is a *possiblySentError unless no byte was sent.
func (c *Client) roundTrip(ctx context.Context, hc *http.Client, call Call, timeout time.Duration) (response, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	hr, err := c.newRequest(callCtx, call)
	if err != nil {
		return response{}, err
	}
	resp, err := doRequest(hc, hr)
	c.breaker.record(c.now(), classify(ctx, resp, err))
	if err != nil && ctx.Err() == nil {
		// Idle connections to the same address may be dead as well.
		hc.CloseIdleConnections()
	}
	if err == nil {
		resp.era, err = c.readEra(resp)
	}
	return resp, err
}

func classify(ctx context.Context, resp response, err error) callResult {
	switch {
	case err == nil && resp.status < http.StatusInternalServerError && resp.status != http.StatusTooManyRequests:
		return resultOK
	case err != nil && ctx.Err() != nil:
		return resultCanceled
	default:
		return resultFailed
	}
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	target := strings.TrimSuffix(c.cfg.BaseURL, "/") + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	hr, err := http.NewRequestWithContext(ctx, call.Method, target, bodyReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot rewind the body for a retry.
	hr.GetBody = nil
	hr.Header.Set(HeaderCaller, c.cfg.Caller)
	for name, values := range call.Header {
		hr.Header[name] = values
	}
	return hr, nil
}

func bodyReader(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(b)
}

func doRequest(hc *http.Client, hr *http.Request) (response, error) {
	httpResp, err := hc.Do(hr)
	if err != nil {
		return response{}, wrapSendError(err)
	}
	defer func() { _ = httpResp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, &possiblySentError{cause: err}
	}
	if !httpstatus.Valid(httpResp.StatusCode) {
		return response{}, &possiblySentError{cause: errors.Newf("platform response has %03d, which is not a status", httpResp.StatusCode)}
	}
	if len(b) > maxResponseBytes {
		return response{}, &possiblySentError{cause: errors.Newf("platform response exceeds %d bytes", maxResponseBytes)}
	}
	return response{status: httpResp.StatusCode, header: httpResp.Header, body: b}, nil
}

// wrapSendError wraps err in a *possiblySentError unless the connection failed to open.
func wrapSendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return &possiblySentError{cause: err}
}

// statusError reports a response with an unexpected status.
func statusError(resp response) error {
	text := strings.TrimSpace(string(resp.body[:min(len(resp.body), maxErrorTextBytes)]))
	return errors.Newf("platform responded with status %d: %s", resp.status, text)
}
