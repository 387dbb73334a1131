package claim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/claim"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
)

var (
	historyCases = flag.Int("claim.cases", 300, "number of histories")
	historySeed  = flag.Uint64("claim.seed", 1, "seed of the first history")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// faultyStore is a store with seeded random faults in reads and writes.
type faultyStore struct {
	*memstore.Store

	mu      sync.Mutex
	random  *rand.Rand
	delayed []objectapi.Object
	// noStaleReads makes reads return the stored version.
	noStaleReads bool
}

func (f *faultyStore) percent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100)
}

// yieldRandomly yields to other goroutines, as the wait for a slow platform does.
func (f *faultyStore) yieldRandomly() {
	for range f.percent() / 20 {
		runtime.Gosched()
	}
}

// deliverDelayed applies the oldest delayed write with a probability of 1/3.
func (f *faultyStore) deliverDelayed() {
	f.mu.Lock()
	var o objectapi.Object
	due := len(f.delayed) > 0 && f.random.IntN(3) == 0
	if due {
		o, f.delayed = f.delayed[0], f.delayed[1:]
	}
	f.mu.Unlock()
	if due {
		_, _ = f.Store.Put(context.Background(), o)
	}
}

func (f *faultyStore) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	f.yieldRandomly()
	f.deliverDelayed()
	unknown := &objectapi.OutcomeUnknownError{Kind: o.Kind, Name: o.Name, Cause: errors.New("response lost")}
	switch r := f.percent(); {
	case r < 8: // the write takes effect and the response is lost
		_, _ = f.Store.Put(ctx, o)
		return objectapi.Object{}, unknown
	case r < 12: // the write is lost
		return objectapi.Object{}, unknown
	case r < 20: // the write arrives later
		f.mu.Lock()
		f.delayed = append(f.delayed, o)
		f.mu.Unlock()
		return objectapi.Object{}, unknown
	case r < 23:
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errors.New("outage")}
	}
	written, err := f.Store.Put(ctx, o)
	f.yieldRandomly()
	return written, err
}

func (f *faultyStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	f.yieldRandomly()
	switch r := f.percent(); {
	case r < 4:
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errors.New("outage")}
	case r < 12 && !f.noStaleReads:
		return f.GetEarlier(ctx, kind, name, 1+r%3)
	}
	return f.Store.Get(ctx, kind, name)
}

// tickingClock advances by step at each reading.
type tickingClock struct {
	ticks atomic.Int64
	step  time.Duration
}

func (c *tickingClock) now() time.Time {
	return time.UnixMilli(startMS).Add(time.Duration(c.ticks.Add(1)) * c.step)
}

const startMS = 1_800_000_000_000

// newKey returns a key with the creation time t.
func newKey(t time.Time, random *rand.Rand) claim.Key {
	ms := t.UnixMilli()
	text := fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, random.IntN(1<<12), random.IntN(1<<12), random.Int64N(1<<48))
	k, err := claim.ParseKey(text)
	if err != nil {
		panic(err)
	}
	return k
}

// call and reply are the input and output of an operation in a history. A record is
// identified by the endpoint of its target, which is unique to the call.
type call struct {
	key      int
	endpoint string
	// lookup only reads.
	lookup bool
}

type reply struct {
	// record is the endpoint of the record, empty if a lookup found none.
	record  string
	owned   bool
	unknown bool
}

