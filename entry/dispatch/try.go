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

// try is one attempt of a call at one endpoint.
type try struct {
	*Dispatcher
	call      *Call
	choice    route.Choice
	attempt   id.Attempt
	sink      Sink
	assembler *assembler
	begun     time.Time
	delivered bool
	// recovered is true once the answer was asked for again.
	recovered bool

	address string
	stream  *stream
	order   *link.Call
}

// run sends the attempt and receives its answer.
func (t *try) run(ctx context.Context) Result {
	if problem := t.send(ctx); problem != nil {
		t.failed()
		return Result{Outcome: outcome.NotRun, Problem: problem}
	}
	defer func() { t.order.Release() }()
	deadline := time.NewTimer(time.Until(t.call.Deadline))
	defer deadline.Stop()
	for {
		select {
		case <-t.stream.notify:
			if r, done := t.receive(ctx); done {
				return r
			}
		case <-deadline.C:
			if !t.delivered {
				return t.withdraw(problem.DeadlineExceeded, "the answer did not begin in time")
			}
		case <-ctx.Done():
			return t.withdraw(problem.ShuttingDown, errAbandoned.Error())
		}
	}
}

// send queues the dispatch. A problem means that no byte of it left.
func (t *try) send(ctx context.Context) *problem.Problem {
	address, ok := t.deps.Directory.Address(t.choice.Endpoint)
	if !ok {
		return problem.Newf(problem.EndpointRefused, "endpoint %q is not configured", t.choice.Endpoint)
	}
	t.address = address
	dialCtx, cancel := context.WithDeadline(ctx, t.call.Deadline)
	defer cancel()
	conn, err := t.deps.Pool.Conn(dialCtx, address)
	if err != nil {
		return problem.Newf(problem.EndpointRefused, "endpoint %q cannot be reached: %v", t.choice.Endpoint, err)
	}
	t.stream = newStream()
	t.order, err = conn.Send(&msg.Order{Dispatch: t.dispatch()}, t.stream)
	if err != nil {
		return problem.Newf(problem.EndpointRefused, "endpoint %q cannot be reached: %v", t.choice.Endpoint, err)
	}
	return nil
}

func (t *try) dispatch() *msg.Dispatch {
	c := t.call
	return &msg.Dispatch{
		Request:      c.Request,
		Attempt:      t.attempt,
		Incarnation:  t.choice.Incarnation,
		Endpoint:     t.choice.Endpoint,
		Team:         c.Team,
		Service:      c.Service,
		Action:       c.Action,
		Ticket:       c.Ticket,
		PayloadHash:  c.PayloadHash,
		QueueTimeout: max(time.Until(c.Deadline).Microseconds(), 0),
		Class:        c.Class,
		Work:         c.Work,
		Chat:         c.Chat,
		Plain:        c.Plain,
	}
}

// receive handles what has arrived. Done is true if the try is over.
func (t *try) receive(ctx context.Context) (r Result, done bool) {
	frames, overflow, lost := t.stream.take()
	batch := frames[:0]
	var gap bool
	var corrupt *ChecksumError
	for _, f := range frames {
		if f.Refused != nil {
			if !t.assembler.owns(f) {
				continue
			}
			return t.refused(f.Refused), true
		}
		fresh, err := t.assembler.accept(f)
		if errors.As(err, &corrupt) {
			break
		}
		if err != nil {
			gap = true
			break
		}
		if fresh && f.End == nil {
			batch = append(batch, f)
		}
	}
	if err := t.deliver(batch); err != nil {
		return t.withdraw(problem.ShuttingDown, errAbandoned.Error()), true
	}
	switch {
	case t.assembler.end != nil:
		return t.ended(t.assembler.end), true
	case lost != nil:
		return t.recover(ctx, lost)
	case corrupt != nil:
		return t.corrupted(corrupt), true
	case gap || overflow:
		return t.recover(ctx, nil)
	}
	return Result{}, false
}

func (t *try) deliver(batch []*msg.Frame) error {
	if len(batch) == 0 {
		return nil
	}
	if !t.delivered {
		t.delivered = true
		t.observe()
	}
	return t.sink.WriteFrames(batch)
}

// observe tells the routing table and the caller of the dispatcher how long the
// first frame took.
func (t *try) observe() {
	now := time.Now()
	after := now.Sub(t.begun)
	if t.call.OnFirstFrame != nil {
		t.call.OnFirstFrame(after)
		t.call.OnFirstFrame = nil
	}
	if t.call.Binding == nil {
		t.deps.Table.Observe(t.choice, after, now)
	}
}

// failed tells the routing table that the endpoint did not answer.
func (t *try) failed() {
	if t.call.Binding == nil {
		t.deps.Table.Failed(t.choice, time.Now())
	}
}

