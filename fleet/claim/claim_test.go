package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
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

// hookStore calls its hooks before writes and lists. It counts writes and their bytes.
type hookStore struct {
	*memstore.Store
	put    func(o objectapi.Object) error
	list   func() error
	writes atomic.Int64
	bytes  atomic.Int64
}

func newHookStore() *hookStore { return &hookStore{Store: memstore.New(memstore.Config{})} }

func (h *hookStore) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	h.writes.Add(1)
	h.bytes.Add(int64(len(o.Value)))
	if h.put != nil {
		if err := h.put(o); err != nil {
			return objectapi.Object{}, err
		}
	}
	return h.Store.Put(ctx, o)
}

func (h *hookStore) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	if h.list != nil {
		if err := h.list(); err != nil {
			return nil, 0, err
		}
	}
	return h.Store.List(ctx, kind)
}

// manualClock changes only by advance.
type manualClock struct{ ms atomic.Int64 }

func newManualClock() *manualClock {
	c := &manualClock{}
	c.ms.Store(startMS)
	return c
}

func (c *manualClock) now() time.Time          { return time.UnixMilli(c.ms.Load()) }
func (c *manualClock) advance(d time.Duration) { c.ms.Add(d.Milliseconds()) }

func newClaimer(t *testing.T, store objectapi.Store, clock *manualClock, change func(*claim.Config)) *claim.Claimer {
	t.Helper()
	cfg := claim.Config{Store: store, Shards: 1, Timeout: time.Minute, FlushTimeout: time.Minute, Now: clock.now}
	if change != nil {
		change(&cfg)
	}
	c, err := claim.New(cfg)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func request(key claim.Key, endpoint string) claim.Request {
	return claim.Request{
		Team: "puno", Service: "mostrador", Key: key, Payload: claim.HashPayload([]byte("chest 7")),
		Target: claim.Target{Endpoint: id.Endpoint(endpoint), Incarnation: "inc_1"},
	}
}

func keys(n int, at time.Time) []claim.Key {
	random := rand.New(rand.NewPCG(1, 1))
	out := make([]claim.Key, n)
	for i := range out {
		out[i] = newKey(at, random)
	}
	return out
}

func TestParseKey(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"RFC example":   {"017F22E2-79B0-7CC3-98C4-DC0C0C07398F", ""},
		"lower case":    {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", ""},
		"version 4":     {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "version is 4"},
		"variant":       {"017f22e2-79b0-7cc3-58c4-dc0c0c07398f", "variant"},
		"short":         {"017f22e2", "8 characters"},
		"empty":         {"", "0 characters"},
		"hyphens":       {"017f22e279b0--7cc3-98c4-dc0c0c07398f", "hyphens"},
		"no hyphens":    {"017f22e279b07cc398c4dc0c0c07398f0000", "hyphens"},
		"not a digit":   {"017f22e2-79b0-7cc3-98c4-dc0c0c07398g", "hexadecimal"},
		"with brackets": {"{17f22e2-79b0-7cc3-98c4-dc0c0c07398f", "hexadecimal"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k, err := claim.ParseKey(c.text)
			if c.want != "" {
				assert.ErrorContains(t, err, c.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, k.String(), strings.ToLower(c.text))
			assert.Equal(t, k.Time().UnixMilli(), int64(0x017f22e279b0))
		})
	}
}

func TestHashKeySeparatesNames(t *testing.T) {
	k := keys(1, time.UnixMilli(startMS))[0]
	assert.Assert(t, claim.HashKey("ab", "c", k) != claim.HashKey("a", "bc", k))
	assert.Assert(t, claim.HashKey("a", "s", k) != claim.HashKey("b", "s", k))
}

func TestClaimTwiceAndLookup(t *testing.T) {
	clock, store, ctx := newManualClock(), newHookStore(), context.Background()
	a, b := newClaimer(t, store, clock, nil), newClaimer(t, store, clock, nil)
	k := keys(1, clock.now())[0]
	_, err := b.Lookup(ctx, "puno", "mostrador", k)
	var notClaimed *claim.NotClaimedError
	assert.Assert(t, errors.As(err, &notClaimed), "%v", err)
	first, err := a.Claim(ctx, request(k, "e1"))
	assert.NilError(t, err)
	assert.Assert(t, first.Owned)
	assert.Equal(t, first.Record.Target, claim.Target{Endpoint: "e1", Incarnation: "inc_1"})
	assert.Equal(t, first.Record.Action, claim.HashKey("puno", "mostrador", k).Action())
	record, err := b.Lookup(ctx, "puno", "mostrador", k)
	assert.NilError(t, err)
	assert.Equal(t, record, first.Record)
	for _, c := range []*claim.Claimer{a, b} {
		again, err := c.Claim(ctx, request(k, "e2"))
		assert.NilError(t, err)
		assert.Equal(t, again, claim.Result{Record: first.Record})
		other := request(k, "e2")
		other.Payload = claim.HashPayload([]byte("chest 8"))
		_, err = c.Claim(ctx, other)
		var mismatch *claim.PayloadMismatchError
		assert.Assert(t, errors.As(err, &mismatch), "%v", err)
	}
	other := request(k, "e2")
	other.Team = "arequipa"
	result, err := b.Claim(ctx, other)
	assert.NilError(t, err)
	assert.Assert(t, result.Owned)
}

func TestKeyTimes(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		want any
	}{
		"new":                {0, nil},
		"almost expired":     {time.Hour - time.Millisecond, nil},
		"expired":            {time.Hour, new(*claim.ExpiredError)},
		"a little ahead":     {-10 * time.Second, nil},
		"too far ahead":      {-10*time.Second - time.Millisecond, new(*claim.FutureError)},
		"before the present": {24 * time.Hour, new(*claim.ExpiredError)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := newManualClock()
			k := keys(1, clock.now().Add(-c.age))[0]
			_, err := newClaimer(t, newHookStore(), clock, nil).Claim(context.Background(), request(k, "e1"))
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.As(err, c.want), "%v", err)
		})
	}
}

