package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// attempt is one execution of a call at one endpoint.
type attempt struct {
	*Dispatcher
	call      *Call
	choice    route.Choice
	id        id.Attempt
	sink      Sink
	assembler *assembler
	startedAt time.Time
	delivered bool
	// reattachAttempted is true once the connection or a frame was lost.
	reattachAttempted bool

	address  string
	stream   *stream
	linkCall *link.Call
}

// run sends the attempt and receives its response.
func (a *attempt) run(ctx context.Context) Result {
	if problem := a.send(ctx); problem != nil {
		a.reportFailure()
		return Result{Outcome: outcome.NotRun, Problem: problem}
	}
	defer func() { a.linkCall.Release() }()
	deadline := time.NewTimer(time.Until(a.call.Deadline))
	defer deadline.Stop()
	for {
		select {
		case <-a.stream.notify:
			if r, done := a.receive(ctx); done {
				return r
			}
		case <-deadline.C:
			if !a.delivered {
				return a.withdraw(problem.DeadlineExceeded, "the answer did not begin in time")
			}
		case <-ctx.Done():
			return a.withdraw(problem.ShuttingDown, errAbandoned.Error())
		}
	}
}

// send queues the dispatch. If it returns a problem, no byte was sent.
func (a *attempt) send(ctx context.Context) *problem.Problem {
	address, ok := a.deps.Directory.Address(a.choice.Endpoint)
	if !ok {
		return problem.Newf(problem.EndpointRefused, "endpoint %q is not configured", a.choice.Endpoint)
	}
	a.address = address
	dialCtx, cancel := context.WithDeadline(ctx, a.call.Deadline)
	defer cancel()
	conn, err := a.deps.Pool.Conn(dialCtx, address)
	if err != nil {
		return problem.Newf(problem.EndpointRefused, "endpoint %q cannot be reached: %v", a.choice.Endpoint, err)
	}
	a.stream = newStream()
	a.linkCall, err = conn.Send(&msg.Order{Dispatch: a.newDispatch()}, a.stream)
	if err != nil {
		return problem.Newf(problem.EndpointRefused, "endpoint %q cannot be reached: %v", a.choice.Endpoint, err)
	}
	return nil
}

func (a *attempt) newDispatch() *msg.Dispatch {
	c := a.call
	return &msg.Dispatch{
		Request:            c.Request,
		Attempt:            a.id,
		Incarnation:        a.choice.Incarnation,
		Endpoint:           a.choice.Endpoint,
		Team:               c.Team,
		Service:            c.Service,
		Action:             c.Action,
		Ticket:             c.Ticket,
		PayloadHash:        c.PayloadHash,
		QueueTimeoutMicros: max(time.Until(c.Deadline).Microseconds(), 0),
		Class:              c.Class,
		Work:               c.Work,
		Chat:               c.Chat,
		Plain:              c.Plain,
	}
}

// receive processes the buffered frames. done is true if the attempt has ended.
func (a *attempt) receive(ctx context.Context) (r Result, done bool) {
	frames, overflow, lost := a.stream.takeFrames()
	batch := frames[:0]
	var gap bool
	var corrupt *ChecksumError
	for _, f := range frames {
		if f.Refused != nil {
			if !a.assembler.matches(f) {
				continue
			}
			return a.refusalResult(f.Refused), true
		}
		isNext, err := a.assembler.accept(f)
		if errors.As(err, &corrupt) {
			break
		}
		if err != nil {
			gap = true
			break
		}
		if isNext && f.End == nil {
			batch = append(batch, f)
		}
	}
	if err := a.deliver(batch); err != nil {
		return a.withdraw(problem.ShuttingDown, errAbandoned.Error()), true
	}
	switch {
	case a.assembler.end != nil:
		return a.endResult(a.assembler.end), true
	case lost != nil:
		return a.reattach(ctx, lost)
	case corrupt != nil:
		return a.checksumResult(corrupt), true
	case gap || overflow:
		return a.reattach(ctx, nil)
	}
	return Result{}, false
}

func (a *attempt) deliver(batch []*msg.Frame) error {
	if len(batch) == 0 {
		return nil
	}
	if !a.delivered {
		a.delivered = true
		a.reportFirstFrame()
	}
	return a.sink.WriteFrames(batch)
}

// reportFirstFrame reports the time to first frame to the call and the routing table.
func (a *attempt) reportFirstFrame() {
	now := time.Now()
	after := now.Sub(a.startedAt)
	if a.call.OnFirstFrame != nil {
		a.call.OnFirstFrame(after)
		a.call.OnFirstFrame = nil
	}
	if a.call.Binding == nil {
		a.deps.Table.Observe(a.choice, after, now)
	}
}

// reportFailure records a failed or refused attempt in the routing table.
func (a *attempt) reportFailure() {
	if a.call.Binding == nil {
		a.deps.Table.RecordFailure(a.choice, time.Now())
	}
}

