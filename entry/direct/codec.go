// Package direct forwards the requests of clients to endpoints that are reached
// without an agent. A request is sent once to each endpoint that may receive it,
// streams are continued where they broke off, and each refusal tells the truth
// about what ran.
package direct

import (
	"net/http"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Codec translates between the headers of a platform and the types of this
// package. It neither keeps state nor decides.
type Codec interface {
	// ParseRequest reads what a client's request says. The error is of the client.
	ParseRequest(h http.Header) (RequestInfo, error)
	// WriteForward sets what an endpoint is told, on a copy of the client's header.
	WriteForward(h http.Header, f ForwardInfo)
	// ParseResponse reads what an endpoint's answer says of itself.
	ParseResponse(status int, h http.Header) ResponseInfo
	// WriteRefusal sets what a refusal of a request says besides its status.
	WriteRefusal(h http.Header, r Refusal)
}

// RequestInfo is what a client's request says of itself.
type RequestInfo struct {
	ID id.Request
	// Key identifies the team. It is empty if the client gave none.
	Key string
	// Timeout is the time for which the client waits, zero if it does not say.
	Timeout time.Duration
	// LastEvent is the last event that the client has of a broken stream.
	LastEvent string
	// PromptTokens and MaxAnswerTokens are zero if the client does not say.
	PromptTokens, MaxAnswerTokens int
	// ExpectedAnswerTokens is the client's estimate of the answer's length in tokens, zero if there is none.
	ExpectedAnswerTokens int
	// PrefixID identifies the last shared part of the prompt, empty if there is none.
	PrefixID string
}

// ForwardInfo is what an endpoint is told with a request.
type ForwardInfo struct {
	// Endpoint is the only one that may run the request.
	Endpoint id.Endpoint
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Team is empty on public routes.
	Team id.Team
	// Priority ranks the request, zero first. Negative means none.
	Priority int
	// LastEvent is the event after which a stream goes on, empty for its start.
	LastEvent string
}

// ResponseInfo is what an endpoint's answer says of itself.
type ResponseInfo struct {
	// NotRun promises that the endpoint did not and will not run the request.
	NotRun bool
	// WrongInstance reports that another endpoint has the address.
	WrongInstance bool
	// Signed reports that the answer carries the endpoint's signature.
	Signed bool
	// Request is the request that the answer belongs to.
	Request id.Request
	// AtFault is the endpoint that kept the request from running, if the answer names one.
	AtFault id.Endpoint
}

// Refusal tells a client that its request has not run and will not.
type Refusal struct {
	// RetryAfter is the time after which the request can be served. Zero means that it is not known.
	RetryAfter time.Duration
}
