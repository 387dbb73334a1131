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

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/claim"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
)

const writeLatency = 3 * time.Millisecond

// latentStore is a store whose writes take writeLatency. It counts writes and bytes.
type latentStore struct {
	*memstore.Store
	writes, bytes atomic.Int64
}

func (s *latentStore) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(o.Value)))
	<-time.After(writeLatency)
	return s.Store.Put(ctx, o)
}

// claimOnce claims a key with one of the compared variants.
type claimOnce func(claim.Request) error

// BenchmarkClaim measures platform writes and bytes per claim, against a baseline of
// one object per claim. Run with -benchtime=5000x.
func BenchmarkClaim(b *testing.B) {
	variants := []struct {
		name string
		open func(*testing.B, *latentStore) claimOnce
	}{
		{"1-process-1-shard", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 1, 1) }},
		{"1-process-4-shards", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 1, 4) }},
		{"1-process-16-shards", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 1, 16) }},
		{"4-processes-1-shard", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 4, 1) }},
		{"4-processes-4-shards", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 4, 4) }},
		{"4-processes-16-shards", func(b *testing.B, s *latentStore) claimOnce { return batched(b, s, 4, 16) }},
		{"4-processes-4-shards-routed", routed},
		{"baseline", baseline},
	}
	for _, variant := range variants {
		for _, callers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/callers=%d", variant.name, callers), func(b *testing.B) {
				store := &latentStore{Store: memstore.New(memstore.Config{})}
				runCallers(b, callers, variant.open(b, store))
				b.ReportMetric(float64(store.writes.Load())/float64(b.N), "writes/claim")
				b.ReportMetric(float64(store.bytes.Load())/float64(b.N), "bytes/claim")
			})
		}
	}
}

// batched distributes the claims over processes, each with its own Claimer.
func batched(b *testing.B, store *latentStore, processes, shards int) claimOnce {
	var claimers []*claim.Claimer
	for range processes {
		claimers = append(claimers, benchClaimer(b, store, shards))
	}
	var next atomic.Int64
	return func(r claim.Request) error {
		_, err := claimers[int(next.Add(1))%processes].Claim(context.Background(), r)
		return err
	}
}

func benchClaimer(b *testing.B, store *latentStore, shards int) *claim.Claimer {
	c, err := claim.New(claim.Config{Store: store, Shards: shards, Timeout: time.Minute})
	assert.NilError(b, err)
	b.Cleanup(c.Close)
	return c
}

// localForwarder calls the Claimers of other hosts directly.
type localForwarder map[id.Host]*claim.Claimer

func (d localForwarder) Forward(ctx context.Context, host id.Host, r claim.Request) (claim.Result, error) {
	return d[host].Claim(ctx, r)
}

// routed distributes the claims over processes, which forward them to the shard's owner.
func routed(b *testing.B, store *latentStore) claimOnce {
	hosts := []id.Host{"entry-0", "entry-1", "entry-2", "entry-3"}
	claimers := localForwarder{}
	var routers []*claim.Router
	for _, host := range hosts {
		claimers[host] = benchClaimer(b, store, 4)
		routers = append(routers, &claim.Router{
			Local: claimers[host], Self: host, Hosts: func() []id.Host { return hosts },
			Forwarder: claimers, ForwardTimeout: time.Minute,
		})
	}
	var next atomic.Int64
	return func(r claim.Request) error {
		_, err := routers[int(next.Add(1))%len(routers)].Claim(context.Background(), r)
		return err
	}
}

// baseline writes one object for each claim.
func baseline(_ *testing.B, store *latentStore) claimOnce {
	return func(r claim.Request) error {
		hash := claim.HashKey(r.Team, r.Service, r.Key)
		value := fmt.Appendf(nil, "%s %s %x", r.Target.Endpoint, r.Target.Incarnation, r.Payload)
		_, err := store.Put(context.Background(), objectapi.Object{Kind: "claim", Name: string(hash.Action()), Value: value})
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
