// Package direct is the reverse proxy for endpoints that are reached without an agent. It
// retries a request only where it cannot be executed twice or the route permits it,
// resumes broken streams at another endpoint, and refuses only what was not executed.
package direct

import (
	"net/http"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Codec translates between the HTTP headers of a platform and the types of this package.
// It is stateless.
type Codec interface {
	// ParseRequest parses a client request's headers. An error is answered with 400.
	ParseRequest(h http.Header) (RequestInfo, error)
	// WriteForward sets the headers for an endpoint on a copy of the client's.
	WriteForward(h http.Header, f ForwardInfo)
	// ParseResponse parses status and headers of an endpoint's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// WriteRefusal sets the headers of a refusal.
	WriteRefusal(h http.Header, r Refusal)
}

// RequestInfo is the content of a client request's headers.
type RequestInfo struct {
	ID id.Request
	// Key is the API key that identifies the team, empty if absent.
	Key string
	// Timeout is the time for which the client waits, zero if absent.
	Timeout time.Duration
	// LastEvent is the ID of the last event received before a stream broke off.
	LastEvent string
	// PromptTokens and MaxAnswerTokens are zero if absent.
	PromptTokens, MaxAnswerTokens int
	// ExpectedAnswerTokens is the client's estimate of the answer's length, zero if absent.
	ExpectedAnswerTokens int
	// SharedParts are the IDs of the parts of the prompt, in order, that other requests may
	// share. The part that belongs to the request or its session is missing.
	SharedParts []string
}

// ForwardInfo is the content of the headers for an endpoint.
type ForwardInfo struct {
	// Endpoint is the only endpoint that may execute the request.
	Endpoint id.Endpoint
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Team is empty on public routes.
	Team id.Team
	// Priority orders requests, zero first. Negative means none.
	Priority int
	// LastEvent is the ID of the event to resume the stream after, empty to start it.
	LastEvent string
}

// ResponseInfo is the content of an endpoint response's headers.
type ResponseInfo struct {
	// NotRun guarantees that the endpoint did not and will not execute the request.
	NotRun bool
	// WrongInstance reports that another endpoint now has the address.
	WrongInstance bool
	// Signed reports that the response carries the endpoint's signature.
	Signed bool
	// Request is the ID of the request that the response belongs to.
	Request id.Request
	// Leaving reports that the endpoint is about to leave and wants no new requests.
	Leaving bool
	// RetryAfter is the time for which the endpoint wants no requests from this entry, zero
	// for none.
	RetryAfter time.Duration
	// ColdRemaining is the time for which the endpoint says that it is cold, zero if it says nothing.
	ColdRemaining time.Duration
	// AtFault is the endpoint that prevented the execution, if named.
	AtFault id.Endpoint
}

// Refusal is the content of a refusal's headers. The request was not and will not be
// executed.
type Refusal struct {
	// RetryAfter is the time after which a retry can succeed, zero if unknown.
	RetryAfter time.Duration
}
