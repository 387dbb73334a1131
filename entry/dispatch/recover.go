package dispatch

import (
	"context"
	"time"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/wire/msg"
)

// recover reattaches to the attempt after a lost connection or a missing frame
// and continues from the first frame that was not received. It never dispatches
// again. Done is true if the try is over.
func (t *try) recover(ctx context.Context, cause error) (r Result, done bool) {
	t.order.Release()
	if cause != nil && !t.recovered && t.neverLeft() {
		return Result{Outcome: outcome.NotRun, Problem: problem.Newf(problem.EndpointRefused,
			"connection to endpoint %q was lost before the request was sent: %v", t.choice.Endpoint, cause)}, true
	}
	t.recovered = true
	t.failed()
	detail := "frame missing"
	if cause != nil {
		detail = cause.Error()
	}
	t.record(t.call, "attempt.reattaching", t.attempt, t.choice.Endpoint, detail)
	ctx, cancel := context.WithTimeout(ctx, t.config.RecoveryTimeout)
	defer cancel()
	for {
		if t.reattach(ctx) {
			return Result{}, false
		}
		if !sleep(ctx, t.config.RecoveryInterval) {
			break
		}
	}
	t.record(t.call, "request.unknown", t.attempt, t.choice.Endpoint, detail)
	return Result{Outcome: outcome.Unknown, Problem: problem.UnknownOutcomef(problem.OutcomeUnknown,
		"connection to endpoint %q was lost: %s", t.choice.Endpoint, detail)}, true
}

// neverLeft reports whether no byte of the lost dispatch can have left this process.
func (t *try) neverLeft() bool {
	t.stream.mu.Lock()
	defer t.stream.mu.Unlock()
	return t.stream.lost != nil && !t.stream.sent
}

// reattach asks for the rest of the answer on a live connection.
func (t *try) reattach(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := t.deps.Pool.Conn(dialCtx, t.address)
	if err != nil {
		return false
	}
	s := newStream()
	order, err := conn.Send(&msg.Order{Attach: &msg.Attach{
		Attempt: t.assembler.attempt, Incarnation: t.choice.Incarnation, From: t.assembler.next,
		Team: t.call.Team, Action: t.call.Action, PayloadHash: t.call.PayloadHash,
	}}, s)
	if err != nil {
		return false
	}
	t.stream, t.order = s, order
	return true
}
