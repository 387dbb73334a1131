// Package dispatch runs requests at endpoints: it picks an endpoint, sends an
// attempt to its agent, assembles the response, reattaches after lost connections
// and determines the outcome.
package dispatch

import (
	"time"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/wire/msg"
)

// Call is one request to dispatch.
type Call struct {
	Request id.Request
	Team    id.Team
	Service id.Service
	// Action is set for non-idempotent actions, Ticket only for those with a ticket.
	Action      id.Action
	Ticket      string
	PayloadHash uint64
	// Binding fixes the endpoint and incarnation of an action.
	Binding *Binding
	// Idempotent permits another attempt after one that may have run.
	Idempotent bool
	// Deadline bounds the time to the first frame of the response.
	Deadline time.Time
	Class    msg.Class
	// Work is the predicted work in tokens.
	Work         uint32
	PromptBlocks []uint64
	// OnFirstFrame is called once with the time from the start of an attempt to its
	// first frame or its withdrawal. It may be nil and must not block.
	OnFirstFrame func(after time.Duration)
	Chat         *msg.Chat
	Plain        *msg.HTTPRequest
}

// Binding is the only endpoint and agent incarnation that may run an action.
type Binding struct {
	Endpoint    id.Endpoint
	Incarnation id.Incarnation
}

// Sink receives the response on the goroutine that called Run, in order, without
// gaps and duplicates. It may block while the caller is slow to read.
type Sink interface {
	// WriteFrames is called with one or more frames that carry a head or data.
	WriteFrames(batch []*msg.Frame) error
}

// Result is the final state of a call.
type Result struct {
	Outcome outcome.Outcome
	// End is the last frame of the response, if it arrived.
	End *msg.End
	// Problem is nil if the response is complete.
	Problem *problem.Problem
	// Endpoint and Attempt are those of the last attempt, if any.
	Endpoint id.Endpoint
	Attempt  id.Attempt
	Attempts int
	// Delivered is true if a frame was handed to the sink.
	Delivered bool
}

// withEarlierAttempts changes the outcome not-run to unknown if an earlier attempt
// may have run.
func (r Result) withEarlierAttempts(mayHaveRun bool) Result {
	if !mayHaveRun || r.Outcome != outcome.NotRun {
		return r
	}
	r.Outcome = outcome.Unknown
	if r.Problem != nil {
		p := *r.Problem
		p.Outcome = outcome.Unknown
		r.Problem = &p
	}
	return r
}

// Directory resolves endpoints to addresses.
type Directory interface {
	// Address returns the UDP address of the endpoint's agent, or false if the
	// endpoint is not configured.
	Address(e id.Endpoint) (string, bool)
}

// Table receives the progress and latency of attempts. It is implemented by *route.Table.
type Table interface {
	RecordStart(c route.Choice, now time.Time)
	RecordFinish(c route.Choice, now time.Time)
	Observe(c route.Choice, firstToken time.Duration, now time.Time)
	RecordFailure(c route.Choice, now time.Time)
}