func TestClaimFailsFastDuringOutage(t *testing.T) {
	clock, store, ctx := newManualClock(), newHookStore(), context.Background()
	store.list = func() error { return &objectapi.UnavailableError{Cause: errors.New("outage")} }
	c := newClaimer(t, store, clock, nil)
	k := keys(1, clock.now())[0]
	_, err := c.Claim(ctx, request(k, "e1"))
	var unavailable *claim.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	store.list = nil
	result, err := c.Claim(ctx, request(k, "e1"))
	assert.NilError(t, err)
	assert.Assert(t, result.Owned)
}

// TestClaimsWhilePlatformHangs guards against wrong outcomes while a write gets no
// response: its outcome is unknown, queued claims are not made, new ones fail at once.
func TestClaimsWhilePlatformHangs(t *testing.T) {
	clock, store, ctx := newManualClock(), newHookStore(), context.Background()
	c := newClaimer(t, store, clock, nil)
	k := keys(4, clock.now())
	_, err := c.Claim(ctx, request(k[0], "e1"))
	assert.NilError(t, err)
	reached, release := make(chan struct{}), make(chan struct{})
	store.put = func(objectapi.Object) error {
		reached <- struct{}{}
		<-release
		return nil
	}
	var unavailable *claim.UnavailableError
	var unknown *claim.OutcomeUnknownError
	hanging, cancel := context.WithCancel(ctx)
	inFlight := make(chan error, 1)
	go func() {
		_, err := c.Claim(hanging, request(k[1], "e1"))
		inFlight <- err
	}()
	<-reached
	gone, cancelGone := context.WithCancel(ctx)
	cancelGone()
	_, err = c.Claim(gone, request(k[2], "e1"))
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	clock.advance(time.Minute + time.Second)
	_, err = c.Claim(ctx, request(k[3], "e1"))
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	cancel()
	err = <-inFlight
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	store.put = nil
	close(release)
	result, err := newClaimer(t, store, clock, nil).Claim(ctx, request(k[2], "e2"))
	assert.NilError(t, err)
	assert.Assert(t, result.Owned, "claim was committed after an UnavailableError")
}

// segments returns the names of the stored objects of shard 0.
func segments(t *testing.T, store *hookStore) string {
	t.Helper()
	objects, _, err := store.Store.List(context.Background(), "claims-0000")
	assert.NilError(t, err)
	var names []string
	for _, o := range objects {
		names = append(names, strings.TrimLeft(o.Name, "0"))
	}
	return strings.Join(names, " ")
}

func smallSegments(cfg *claim.Config) { cfg.SegmentBytes = 2 * claim.RecordBytes }

func TestExpireKeepsKeysUnexpiredOnAnyClock(t *testing.T) {
	clock, store, ctx := newManualClock(), newHookStore(), context.Background()
	c := newClaimer(t, store, clock, smallSegments)
	early := keys(3, clock.now())
	for _, k := range early {
		_, err := c.Claim(ctx, request(k, "e1"))
		assert.NilError(t, err)
	}
	assert.Equal(t, segments(t, store), "1 2 3 head")
	clock.advance(time.Hour + 20*time.Second)
	late, err := c.Claim(ctx, request(newKey(clock.now(), rand.New(rand.NewPCG(2, 2))), "e1"))
	assert.NilError(t, err)
	assert.Assert(t, late.Owned)
	assert.NilError(t, c.Expire(ctx))
	assert.Equal(t, segments(t, store), "1 2 3 4 head")
	clock.advance(time.Millisecond)
	assert.NilError(t, c.Expire(ctx))
	assert.Equal(t, segments(t, store), "4 head")
	_, err = c.Claim(ctx, request(early[0], "e1"))
	var expired *claim.ExpiredError
	assert.Assert(t, errors.As(err, &expired), "%v", err)
}

