package server

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/agent/ledger"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
	"github.com/siskinford/siskinford/wire/ticket"
)

// handler handles the orders of entries.
type handler Agent

// Incarnation implements link.Handler.
func (h *handler) Incarnation() id.Incarnation { return h.incarnation }

// Closed implements link.Handler.
func (h *handler) Closed(s *link.Session) {
	h.reports.remove(s)
	if h.deps.Ranks != nil {
		h.deps.Ranks.Closed(s)
	}
	h.ledger.Detach(func(other ledger.Sink) bool {
		to, ok := other.(sink)
		return ok && to.session == s
	})
}

// Order implements link.Handler.
func (h *handler) Order(s *link.Session, o *msg.Order) {
	a := (*Agent)(h)
	to := sink{session: s, order: o.ID}
	switch {
	case o.Dispatch != nil:
		a.dispatch(o.Dispatch, to)
	case o.Attach != nil:
		a.attach(o.Attach, to)
	case o.Withdraw != nil:
		s.Reply(&msg.Reply{ID: o.ID, Status: a.withdraw(o.Withdraw)})
	case o.Ticket != nil:
		s.Reply(&msg.Reply{ID: o.ID, Ticket: a.issueTicket(o.Ticket)})
	case o.Inquire != nil:
		s.Reply(&msg.Reply{ID: o.ID, Status: a.inquire(o.Inquire)})
	case o.Reports != nil:
		a.reports.add(s, o)
	case o.Drain != nil:
		a.setDrain(o.Drain.Drain, o.Drain.Version)
	case o.Events != nil:
		s.Reply(&msg.Reply{ID: o.ID, Events: a.events(o.Events)})
	case o.Group != nil && a.deps.Ranks != nil:
		a.deps.Ranks.Order(s, o)
	}
}

// sink sends the frames of a response as replies to one order.
type sink struct {
	session *link.Session
	order   uint64
}

// Frame implements ledger.Sink.
func (s sink) Frame(f *msg.Frame) { s.session.Reply(&msg.Reply{ID: s.order, Frame: f}) }

func (s sink) refuse(attempt id.Attempt, r *msg.Refusal) {
	s.Frame(&msg.Frame{Attempt: attempt, Refused: r})
}

func (a *Agent) dispatch(d *msg.Dispatch, to sink) {
	refusal := a.admit(d, to)
	if refusal == nil {
		return
	}
	a.record(timeline.Event{
		Kind: "attempt.refused", Request: d.Request, Attempt: d.Attempt, Detail: string(refusal.Code),
	})
	to.refuse(d.Attempt, refusal)
}

// admit queues a dispatch or joins it to a recorded attempt.
func (a *Agent) admit(d *msg.Dispatch, to sink) *msg.Refusal {
	if refusal := a.validate(d); refusal != nil {
		return refusal
	}
	attempt := ledger.Attempt{ID: d.Attempt, Action: d.Action, Team: d.Team, PayloadHash: d.PayloadHash}
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.refuseNew(attempt); refusal != nil {
		return refusal
	}
	admission, refusal := a.ledger.Admit(attempt, to)
	if admission == ledger.AdmissionNew {
		return a.enqueue(d)
	}
	return refusal
}

// refuseNew refuses an unrecorded attempt while the agent rejects new work or the queue
// is full. A refused action is recorded, so that no other attempt of it runs. The caller
// holds a.mu.
func (a *Agent) refuseNew(attempt ledger.Attempt) *msg.Refusal {
	if a.ledger.Known(attempt) {
		return nil
	}
	var refusal *msg.Refusal
	switch {
	case a.rejectsNewWork():
		refusal = &msg.Refusal{Code: msg.CodeDraining, Detail: "the endpoint takes no new work"}
	case a.queue.Len() >= a.config.MaxQueue:
		refusal = &msg.Refusal{Code: msg.CodeQueueFull, Detail: fmt.Sprintf("%d attempts wait", a.queue.Len())}
	default:
		return nil
	}
	if attempt.Action != "" && !a.ledger.RefuseNew(attempt, *refusal) {
		return &msg.Refusal{Code: msg.CodeLedgerFull, Detail: refusal.Detail}
	}
	return refusal
}

