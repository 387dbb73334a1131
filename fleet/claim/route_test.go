package claim_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/claim"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// forwarder calls the Claimer of another process, with injected errors.
type forwarder struct {
	to    map[id.Host]*claim.Claimer
	calls int
	// before replaces the call and after its result by an error.
	before, after error
}

func (f *forwarder) Forward(ctx context.Context, host id.Host, r claim.Request) (claim.Result, error) {
	f.calls++
	if f.before != nil {
		return claim.Result{}, f.before
	}
	result, err := f.to[host].Claim(ctx, r)
	if f.after != nil {
		return claim.Result{}, f.after
	}
	return result, err
}

func TestRouter(t *testing.T) {
	const owner, other id.Host = "owner", "other"
	lost := errors.New("connection lost")
	notMade := &claim.UnavailableError{Cause: lost}
	cases := map[string]struct {
		self          id.Host
		before, after error
		down          bool
		wantCalls     int
		wantWrites    int64
		wantErr       any
	}{
		"claim in the owner":               {self: owner, wantWrites: 3},
		"forwarded":                        {self: other, wantCalls: 1, wantWrites: 3},
		"owner not reached":                {self: other, before: lost, wantCalls: 1, wantWrites: 3},
		"result lost after the claim":      {self: other, after: lost, wantCalls: 1, wantWrites: 3},
		"owner unavailable, platform down": {self: other, before: notMade, down: true, wantCalls: 1, wantErr: new(*claim.UnavailableError)},
		"owner silent, platform down":      {self: other, before: lost, down: true, wantCalls: 1, wantErr: new(*claim.OutcomeUnknownError)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock, store := newManualClock(), newHookStore()
			if c.down {
				store.list = func() error { return &objectapi.UnavailableError{Cause: errors.New("outage")} }
			}
			hosts := []id.Host{owner}
			picked, ok := rendezvous.First("claims-0000", hosts)
			assert.Assert(t, ok && picked == owner)
			f := &forwarder{before: c.before, after: c.after, to: map[id.Host]*claim.Claimer{
				owner: newClaimer(t, store, clock, nil), other: newClaimer(t, store, clock, nil),
			}}
			router := &claim.Router{Local: f.to[c.self], Self: c.self, Hosts: func() []id.Host { return hosts }, Forwarder: f}
			result, err := router.Claim(context.Background(), request(keys(1, clock.now())[0], "e1"))
			assert.Equal(t, f.calls, c.wantCalls)
			assert.Equal(t, store.writes.Load(), c.wantWrites)
			if c.wantErr != nil {
				assert.Assert(t, errors.As(err, c.wantErr), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, result.Owned)
		})
	}
}

func TestRouterReturnsFinalResults(t *testing.T) {
	clock, store := newManualClock(), newHookStore()
	c := newClaimer(t, store, clock, nil)
	f := &forwarder{to: map[id.Host]*claim.Claimer{"owner": c}}
	router := &claim.Router{Local: c, Self: "other", Hosts: func() []id.Host { return []id.Host{"owner"} }, Forwarder: f}
	r := request(keys(1, clock.now())[0], "e1")
	first, err := router.Claim(context.Background(), r)
	assert.NilError(t, err)
	again, err := router.Claim(context.Background(), r)
	assert.NilError(t, err)
	assert.Equal(t, again, claim.Result{Record: first.Record})
	r.Payload = claim.HashPayload([]byte("other"))
	_, err = router.Claim(context.Background(), r)
	var mismatch *claim.PayloadMismatchError
	assert.Assert(t, errors.As(err, &mismatch), "%v", err)
}