// TestPausedSealerCannotReviveDeletedSegment guards against a claim in a recreated
// segment: a claimant pauses between the seal and the creation of the next segment
// until others have used and deleted that segment.
func TestPausedSealerCannotReviveDeletedSegment(t *testing.T) {
	clock, store, ctx := newManualClock(), newHookStore(), context.Background()
	paused := &hookStore{Store: store.Store}
	a, b := newClaimer(t, paused, clock, smallSegments), newClaimer(t, store, clock, smallSegments)
	k := keys(2, clock.now())
	_, err := a.Claim(ctx, request(k[0], "e1"))
	assert.NilError(t, err)
	reached, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	paused.put = func(o objectapi.Object) error {
		if strings.HasSuffix(o.Name, "02") {
			once.Do(func() {
				close(reached)
				<-release
			})
		}
		return nil
	}
	contested := newKey(clock.now().Add(90*time.Minute), rand.New(rand.NewPCG(3, 3)))
	fromA := make(chan claim.Result, 1)
	go func() {
		// This claim triggers the seal, and its key expires during the pause.
		_, err := a.Claim(ctx, request(k[1], "e1"))
		var expired *claim.ExpiredError
		assert.Check(t, errors.As(err, &expired), "%v", err)
		result, err := a.Claim(ctx, request(contested, "e1"))
		assert.Check(t, err)
		fromA <- result
	}()
	<-reached
	for range 3 { // B uses the segments 2, 3 and 4
		_, err = b.Claim(ctx, request(newKey(clock.now(), rand.New(rand.NewPCG(4, uint64(clock.ms.Load())))), "e2"))
		assert.NilError(t, err)
		clock.advance(time.Second)
	}
	clock.advance(90 * time.Minute)
	fromB, err := b.Claim(ctx, request(contested, "e2"))
	assert.NilError(t, err)
	assert.Assert(t, fromB.Owned)
	assert.NilError(t, b.Expire(ctx))
	assert.Equal(t, segments(t, store), "5 head")
	close(release)
	assert.Equal(t, <-fromA, claim.Result{Record: fromB.Record})
	assert.NilError(t, b.Expire(ctx))
	assert.Equal(t, segments(t, store), "5 head", "the recreated segment was not deleted")
}

// TestSizeOfAnHour checks that 60 claims per second for an hour, extrapolated from a
// sample, stay within the platform's value limit and the memory budget of a node.
func TestSizeOfAnHour(t *testing.T) {
	const (
		claimsPerSecond = 60
		sample          = 2000
		endpointsInUse  = 16
		memoryBudget    = 64 << 20
	)
	clock, store, ctx := newManualClock(), newHookStore(), context.Background()
	c := newClaimer(t, store, clock, nil)
	for i, k := range keys(sample, clock.now()) {
		r := request(k, fmt.Sprintf("asistente-%02d", i%endpointsInUse))
		r.Target.Incarnation = id.Incarnation(fmt.Sprintf("inc_%032x", i%endpointsInUse))
		_, err := c.Claim(ctx, r)
		assert.NilError(t, err)
	}
	objects, _, err := store.Store.List(ctx, "claims-0000")
	assert.NilError(t, err)
	total := 0
	for _, o := range objects {
		total += len(o.Value)
		assert.Assert(t, len(o.Value) <= 16<<10+100, "object %s has %d bytes", o.Name, len(o.Value))
	}
	perClaim := float64(total) / sample
	perHour := perClaim * claimsPerSecond * time.Hour.Seconds()
	t.Logf("%.1f bytes per claim stored in %d objects, %.1f MB per hour, %.0f bytes written per claim without batching",
		perClaim, len(objects), perHour/1e6, float64(store.bytes.Load())/sample)
	assert.Assert(t, perHour < memoryBudget)
}

func TestConfigFindings(t *testing.T) {
	_, err := claim.New(claim.Config{Shards: -1, SegmentBytes: 1 << 20, Retention: -1})
	for _, want := range []string{"store", "shards", "segment bytes", "retention"} {
		assert.ErrorContains(t, err, want)
	}
}
