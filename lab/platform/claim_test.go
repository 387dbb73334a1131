package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/claim"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/objectapi"
	lab "github.com/siskinford/siskinford/lab/platform"
)

// TestClaimsOverHTTP guards against two claimants of one key that get different
// records, under lost responses, held writes and stale reads.
func TestClaimsOverHTTP(t *testing.T) {
	cases := map[string]lab.Faults{
		"no fault":             {},
		"answers lost":         {LoseAnswers: 4},
		"writes held":          {HoldWrites: 4},
		"stale reads":          {StaleVersions: 1},
		"lost and stale reads": {LoseAnswers: 2, StaleVersions: 2},
	}
	key, err := claim.ParseKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
	assert.NilError(t, err)
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			p, c := client(t, nil)
			a := newClaimer(t, c, key.Time())
			b := newClaimer(t, c, key.Time())
			_, err := a.Claim(context.Background(), claimRequest(key, "other service", "e0"))
			assert.NilError(t, err)
			assert.NilError(t, p.SetFaults(faults))
			first, err := a.Claim(context.Background(), claimRequest(key, "mostrador", "e1"))
			assert.NilError(t, err)
			assert.Assert(t, first.Owned)
			second, err := b.Claim(context.Background(), claimRequest(key, "mostrador", "e2"))
			assert.NilError(t, err)
			assert.Equal(t, second, claim.Result{Record: first.Record})
			p.ReleaseWrites()
			third, err := b.Claim(context.Background(), claimRequest(key, "mostrador", "e3"))
			assert.NilError(t, err)
			assert.Equal(t, third, second)
		})
	}
}

func newClaimer(t *testing.T, store objectapi.Store, now time.Time) *claim.Claimer {
	t.Helper()
	c, err := claim.New(claim.Config{Store: store, Timeout: time.Minute, FlushTimeout: time.Minute, Now: func() time.Time { return now }})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func claimRequest(key claim.Key, service id.Service, endpoint id.Endpoint) claim.Request {
	return claim.Request{
		Team: "puno", Service: service, Key: key, Payload: claim.HashPayload([]byte("chest 7")),
		Target: claim.Target{Endpoint: endpoint, Incarnation: "inc_1"},
	}
}

// TestClaimDuringOutage checks that claims fail as unavailable during an outage.
func TestClaimDuringOutage(t *testing.T) {
	key, err := claim.ParseKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
	assert.NilError(t, err)
	for _, outage := range []lab.Outage{lab.OutageRefuse, lab.OutageHang} {
		p, c := client(t, func(cfg *objectapi.ClientConfig) { cfg.CallTimeout = 20 * time.Millisecond })
		a := newClaimer(t, c, key.Time())
		assert.NilError(t, p.SetFaults(lab.Faults{Outage: outage}))
		for range 5 {
			_, err := a.Claim(context.Background(), claimRequest(key, "mostrador", "e1"))
			var unavailable *claim.UnavailableError
			assert.Assert(t, errors.As(err, &unavailable), "%v", err)
		}
		assert.NilError(t, p.SetFaults(lab.Faults{}))
	}
}

// TestLeaseOverHTTP checks that a lease renewal survives each write and read fault.
func TestLeaseOverHTTP(t *testing.T) {
	p, c := client(t, nil)
	now := time.Unix(1000, 0)
	l, err := duty.NewLease(duty.LeaseConfig{Store: c, Duty: "plan", Holder: "a", Now: func() time.Time { return now }})
	assert.NilError(t, err)
	for _, faults := range []lab.Faults{{}, {LoseAnswers: 1}, {HoldWrites: 1}, {StaleVersions: 1}} {
		assert.NilError(t, p.SetFaults(faults))
		now = now.Add(5 * time.Second)
		assert.NilError(t, l.AcquireOrRenew(context.Background()))
		epoch, ok := l.Valid(now.Add(5 * time.Second))
		assert.Assert(t, ok)
		assert.Equal(t, epoch, uint64(1))
		p.ReleaseWrites()
	}
}
