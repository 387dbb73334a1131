package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/agent/oneshot"
	"github.com/siskinford/siskinford/core/id"
)

const (
	defaultCallTimeout      = 2 * time.Second
	defaultDialTimeout      = time.Second
	defaultMaxIdleConns     = 64
	defaultMaxLineBytes     = 64 << 10
	maxControlResponseBytes = 1 << 20
	finishCancelled         = "cancelled"
)

// ErrCancelled reports that the engine ended a completion because of a cancel.
var ErrCancelled = errors.New("engine cancelled the completion")

// ErrIncomplete reports that a stream ended before its last event.
var ErrIncomplete = errors.New("engine's stream ended before it was complete")

// StatusError reports an error status of the engine.
type StatusError struct {
	Status int
	Detail string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered status %d: %s", e.Status, e.Detail)
}

// Config configures a client.
type Config struct {
	// URL is the engine's base address, for instance http://127.0.0.1:8000.
	URL string
	// CallTimeout bounds calls other than completions. Default 2 s.
	CallTimeout time.Duration
	// DialTimeout bounds the time to connect. Default 1 s.
	DialTimeout time.Duration
	// MaxIdleConns bounds the idle connections that are kept. Default 64.
	MaxIdleConns int
	// MaxLineBytes bounds one line of a stream. Default 64 KiB.
	MaxLineBytes int
}

// Client is the HTTP client of an engine. It implements Engine.
type Client struct {
	base         string
	callTimeout  time.Duration
	maxLineBytes int
	client       *oneshot.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a client. It does not connect.
func NewClient(c Config) (*Client, error) {
	base, err := url.Parse(c.URL)
	if err != nil {
		return nil, errors.Wrapf(err, "engine URL %q", c.URL)
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, fmt.Errorf("engine URL %q must have the form http://host:port", c.URL)
	}
	return &Client{
		base:         strings.TrimSuffix(c.URL, "/"),
		callTimeout:  orDefault(c.CallTimeout, defaultCallTimeout),
		maxLineBytes: orDefault(c.MaxLineBytes, defaultMaxLineBytes),
		client: oneshot.New(oneshot.Config{
			DialTimeout:  orDefault(c.DialTimeout, defaultDialTimeout),
			MaxIdleConns: orDefault(c.MaxIdleConns, defaultMaxIdleConns),
		}),
	}, nil
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

// Close closes idle connections.
func (h *Client) Close() { h.client.Close() }

// Run implements Engine.
func (h *Client) Run(ctx context.Context, r Request, emit func(Token) error) (Usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := h.post(ctx, PathCompletions, CompletionRequest{
		Model:     r.Model,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Stream:    true,
		Attempt:   r.Attempt,
		Priority:  r.Priority,
		Epoch:     r.Epoch,
	})
	if err != nil {
		return Usage{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Usage{}, statusError(response)
	}
	return readStream(response.Body, h.maxLineBytes, emit)
}

// post sends a request with a JSON body, without retries.
func (h *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, &NotStartedError{Cause: err}
	}
	return h.send(ctx, http.MethodPost, path, encoded)
}

func (h *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &NotStartedError{Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if oneshot.NotSent(err) {
		return nil, &NotStartedError{Cause: err}
	}
	return response, errors.Wrapf(err, "%s %s", method, path)
}

// statusError converts an error response. If the engine reports that it did not
// start the request, the error is a *NotStartedError.
func statusError(response *http.Response) error {
	var body ErrorBody
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes))
	if json.Unmarshal(text, &body) != nil {
		body = ErrorBody{Error: http.StatusText(response.StatusCode)}
	}
	err := &StatusError{Status: response.StatusCode, Detail: body.Error}
	if body.NotStarted {
		return &NotStartedError{Cause: err}
	}
	return err
}

// call sends a request other than a completion, bounded by the call timeout, and
// decodes the response unless into is nil.
func (h *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout)
	defer cancel()
	response, err := h.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response)
	}
	if into == nil {
		return nil
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxControlResponseBytes))
	return errors.Wrapf(decoder.Decode(into), "answer to %s %s", method, path)
}

func (h *Client) attemptCall(ctx context.Context, attempt id.Attempt, verb string) error {
	path := PathAttempts + url.PathEscape(string(attempt)) + "/" + verb
	return h.call(ctx, http.MethodPost, path, nil, nil)
}

// Pause implements Engine.
func (h *Client) Pause(ctx context.Context, attempt id.Attempt) error {
	return h.attemptCall(ctx, attempt, "pause")
}

// Resume implements Engine.
func (h *Client) Resume(ctx context.Context, attempt id.Attempt) error {
	return h.attemptCall(ctx, attempt, "resume")
}

// Cancel implements Engine.
func (h *Client) Cancel(ctx context.Context, attempt id.Attempt) error {
	return h.attemptCall(ctx, attempt, "cancel")
}

// Load implements Engine.
func (h *Client) Load(ctx context.Context) (Load, error) {
	var body LoadBody
	err := h.call(ctx, http.MethodGet, PathLoad, nil, &body)
	return body.Load(), err
}

// CacheEvents implements Engine.
func (h *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := h.call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// Order sends an order to the engine.
func (h *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	return h.call(ctx, http.MethodPost, PathOrders, body, nil)
}

// State returns the engine's state.
func (h *Client) State(ctx context.Context) (State, error) {
	var state State
	err := h.call(ctx, http.MethodGet, PathState, nil, &state)
	return state, err
}
