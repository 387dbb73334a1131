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

// faultyStore is a store whose writes and reads fail by seeded chance.
type faultyStore struct {
	*memstore.Store

	mu      sync.Mutex
	random  *rand.Rand
	delayed []objectapi.Object
	// current makes reads show what is stored, never an older version.
	current bool
}

func (f *faultyStore) roll() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100)
}

// yieldSome lets other goroutines run, as a slow platform would.
func (f *faultyStore) yieldSome() {
	for range f.roll() / 20 {
		runtime.Gosched()
	}
}

// deliver applies a delayed write at a random later time.
func (f *faultyStore) deliver() {
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
	f.yieldSome()
	f.deliver()
	unknown := &objectapi.OutcomeUnknownError{Kind: o.Kind, Name: o.Name, Cause: errors.New("answer lost")}
	switch r := f.roll(); {
	case r < 8: // the answer is lost after the effect
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
	f.yieldSome()
	return written, err
}

func (f *faultyStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	f.yieldSome()
	switch r := f.roll(); {
	case r < 4:
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errors.New("outage")}
	case r < 12 && !f.current:
		return f.GetEarlier(ctx, kind, name, 1+r%3)
	}
	return f.Store.Get(ctx, kind, name)
}

// tickingClock advances by a step at each reading.
type tickingClock struct {
	ticks atomic.Int64
	step  time.Duration
}

func (c *tickingClock) now() time.Time {
	return time.UnixMilli(startMS).Add(time.Duration(c.ticks.Add(1)) * c.step)
}

const startMS = 1_800_000_000_000

// newKey returns a key made at t.
func newKey(t time.Time, random *rand.Rand) claim.Key {
	ms := t.UnixMilli()
	text := fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, random.IntN(1<<12), random.IntN(1<<12), random.Int64N(1<<48))
	k, err := claim.ParseKey(text)
	if err != nil {
		panic(err)
	}
	return k
}

// call and reply are one operation of a history. A record is identified by the
// endpoint of its target, which is different for each call.
type call struct {
	key int
	own string
	// lookup only reads.
	lookup bool
}

type reply struct {
	// record is empty if a lookup found none.
	record  string
	mine    bool
	unknown bool
}

// model is a cell that is written at most once.
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
			return []any{"", in.own}
		case out.unknown:
			return []any{stored}
		case out.mine && stored == "" && out.record == in.own:
			return []any{in.own}
		case !out.mine && stored != "" && out.record == stored:
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

// history runs many claimants against one faulty store.
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
	// A lookup is only as current as the platform's reads.
	h.lookups = seed%3 == 0
	store.current = h.lookups
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
		wg.Go(func() { h.caller(i, callerRandom) })
	}
	wg.Wait()
	for _, c := range h.claimers {
		c.Close()
	}
	return h
}

func (h *history) caller(i int, random *rand.Rand) {
	c := h.claimers[i%claimants]
	for n := range callsPerCaller {
		if random.IntN(6) == 0 {
			_ = c.Expire(context.Background())
		}
		in := call{key: random.IntN(len(h.keys)), own: fmt.Sprintf("e%d-%d", i, n)}
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
		begun := h.time.Add(1)
		result, err := h.call(ctx, c, in)
		h.record(i, in, begun, result, err)
		cancel()
	}
}

func (h *history) call(ctx context.Context, c *claim.Claimer, in call) (claim.Result, error) {
	if !in.lookup {
		return c.Claim(ctx, claim.Request{
			Team: "t", Service: "s", Key: h.keys[in.key], Target: claim.Target{Endpoint: id.Endpoint(in.own)},
		})
	}
	record, err := c.Lookup(ctx, "t", "s", h.keys[in.key])
	var notClaimed *claim.NotClaimedError
	if errors.As(err, &notClaimed) {
		err = nil
	}
	return claim.Result{Record: record}, err
}

func (h *history) record(client int, in call, begun int64, result claim.Result, err error) {
	ended := h.time.Add(1)
	out := reply{record: string(result.Record.Target.Endpoint), mine: result.Owned}
	var unknown *claim.OutcomeUnknownError
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case errors.As(err, &unknown):
		out.unknown = true
		ended = math.MaxInt64 // the write may arrive at any later time
		h.counts["unknown"]++
	case err != nil:
		h.counts[fmt.Sprintf("%T", err)]++
		return // without effect
	case in.lookup:
		h.counts["lookup"]++
	case out.mine:
		h.counts["mine"]++
	default:
		h.counts["found"]++
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: begun, Return: ended})
}

// TestHistories checks that each key has at most one record, that exactly the
// call that made it is told so, and that all calls learn the same one, under
// lost answers, late writes, stale reads, outages, seals, deletions and
// callers that give up. More cases: go test ./fleet/claim -run Histories -claim.cases 5000.
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
	for _, outcome := range []string{"mine", "found", "lookup", "unknown", "*claim.UnavailableError", "*claim.ExpiredError"} {
		assert.Assert(t, counts[outcome] > 0, "no case led to %s", outcome)
	}
}
