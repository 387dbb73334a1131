package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/claim"
	"github.com/siskinford/siskinford/fleet/platform"
	"github.com/siskinford/siskinford/fleet/platform/memstore"
)

// writeLatency is the time that a write of latentStore takes.
const writeLatency = 3 * time.Millisecond

// latentStore is a store whose writes take writeLatency.
type latentStore struct {
	*memstore.Store
	writes, bytes atomic.Int64
}

func (s *latentStore) Put(ctx context.Context, o platform.Object) (platform.Object, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(o.Value)))
	<-time.After(writeLatency)
	return s.Store.Put(ctx, o)
}

// claimOnce claims a key in one of the ways that are compared.
type claimOnce func(claim.Request) error

// BenchmarkClaim compares the platform writes of a claim with the baseline of
// one object for each claim. Run with -benchtime=5000x.
func BenchmarkClaim(b *testing.B) {
	ways := []struct {
		name string
		open func(*testing.B, *latentStore) claimOnce
	}{
		{"1-process-1-shard", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 1, 1) }},
		{"1-process-4-shards", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 1, 4) }},
		{"1-process-16-shards", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 1, 16) }},
		{"4-processes-1-shard", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 4, 1) }},
		{"4-processes-4-shards", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 4, 4) }},
		{"4-processes-16-shards", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 4, 16) }},
		{"baseline", baseline},
	}
	for _, way := range ways {
		for _, callers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/callers=%d", way.name, callers), func(b *testing.B) {
				store := &latentStore{Store: memstore.New(memstore.Config{})}
				runCallers(b, callers, way.open(b, store))
				b.ReportMetric(float64(store.writes.Load())/float64(b.N), "writes/claim")
				b.ReportMetric(float64(store.bytes.Load())/float64(b.N), "bytes/claim")
			})
		}
	}
}

// batched spreads the claims over processes, each with a Claimer of its own.
func batched(b *testing.B, store *latentStore, processes, shards int) claimOnce {
	var claimers []*claim.Claimer
	for range processes {
		c, err := claim.New(claim.Config{Store: store, Shards: shards, Timeout: time.Minute})
		assert.NilError(b, err)
		b.Cleanup(c.Close)
		claimers = append(claimers, c)
	}
	var next atomic.Int64
	return func(r claim.Request) error {
		c := claimers[int(next.Add(1))%processes]
		_, err := c.Claim(context.Background(), r)
		return err
	}
}

// baseline writes one object for each claim.
func baseline(_ *testing.B, store *latentStore) claimOnce {
	return func(r claim.Request) error {
		hash := claim.HashKey(r.Team, r.Service, r.Key)
		value := fmt.Appendf(nil, "%s %s %x", r.Target.Endpoint, r.Target.Incarnation, r.Payload)
		_, err := store.Put(context.Background(), platform.Object{Kind: "claim", Name: string(hash.Action()), Value: value})
		return err
	}
}

func runCallers(b *testing.B, callers int, once claimOnce) {
	var next atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		wg.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if err := once(request(newKey(time.Now(), random), "e1")); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
}
