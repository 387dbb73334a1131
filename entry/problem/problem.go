// Package problem defines the errors that callers receive as application/problem+json.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
)

// ContentType is the media type of errors.
const ContentType = "application/problem+json"

// HeaderRequestID is the HTTP response header that carries the request ID.
const HeaderRequestID = "Siskinford-Request"

// Code is a stable identifier of an error. Callers may rely on it.
type Code string

// The codes and the HTTP status that each is sent with.
const (
	BadRequest          Code = "bad-request"
	Unauthorized        Code = "unauthorized"
	Forbidden           Code = "forbidden"
	NotFound            Code = "not-found"
	UnknownModel        Code = "unknown-model"
	UnknownService      Code = "unknown-service"
	MethodNotAllowed    Code = "method-not-allowed"
	BodyTooLarge        Code = "body-too-large"
	KeyInvalid          Code = "idempotency-key-invalid"
	KeyExpired          Code = "idempotency-key-expired"
	TicketInvalid       Code = "ticket-invalid"
	PayloadMismatch     Code = "payload-mismatch"
	RateLimited         Code = "rate-limited"
	Overloaded          Code = "overloaded"
	NoEndpoint          Code = "no-endpoint"
	NotReady            Code = "not-ready"
	EndpointRefused     Code = "endpoint-refused"
	DeadlineExceeded    Code = "deadline-exceeded"
	PlatformUnavailable Code = "platform-unavailable"
	OutcomeUnknown      Code = "outcome-unknown"
	AnswerIncomplete    Code = "answer-incomplete"
	ShuttingDown        Code = "shutting-down"
	Internal            Code = "internal"
)

var statuses = map[Code]int{
	BadRequest:          http.StatusBadRequest,
	Unauthorized:        http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	NotFound:            http.StatusNotFound,
	UnknownModel:        http.StatusNotFound,
	UnknownService:      http.StatusNotFound,
	MethodNotAllowed:    http.StatusMethodNotAllowed,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	KeyInvalid:          http.StatusBadRequest,
	KeyExpired:          http.StatusGone,
	TicketInvalid:       http.StatusConflict,
	PayloadMismatch:     http.StatusUnprocessableEntity,
	RateLimited:         http.StatusTooManyRequests,
	Overloaded:          http.StatusServiceUnavailable,
	NoEndpoint:          http.StatusServiceUnavailable,
	NotReady:            http.StatusServiceUnavailable,
	EndpointRefused:     http.StatusServiceUnavailable,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	PlatformUnavailable: http.StatusServiceUnavailable,
	OutcomeUnknown:      http.StatusBadGateway,
	AnswerIncomplete:    http.StatusBadGateway,
	ShuttingDown:        http.StatusServiceUnavailable,
	Internal:            http.StatusInternalServerError,
}

// Problem is an error for a caller. It implements error.
type Problem struct {
	Code    Code            `json:"code"`
	Detail  string          `json:"detail"`
	Request id.Request      `json:"request,omitempty"`
	Outcome outcome.Outcome `json:"outcome"`
	// ActionOutcome is set for requests with a ticket or idempotency key. It is the
	// outcome of the action over all requests that named it.
	ActionOutcome outcome.Outcome `json:"action_outcome,omitempty"`
	// Findings lists all errors of a malformed request with their locations.
	Findings finding.List `json:"findings,omitempty"`
	// RetryAfter is sent as the Retry-After header. Zero means none.
	RetryAfter time.Duration `json:"-"`
}

// Newf returns a problem of a request that was not run.
func Newf(code Code, format string, args ...any) *Problem {
	return &Problem{Code: code, Detail: fmt.Sprintf(format, args...), Outcome: outcome.NotRun}
}

// UnknownOutcomef returns a problem of a request that may have run.
func UnknownOutcomef(code Code, format string, args ...any) *Problem {
	return &Problem{Code: code, Detail: fmt.Sprintf(format, args...), Outcome: outcome.Unknown}
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s (%s)", p.Code, p.Detail, p.Outcome) }

// Status returns the HTTP status of the problem.
func (p *Problem) Status() int {
	if s, ok := statuses[p.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// body adds the members that the media type defines.
type body struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	*Problem
}

// Write sends the problem as the complete response.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(outcome.Header, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status())
	_ = json.NewEncoder(w).Encode(p.body())
}

// JSON returns the problem as one line.
func (p *Problem) JSON() []byte {
	data, err := json.Marshal(p.body())
	if err != nil {
		return []byte(`{"code":"internal"}`)
	}
	return data
}

func (p *Problem) body() body {
	return body{
		Type:    "urn:siskinford:problem:" + string(p.Code),
		Title:   http.StatusText(p.Status()),
		Status:  p.Status(),
		Problem: p,
	}
}
