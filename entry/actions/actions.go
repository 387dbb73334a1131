// Package actions binds non-idempotent actions to one endpoint and one incarnation
// of its agent, by tickets and by idempotency keys chosen by callers.
package actions

import (
	"context"
	"time"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/caller"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
	"github.com/siskinford/siskinford/wire/ticket"
)

const agentCallTimeout = 2 * time.Second

// Deps are the dependencies of Actions.
type Deps struct {
	Zone      id.Zone
	Picker    route.Picker
	Directory dispatch.Directory
	Pool      *link.Pool
	// Claimer commits idempotency keys chosen by callers. It may be nil.
	Claimer Claimer
}

// Claimer binds an idempotency key to an endpoint, once for the whole fleet.
type Claimer interface {
	// Claim commits a binding, or reads the one committed before, and sets Action and
	// Binding of the call. It may block on the platform.
	Claim(ctx context.Context, c *dispatch.Call, key string, proposed dispatch.Binding) *problem.Problem
	// Lookup returns the action and binding of a key.
	Lookup(ctx context.Context, team id.Team, service id.Service, key string) (id.Action, dispatch.Binding, *problem.Problem)
}

// Actions issues, resolves and queries bindings. It implements caller.Actions.
type Actions struct {
	deps Deps
}

func New(d Deps) *Actions { return &Actions{deps: d} }

var _ caller.Actions = (*Actions)(nil)

// IssueTicket implements caller.Actions. It requests the ticket from the agent of a
// picked endpoint, and from the next one if that fails.
func (a *Actions) IssueTicket(ctx context.Context, team id.Team, service id.Service) (caller.Ticket, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	var exclude []id.Endpoint
	for {
		choice, err := a.deps.Picker.Pick(route.Request{
			Service: service, Zone: a.deps.Zone, Work: 1, Exclude: exclude, Now: time.Now(),
		})
		if err != nil {
			return caller.Ticket{}, problem.Newf(problem.NoEndpoint, "%v", err)
		}
		reply, err := a.callAgent(ctx, choice.Endpoint, &msg.Order{Ticket: &msg.TicketOrder{Team: team, Service: service}})
		if err == nil && reply.Ticket != nil && reply.Ticket.Refused == nil {
			return caller.Ticket{
				Ticket: reply.Ticket.Ticket, Service: string(service),
				ExpiresAt: time.UnixMilli(reply.Ticket.ExpiresUnixMS).UTC().Format(time.RFC3339),
			}, nil
		}
		exclude = append(exclude, choice.Endpoint)
	}
}

func (a *Actions) callAgent(ctx context.Context, e id.Endpoint, o *msg.Order) (*msg.Reply, error) {
	address, ok := a.deps.Directory.Address(e)
	if !ok {
		return nil, &UnknownEndpointError{Endpoint: e}
	}
	conn, err := a.deps.Pool.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn.Call(ctx, o)
}

// UnknownEndpointError reports an endpoint that is not configured.
type UnknownEndpointError struct{ Endpoint id.Endpoint }

func (e *UnknownEndpointError) Error() string {
	return "endpoint \"" + string(e.Endpoint) + "\" is not configured"
}

// BindTicket implements caller.Actions. Only the agent verifies the ticket.
func (a *Actions) BindTicket(c *dispatch.Call, text string) *problem.Problem {
	claims, err := ticket.ParseUnverified(text)
	if err != nil {
		return problem.Newf(problem.TicketInvalid, "%v", err)
	}
	if claims.Team != c.Team || claims.Service != c.Service {
		return problem.Newf(problem.TicketInvalid, "the ticket is for another team or service")
	}
	c.Action = claims.Action
	c.Ticket = text
	c.Binding = &dispatch.Binding{Endpoint: claims.Endpoint, Incarnation: claims.Incarnation}
	if _, ok := a.deps.Directory.Address(claims.Endpoint); !ok {
		return problem.UnknownOutcomef(problem.OutcomeUnknown, "endpoint %q of the ticket is no longer configured", claims.Endpoint)
	}
	return nil
}

// BindKey implements caller.Actions.
func (a *Actions) BindKey(ctx context.Context, c *dispatch.Call, key string) *problem.Problem {
	if a.deps.Claimer == nil {
		return problem.Newf(problem.PlatformUnavailable, "idempotency keys made by callers need the platform, which is not configured")
	}
	choice, err := a.deps.Picker.Pick(route.Request{
		Service: c.Service, Zone: a.deps.Zone, Work: c.Work, Now: time.Now(),
	})
	if err != nil {
		return problem.Newf(problem.NoEndpoint, "%v", err)
	}
	proposed := dispatch.Binding{Endpoint: choice.Endpoint, Incarnation: choice.Incarnation}
	return a.deps.Claimer.Claim(ctx, c, key, proposed)
}

// Status implements caller.Actions.
func (a *Actions) Status(ctx context.Context, team id.Team, service id.Service, key string) (caller.ActionStatus, *problem.Problem) {
	action, bound, p := a.resolveBinding(ctx, team, service, key)
	if p != nil {
		return caller.ActionStatus{}, p
	}
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	reply, err := a.callAgent(ctx, bound.Endpoint, &msg.Order{Inquire: &msg.Inquire{
		Action: action, Incarnation: bound.Incarnation, Team: team,
	}})
	if err != nil || reply.Status == nil {
		return caller.ActionStatus{State: msg.StateUnknown, Outcome: outcome.Unknown}, nil
	}
	return caller.ActionStatus{State: reply.Status.State, Outcome: reply.Status.Outcome}, nil
}

func (a *Actions) resolveBinding(ctx context.Context, team id.Team, service id.Service, key string) (id.Action, dispatch.Binding, *problem.Problem) {
	claims, err := ticket.ParseUnverified(key)
	if err == nil {
		if claims.Team != team || claims.Service != service {
			return "", dispatch.Binding{}, problem.Newf(problem.TicketInvalid, "the ticket is for another team or service")
		}
		return claims.Action, dispatch.Binding{Endpoint: claims.Endpoint, Incarnation: claims.Incarnation}, nil
	}
	if a.deps.Claimer == nil {
		return "", dispatch.Binding{}, problem.Newf(problem.PlatformUnavailable, "the platform is not configured")
	}
	return a.deps.Claimer.Lookup(ctx, team, service, key)
}