// validate checks that a dispatch is well formed and addressed to this incarnation.
func (a *Agent) validate(d *msg.Dispatch) *msg.Refusal {
	switch {
	case d.Incarnation != a.incarnation:
		return &msg.Refusal{Code: msg.CodeIncarnation, Detail: "the agent was restarted"}
	case d.Endpoint != a.config.Endpoint:
		return &msg.Refusal{Code: msg.CodeIncarnation, Detail: fmt.Sprintf("this is endpoint %q", a.config.Endpoint)}
	case (d.Chat != nil) != (a.deps.Engine != nil) || (d.Chat == nil) == (d.Plain == nil):
		return &msg.Refusal{Code: msg.CodeBadRequest, Detail: "the payload does not fit the endpoint"}
	case d.Ticket == "":
		return nil
	}
	claims, err := a.tickets.Verify(d.Ticket, d.Team, d.Service)
	if err != nil {
		return &msg.Refusal{Code: ticketCode(err), Detail: err.Error()}
	}
	if claims.Action != d.Action {
		return &msg.Refusal{Code: msg.CodeTicket, Detail: "the ticket is for another action"}
	}
	return nil
}

func ticketCode(err error) msg.Code {
	var invalid *ticket.InvalidError
	if errors.As(err, &invalid) && invalid.Expired {
		return msg.CodeTicketExpired
	}
	return msg.CodeTicket
}

func (a *Agent) attach(o *msg.Attach, to sink) {
	if o.Incarnation != a.incarnation {
		to.refuse(o.Attempt, &msg.Refusal{Code: msg.CodeIncarnation, Detail: "the agent was restarted"})
		return
	}
	attempt := ledger.Attempt{ID: o.Attempt, Action: o.Action, Team: o.Team, PayloadHash: o.PayloadHash}
	a.ledger.Attach(attempt, o.From, to)
}

// withdraw tombstones an attempt that has not started. A started one is cancelled unless
// it is a non-idempotent action, which always completes.
func (a *Agent) withdraw(o *msg.Withdraw) *msg.AttemptStatus {
	status := &msg.AttemptStatus{Incarnation: a.incarnation, Attempt: o.Attempt, Outcome: outcome.Unknown}
	if o.Incarnation != a.incarnation {
		status.State = msg.StateUnknown
		return status
	}
	if recorded := a.ledger.ActionStatus(ledger.ActionKey{Team: o.Team, Action: o.Action}); recorded.Attempt != "" && recorded.Attempt != o.Attempt {
		recorded.Incarnation = a.incarnation
		return &recorded
	}
	a.mu.Lock()
	a.queue.Remove(o.Attempt)
	delete(a.waiting, o.Attempt)
	a.mu.Unlock()
	refusal := msg.Refusal{Code: msg.CodeWithdrawn, Detail: "the attempt was withdrawn"}
	if a.ledger.Refuse(o.Attempt, refusal) {
		status.State = msg.StateTombstoned
		status.Outcome = a.withdrawnOutcome(o)
		return status
	}
	state, hasAction := a.ledger.State(o.Attempt)
	status.State = state
	if !hasAction {
		a.cancelRunning(o.Attempt)
	}
	return status
}

// withdrawnOutcome returns the outcome of a withdrawn attempt, or of its action over all
// its attempts. An action that is not recorded may still be attempted again.
func (a *Agent) withdrawnOutcome(o *msg.Withdraw) outcome.Outcome {
	if o.Action == "" {
		return outcome.NotRun
	}
	return a.ledger.ActionStatus(ledger.ActionKey{Team: o.Team, Action: o.Action}).Outcome
}

func (a *Agent) issueTicket(o *msg.TicketOrder) *msg.Ticket {
	a.mu.Lock()
	refuses := a.rejectsNewWork()
	a.mu.Unlock()
	if refuses {
		return &msg.Ticket{Refused: &msg.Refusal{Code: msg.CodeDraining, Detail: "the endpoint takes no new work"}}
	}
	text, claims, err := a.tickets.Issue(o.Team, o.Service)
	if err != nil {
		return &msg.Ticket{Refused: &msg.Refusal{Code: msg.CodeBadRequest, Detail: err.Error()}}
	}
	return &msg.Ticket{Ticket: text, ExpiresUnixMS: claims.ExpiresUnixMS}
}

// inquire returns the state and outcome of an action of this incarnation.
func (a *Agent) inquire(o *msg.Inquire) *msg.AttemptStatus {
	if o.Incarnation != a.incarnation {
		return &msg.AttemptStatus{Incarnation: a.incarnation, State: msg.StateUnknown, Outcome: outcome.Unknown}
	}
	status := a.ledger.ActionStatus(ledger.ActionKey{Team: o.Team, Action: o.Action})
	status.Incarnation = a.incarnation
	return &status
}

// maxEvents bounds the events of one reply.
const maxEvents = 5000

func (a *Agent) events(o *msg.EventsOrder) *msg.Events {
	return &msg.Events{Process: string(a.config.Host), Events: timeline.Select(a.deps.Ring, timeline.Filter{
		Since: o.Since, Request: o.Request, Endpoint: o.Endpoint, Kind: timeline.Kind(o.Kind), Limit: min(o.Limit, maxEvents),
	})}
}
