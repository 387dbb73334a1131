package groups

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

func newTestLeases(t *testing.T, store objectapi.Store, self id.Host, live []id.Host) *leases {
	t.Helper()
	l, err := duty.NewLease(duty.LeaseConfig{Store: store, Duty: "group/g", Holder: string(self), TTL: time.Minute})
	assert.NilError(t, err)
	return &leases{lease: l, ttl: time.Minute, key: "group/g", self: self, live: func() []id.Host { return live }}
}

// TestCandidates verifies that of many hosts two look at a lease, the second one
// less often, and that the holder keeps renewing whatever the ranking says.
func TestCandidates(t *testing.T) {
	hosts := []id.Host{"a", "b", "c", "d", "e"}
	ranked := rendezvous.Rank("group/g", hosts)
	store := memstore.New(memstore.Config{})
	for place, host := range ranked {
		l := newTestLeases(t, store, host, hosts)
		var passes int
		for pass := range renewals {
			if l.due(pass) {
				passes++
			}
		}
		want := map[int]int{0: renewals, 1: 1}[place]
		assert.Equal(t, passes, want, "place %d", place)
	}
	last := newTestLeases(t, store, ranked[4], hosts)
	last.step(context.Background(), time.Minute)
	assert.Assert(t, last.due(0))
}

// TestFencedNumberIsReplaced verifies that a number that was fenced is not held
// again, and that the next one is greater.
func TestFencedNumberIsReplaced(t *testing.T) {
	l := newTestLeases(t, memstore.New(memstore.Config{}), "a", []id.Host{"a"})
	l.step(context.Background(), time.Minute)
	first, held := l.FencingToken()
	assert.Assert(t, held && l.CoversChange())
	l.MarkFenced(first)
	_, held = l.FencingToken()
	assert.Assert(t, !held)
	l.step(context.Background(), time.Minute)
	second, held := l.FencingToken()
	assert.Assert(t, held)
	assert.Equal(t, second, first+1)
	l.release()
	_, held = l.FencingToken()
	assert.Assert(t, !held)
}
