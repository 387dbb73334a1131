package dispatch

import (
	"context"
	"time"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/wire/msg"
)

// reattach resumes the attempt after a lost connection or a missing frame, from the
// first frame that was not received. It never dispatches again. done is true if
// the attempt has ended.
func (a *attempt) reattach(ctx context.Context, cause error) (r Result, done bool) {
	a.linkCall.Release()
	if cause != nil && !a.reattachAttempted && a.notSent() {
		return Result{Outcome: outcome.NotRun, Problem: problem.Newf(problem.EndpointRefused,
			"connection to endpoint %q was lost before the request was sent: %v", a.choice.Endpoint, cause)}, true
	}
	a.reattachAttempted = true
	a.reportFailure()
	detail := "frame missing"
	if cause != nil {
		detail = cause.Error()
	}
	a.record(a.call, "attempt.reattaching", a.id, a.choice.Endpoint, detail)
	ctx, cancel := context.WithTimeout(ctx, a.config.RecoveryTimeout)
	defer cancel()
	for {
		if a.tryReattach(ctx) {
			return Result{}, false
		}
		if !sleep(ctx, a.config.RecoveryInterval) {
			break
		}
	}
	a.record(a.call, "request.unknown", a.id, a.choice.Endpoint, detail)
	return Result{Outcome: outcome.Unknown, Problem: problem.UnknownOutcomef(problem.OutcomeUnknown,
		"connection to endpoint %q was lost: %s", a.choice.Endpoint, detail)}, true
}

// notSent reports whether the connection was lost before any byte can have been sent.
func (a *attempt) notSent() bool {
	a.stream.mu.Lock()
	defer a.stream.mu.Unlock()
	return a.stream.lossCause != nil && !a.stream.sentBeforeLoss
}

// tryReattach requests the remaining frames and reports whether the request was queued.
func (a *attempt) tryReattach(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := a.deps.Pool.Conn(dialCtx, a.address)
	if err != nil {
		return false
	}
	s := newStream()
	order, err := conn.Send(&msg.Order{Attach: &msg.Attach{
		Attempt: a.assembler.attempt, Incarnation: a.choice.Incarnation, From: a.assembler.nextSeq,
		Team: a.call.Team, Action: a.call.Action, PayloadHash: a.call.PayloadHash,
	}}, s)
	if err != nil {
		return false
	}
	a.stream, a.linkCall = s, order
	return true
}