// model is a write-once register for each key.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		stored, in, out := state.(string), input.(call), output.(reply)
		switch {
		case in.lookup && out.record == stored:
			return []any{stored}
		case in.lookup:
			return nil
		case out.unknown && stored == "":
			return []any{"", in.endpoint}
		case out.unknown:
			return []any{stored}
		case out.owned && stored == "" && out.record == in.endpoint:
			return []any{in.endpoint}
		case !out.owned && stored != "" && out.record == stored:
			return []any{stored}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, o := range history {
			byKey[o.Input.(call).key] = append(byKey[o.Input.(call).key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
}

// history records the operations of many claimants on one faulty store.
type history struct {
	seed     uint64
	lookups  bool
	claimers []*claim.Claimer
	keys     []claim.Key
	time     atomic.Int64

	mu     sync.Mutex
	ops    []porcupine.Operation
	counts map[string]int
}

const (
	claimants       = 4
	callersPerClaim = 3
	callsPerCaller  = 5
	keysPerHistory  = 6
)

func runHistory(t *testing.T, seed uint64) *history {
	random := rand.New(rand.NewPCG(seed, seed))
	store := &faultyStore{Store: memstore.New(memstore.Config{}), random: rand.New(rand.NewPCG(seed, 0))}
	clock := &tickingClock{step: time.Millisecond}
	if seed%2 == 0 {
		clock.step = 500 * time.Millisecond // keys expire and segments are deleted during the run
	}
	h := &history{seed: seed, counts: map[string]int{}}
	// Lookups are linearizable only if reads of the platform are not stale.
	h.lookups = seed%3 == 0
	store.noStaleReads = h.lookups
	for range claimants {
		c, err := claim.New(claim.Config{
			Store: store, Shards: 1, Retention: 100 * time.Second, MaxSkew: time.Second,
			SegmentBytes: 100 + random.IntN(200), SegmentAge: time.Duration(1+random.IntN(40)) * time.Second,
			Timeout: time.Hour, FlushTimeout: time.Hour, Now: clock.now,
		})
		assert.NilError(t, err)
		h.claimers = append(h.claimers, c)
	}
	for range keysPerHistory {
		h.keys = append(h.keys, newKey(time.UnixMilli(startMS), random))
	}
	var wg sync.WaitGroup
	for i := range claimants * callersPerClaim {
		callerRandom := rand.New(rand.NewPCG(seed, uint64(i)+1))
		wg.Go(func() { h.runCaller(i, callerRandom) })
	}
	wg.Wait()
	for _, c := range h.claimers {
		c.Close()
	}
	return h
}

func (h *history) runCaller(i int, random *rand.Rand) {
	c := h.claimers[i%claimants]
	for n := range callsPerCaller {
		if random.IntN(6) == 0 {
			_ = c.Expire(context.Background())
		}
		in := call{key: random.IntN(len(h.keys)), endpoint: fmt.Sprintf("e%d-%d", i, n)}
		ctx, cancel := context.WithCancel(context.Background())
		if random.IntN(6) == 0 {
			spins := random.IntN(40)
			go func() {
				for range spins {
					runtime.Gosched()
				}
				cancel()
			}()
		}
		in.lookup = h.lookups && random.IntN(3) == 0
		start := h.time.Add(1)
		result, err := h.call(ctx, c, in)
		h.record(i, in, start, result, err)
		cancel()
	}
}

func (h *history) call(ctx context.Context, c *claim.Claimer, in call) (claim.Result, error) {
	if !in.lookup {
		return c.Claim(ctx, claim.Request{
			Team: "t", Service: "s", Key: h.keys[in.key], Target: claim.Target{Endpoint: id.Endpoint(in.endpoint)},
		})
	}
	record, err := c.Lookup(ctx, "t", "s", h.keys[in.key])
	var notClaimed *claim.NotClaimedError
	if errors.As(err, &notClaimed) {
		err = nil
	}
	return claim.Result{Record: record}, err
}

func (h *history) record(client int, in call, start int64, result claim.Result, err error) {
	end := h.time.Add(1)
	out := reply{record: string(result.Record.Target.Endpoint), owned: result.Owned}
	var unknown *claim.OutcomeUnknownError
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case errors.As(err, &unknown):
		out.unknown = true
		end = math.MaxInt64 // the write may take effect at any later time
		h.counts["unknown"]++
	case err != nil:
		h.counts[fmt.Sprintf("%T", err)]++
		return // the operation had no effect
	case in.lookup:
		h.counts["lookup"]++
	case out.owned:
		h.counts["owned"]++
	default:
		h.counts["found"]++
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: start, Return: end})
}

// TestHistories checks that claims of a key are linearizable: at most one record, owned
// by exactly the call that made it and returned to all others, despite lost responses,
// late writes, stale reads, outages, seals, deletions and canceled calls.
// More cases: go test ./fleet/claim -run Histories -claim.cases 5000.
func TestHistories(t *testing.T) {
	counts := map[string]int{}
	m := model.ToModel()
	for i := range *historyCases {
		h := runHistory(t, *historySeed+uint64(i))
		assert.Assert(t, porcupine.CheckOperations(m, h.ops), "history of seed %d is not linearizable", h.seed)
		for outcome, n := range h.counts {
			counts[outcome] += n
		}
	}
	t.Logf("outcomes over %d histories: %v", *historyCases, counts)
	for _, outcome := range []string{"owned", "found", "lookup", "unknown", "*claim.UnavailableError", "*claim.ExpiredError"} {
		assert.Assert(t, counts[outcome] > 0, "no case led to %s", outcome)
	}
}