func (a *attempt) endResult(end *msg.End) Result {
	if end.Error == "" {
		a.record(a.call, "request.answered", a.assembler.attempt, a.choice.Endpoint, "")
		return Result{Outcome: end.Outcome, End: end}
	}
	a.record(a.call, "request.broken", a.assembler.attempt, a.choice.Endpoint, end.Error)
	p := problem.UnknownOutcomef(problem.AnswerIncomplete, "endpoint %q did not complete the answer: %s", a.choice.Endpoint, end.Error)
	p.Outcome = end.Outcome
	return Result{Outcome: end.Outcome, End: end, Problem: p}
}

func (a *attempt) checksumResult(cause *ChecksumError) Result {
	a.record(a.call, "request.broken", a.assembler.attempt, a.choice.Endpoint, cause.Error())
	p := problem.UnknownOutcomef(problem.AnswerIncomplete, "endpoint %q: %v", a.choice.Endpoint, cause)
	return Result{Outcome: p.Outcome, Problem: p}
}

// refusalResult converts an agent's refusal. The attempt was not started and never will
// be, unless the refusing agent is a later incarnation than the one addressed.
func (a *attempt) refusalResult(r *msg.Refusal) Result {
	a.reportFailure()
	a.record(a.call, "request.refused", a.id, a.choice.Endpoint, string(r.Code))
	p := problem.Newf(refusalCode(r.Code), "endpoint %q refused: %s", a.choice.Endpoint, r.Detail)
	p.RetryAfter = time.Duration(r.RetryAfterMicros) * time.Microsecond
	if a.mayHaveRun(r.Code) {
		p.Outcome = outcome.Unknown
	}
	if a.call.Action != "" {
		p.ActionOutcome = actionOutcome(r.Code, p.Outcome)
	}
	return Result{Outcome: p.Outcome, Problem: p}
}

// actionOutcome returns the outcome of the action over all its attempts. An agent
// that refuses an action refuses every attempt of it, unless it could not record
// the refusal, the refusal is for another payload, or only this attempt was
// refused because it had not arrived.
func actionOutcome(c msg.Code, o outcome.Outcome) outcome.Outcome {
	switch c {
	case msg.CodeLedgerFull, msg.CodePayload, msg.CodeTicket, msg.CodeBadRequest, msg.CodeUnknownAttempt:
		return outcome.Unknown
	}
	return o
}

// mayHaveRun reports whether the request may have run although the agent refused
// it: a former incarnation may have run this attempt or an earlier one of the same
// action, or the agent has deleted its record.
func (a *attempt) mayHaveRun(c msg.Code) bool {
	switch c {
	case msg.CodeTicketExpired:
		return true
	case msg.CodeIncarnation:
		return a.call.Action != "" || a.reattachAttempted
	}
	return a.assembler.nextSeq > 0
}

func refusalCode(c msg.Code) problem.Code {
	switch c {
	case msg.CodeDeadline:
		return problem.DeadlineExceeded
	case msg.CodePayload:
		return problem.PayloadMismatch
	case msg.CodeTicket, msg.CodeTicketExpired:
		return problem.TicketInvalid
	case msg.CodeQueueFull:
		return problem.Overloaded
	case msg.CodeBadRequest:
		return problem.Internal
	}
	return problem.EndpointRefused
}

// withdraw cancels the attempt at the agent. The outcome is unknown unless the
// agent's reply proves that the attempt did not run.
func (a *attempt) withdraw(code problem.Code, detail string) Result {
	if !a.delivered {
		a.reportFirstFrame()
	}
	unknown := problem.UnknownOutcomef(problem.OutcomeUnknown, "endpoint %q: %s", a.choice.Endpoint, detail)
	ctx, cancel := context.WithTimeout(context.Background(), a.config.WithdrawTimeout)
	defer cancel()
	status, err := a.requestWithdrawal(ctx)
	if err != nil {
		a.record(a.call, "request.unknown", a.id, a.choice.Endpoint, err.Error())
		return Result{Outcome: outcome.Unknown, Problem: unknown}
	}
	a.record(a.call, "request.withdrawn", a.id, a.choice.Endpoint, string(status.State))
	if status.State == msg.StateTombstoned && status.Incarnation == a.choice.Incarnation {
		p := problem.Newf(code, "endpoint %q: %s", a.choice.Endpoint, detail)
		if a.call.Action != "" {
			p.ActionOutcome = status.Outcome
		}
		return Result{Outcome: outcome.NotRun, Problem: p}
	}
	return Result{Outcome: outcome.Unknown, Problem: unknown}
}

func (a *attempt) requestWithdrawal(ctx context.Context) (*msg.AttemptStatus, error) {
	conn, err := a.deps.Pool.Conn(ctx, a.address)
	if err != nil {
		return nil, err
	}
	order := &msg.Order{Withdraw: &msg.Withdraw{
		Attempt: a.assembler.attempt, Incarnation: a.choice.Incarnation, Team: a.call.Team, Action: a.call.Action,
	}}
	reply, err := conn.Call(ctx, order)
	if err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, errors.Newf("agent at %s sent no status", a.address)
	}
	return reply.Status, nil
}
