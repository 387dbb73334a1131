package actions

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/claim"
)

// KeyClaimer implements Claimer with claims stored in the platform.
type KeyClaimer struct {
	claims *claim.Claimer
}

func NewKeyClaimer(c *claim.Claimer) *KeyClaimer { return &KeyClaimer{claims: c} }

// Claim implements Claimer. Every call that reads the same record may dispatch: the
// ledger of the record's incarnation starts the action only once.
func (k *KeyClaimer) Claim(ctx context.Context, c *dispatch.Call, text string, proposed dispatch.Binding) *problem.Problem {
	key, err := claim.ParseKey(text)
	if err != nil {
		return problem.Newf(problem.KeyInvalid, "%v", err)
	}
	result, err := k.claims.Claim(ctx, claim.Request{
		Team: c.Team, Service: c.Service, Key: key, Payload: claim.HashPayload(claimPayload(c)),
		Target: claim.Target{Endpoint: proposed.Endpoint, Incarnation: proposed.Incarnation},
	})
	if err != nil {
		return claimProblem(err)
	}
	c.Action = result.Record.Action
	c.Binding = bindingOf(result.Record)
	return nil
}

// Lookup implements Claimer.
func (k *KeyClaimer) Lookup(ctx context.Context, team id.Team, service id.Service, text string) (id.Action, dispatch.Binding, *problem.Problem) {
	key, err := claim.ParseKey(text)
	if err != nil {
		return "", dispatch.Binding{}, problem.Newf(problem.KeyInvalid, "%v", err)
	}
	record, err := k.claims.Lookup(ctx, team, service, key)
	if err != nil {
		return "", dispatch.Binding{}, claimProblem(err)
	}
	return record.Action, *bindingOf(record), nil
}

func bindingOf(r claim.Record) *dispatch.Binding {
	return &dispatch.Binding{Endpoint: r.Target.Endpoint, Incarnation: r.Target.Incarnation}
}

// claimPayload returns the bytes that must be equal in all requests with the same key.
func claimPayload(c *dispatch.Call) []byte {
	text := c.Plain.Method + " " + c.Plain.Path + "\n"
	return append([]byte(text), c.Plain.Body...)
}

// claimProblem converts an error of package claim. The request is not dispatched after
// any of them; the outcome of its action depends on the error.
func claimProblem(err error) *problem.Problem {
	var expired *claim.ExpiredError
	var future *claim.FutureError
	var mismatch *claim.PayloadMismatchError
	var missing *claim.NotClaimedError
	p := problem.Newf(problem.PlatformUnavailable, "%v", err)
	p.ActionOutcome = outcome.Unknown
	switch {
	case errors.As(err, &expired):
		p = problem.UnknownOutcomef(problem.KeyExpired, "%v", err)
	case errors.As(err, &future):
		p = problem.Newf(problem.KeyInvalid, "%v", err)
	case errors.As(err, &mismatch):
		p = problem.Newf(problem.PayloadMismatch, "%v", err)
	case errors.As(err, &missing):
		p = problem.UnknownOutcomef(problem.NotFound, "%v", err)
	}
	return p
}
