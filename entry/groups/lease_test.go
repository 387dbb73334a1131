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

func newTestLease(t *testing.T, store objectapi.Store, self id.Host, live []id.Host) *groupLease {
	t.Helper()
	l, err := duty.NewLease(duty.LeaseConfig{Store: store, Duty: "group/g", Holder: string(self), TTL: time.Minute})
	assert.NilError(t, err)
	return &groupLease{lease: l, ttl: time.Minute, dutyName: "group/g", self: self, liveHosts: func() []id.Host { return live }}
}

// TestOnlyCandidatesTryTheLease checks that two of many hosts compete for a lease, the
// backup less often, and that the holder keeps renewing whatever its position.
func TestOnlyCandidatesTryTheLease(t *testing.T) {
	hosts := []id.Host{"a", "b", "c", "d", "e"}
	ranked := rendezvous.Rank("group/g", hosts)
	store := memstore.New(memstore.Config{})
	for position, host := range ranked {
		l := newTestLease(t, store, host, hosts)
		var tries int
		for tick := range renewalsPerTTL {
			if l.shouldTry(tick) {
				tries++
			}
		}
		want := map[int]int{0: renewalsPerTTL, 1: 1}[position]
		assert.Equal(t, tries, want, "position %d", position)
	}
	last := newTestLease(t, store, ranked[4], hosts)
	last.renewOrAcquire(context.Background(), time.Minute)
	assert.Assert(t, last.shouldTry(0))
}

// TestFencedTokenIsReplaced checks that a fenced token is not returned again and that the
// next one is greater.
func TestFencedTokenIsReplaced(t *testing.T) {
	l := newTestLease(t, memstore.New(memstore.Config{}), "a", []id.Host{"a"})
	l.renewOrAcquire(context.Background(), time.Minute)
	first, held := l.FencingToken()
	assert.Assert(t, held && l.CoversChange())
	l.MarkFenced(first)
	_, held = l.FencingToken()
	assert.Assert(t, !held)
	l.renewOrAcquire(context.Background(), time.Minute)
	second, held := l.FencingToken()
	assert.Assert(t, held)
	assert.Equal(t, second, first+1)
	l.release()
	_, held = l.FencingToken()
	assert.Assert(t, !held)
}
