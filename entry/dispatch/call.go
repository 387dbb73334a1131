// Package dispatch runs the requests of callers at endpoints: it picks an
// endpoint, sends an attempt to its agent, assembles the answer, reattaches after
// lost connections and reports what is known of the outcome.
package dispatch

import (
	"time"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/wire/msg"
)

// Call is one request to run.
type Call struct {
	Request id.Request
	Team    id.Team
	Service id.Service
	// Action is set for non-idempotent actions, Ticket only for those with a ticket.
	Action      id.Action
	Ticket      string
	PayloadHash uint64
	// Binding fixes endpoint and incarnation, for actions.
	Binding *Binding
	// Idempotent permits another attempt after one that may have run.
	Idempotent bool
	// Deadline bounds the time to the first frame of the answer.
	Deadline time.Time
	Class    msg.Class
	// Work is the predicted work in tokens.
	Work         uint32
	PromptBlocks []uint64
	// OnFirstFrame is called once with the time until the answer began or was
	// given up. It may be nil and must not block.
	OnFirstFrame func(after time.Duration)
	Chat         *msg.Chat
	Plain        *msg.Plain
}

// Binding names where an action may run.
type Binding struct {
	Endpoint    id.Endpoint
	Incarnation id.Incarnation
}

// Sink receives the answer on the goroutine that called Run, in order, without
// gaps and duplicates. It may block on the caller.
type Sink interface {
	// WriteFrames is called with one or more frames that carry a head or data.
	WriteFrames(batch []*msg.Frame) error
}

// Result tells what became of a call.
type Result struct {
	Outcome outcome.Outcome
	// End is set if the answer is complete.
	End *msg.End
	// Problem is set if it is not.
	Problem *problem.Problem
	// Endpoint and Attempt are those of the last attempt, if any.
	Endpoint id.Endpoint
	Attempt  id.Attempt
	// Attempts counts the attempts.
	Attempts int
	// Delivered is true if a frame was handed to the sink.
	Delivered bool
}

// after returns the result for a call of which an earlier attempt may have run.
func (r Result) after(mayHaveRun bool) Result {
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

// Directory knows where endpoints are reached.
type Directory interface {
	// Address returns the UDP address of the endpoint's agent.
	Address(e id.Endpoint) (string, bool)
}

// Table receives feedback of dispatches. It is implemented by *route.Table.
type Table interface {
	Started(c route.Choice, now time.Time)
	Finished(c route.Choice, now time.Time)
	Observe(c route.Choice, firstToken time.Duration, now time.Time)
	Failed(c route.Choice, now time.Time)
}