func (t *try) ended(end *msg.End) Result {
	if end.Error == "" {
		t.record(t.call, "request.answered", t.assembler.attempt, t.choice.Endpoint, "")
		return Result{Outcome: end.Outcome, End: end}
	}
	t.record(t.call, "request.broken", t.assembler.attempt, t.choice.Endpoint, end.Error)
	p := problem.UnknownOutcomef(problem.AnswerIncomplete, "endpoint %q did not complete the answer: %s", t.choice.Endpoint, end.Error)
	p.Outcome = end.Outcome
	return Result{Outcome: end.Outcome, End: end, Problem: p}
}

func (t *try) corrupted(cause *ChecksumError) Result {
	t.record(t.call, "request.broken", t.assembler.attempt, t.choice.Endpoint, cause.Error())
	p := problem.UnknownOutcomef(problem.AnswerIncomplete, "endpoint %q: %v", t.choice.Endpoint, cause)
	return Result{Outcome: p.Outcome, Problem: p}
}

// refused converts an agent's refusal. The attempt was not started and never will
// be, unless the refusing agent is a later incarnation than the one that was asked.
func (t *try) refused(r *msg.Refusal) Result {
	t.failed()
	t.record(t.call, "request.refused", t.attempt, t.choice.Endpoint, string(r.Code))
	p := problem.Newf(refusalCode(r.Code), "endpoint %q refused: %s", t.choice.Endpoint, r.Detail)
	p.RetryAfter = time.Duration(r.RetryAfter) * time.Microsecond
	if t.uncertain(r.Code) {
		p.Outcome = outcome.Unknown
	}
	if t.call.Action != "" {
		p.ActionOutcome = actionOutcome(r.Code, p.Outcome)
	}
	return Result{Outcome: p.Outcome, Problem: p}
}

// actionOutcome tells what a refusal states of the action over all its attempts.
// An agent that refuses an action refuses every attempt of it, unless it could
// not record that, the refusal is for another payload, or only this attempt was
// refused because it had not arrived.
func actionOutcome(c msg.Code, o outcome.Outcome) outcome.Outcome {
	switch c {
	case msg.CodeLedgerFull, msg.CodePayload, msg.CodeTicket, msg.CodeBadRequest, msg.CodeUnknownAttempt:
		return outcome.Unknown
	}
	return o
}

// uncertain reports whether the request may have run although the agent refuses
// it: the agent's former incarnation may have run the attempt or an earlier one
// of the same action, or the agent no longer remembers.
func (t *try) uncertain(c msg.Code) bool {
	switch c {
	case msg.CodeTicketExpired:
		return true
	case msg.CodeIncarnation:
		return t.call.Action != "" || t.recovered
	}
	return t.assembler.next > 0
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

// withdraw asks the agent to forget the attempt and reports what is certain.
func (t *try) withdraw(code problem.Code, detail string) Result {
	if !t.delivered {
		t.observe()
	}
	unknown := problem.UnknownOutcomef(problem.OutcomeUnknown, "endpoint %q: %s", t.choice.Endpoint, detail)
	ctx, cancel := context.WithTimeout(context.Background(), t.config.WithdrawTimeout)
	defer cancel()
	verdict, err := t.askVerdict(ctx)
	if err != nil {
		t.record(t.call, "request.unknown", t.attempt, t.choice.Endpoint, err.Error())
		return Result{Outcome: outcome.Unknown, Problem: unknown}
	}
	t.record(t.call, "request.withdrawn", t.attempt, t.choice.Endpoint, string(verdict.State))
	if verdict.State == msg.StateTombstoned && verdict.Incarnation == t.choice.Incarnation {
		p := problem.Newf(code, "endpoint %q: %s", t.choice.Endpoint, detail)
		if t.call.Action != "" {
			p.ActionOutcome = verdict.Outcome
		}
		return Result{Outcome: outcome.NotRun, Problem: p}
	}
	return Result{Outcome: outcome.Unknown, Problem: unknown}
}

func (t *try) askVerdict(ctx context.Context) (*msg.Verdict, error) {
	conn, err := t.deps.Pool.Conn(ctx, t.address)
	if err != nil {
		return nil, err
	}
	order := &msg.Order{Withdraw: &msg.Withdraw{
		Attempt: t.assembler.attempt, Incarnation: t.choice.Incarnation, Team: t.call.Team, Action: t.call.Action,
	}}
	reply, err := conn.Call(ctx, order)
	if err != nil {
		return nil, err
	}
	if reply.Verdict == nil {
		return nil, errors.Newf("agent at %s sent no verdict", t.address)
	}
	return reply.Verdict, nil
}
