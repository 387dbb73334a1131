package duty_test

import (
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
)

var leaseCases = flag.Int("duty.cases", 2000, "number of random lease schedules")

const ttl = 10 * time.Second

// harness is a store with injected faults, a manual clock and two leases, a and b.
type harness struct {
	*memstore.Store
	t     *testing.T
	now   time.Time
	fault func(o objectapi.Object) (objectapi.Object, error)
	down  bool
	a, b  *duty.Lease
}

func newHarness(t *testing.T) *harness {
	f := &harness{Store: memstore.New(memstore.Config{}), t: t, now: time.Unix(1000, 0)}
	f.a, f.b = f.lease("a"), f.lease("b")
	return f
}

func (f *harness) lease(holder string) *duty.Lease {
	l, err := duty.NewLease(duty.LeaseConfig{
		Store: f, Duty: "plan", Holder: holder, TTL: ttl, Now: func() time.Time { return f.now },
	})
	assert.NilError(f.t, err)
	return l
}

func (f *harness) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	if f.down {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errors.New("outage")}
	}
	if fault := f.fault; fault != nil {
		f.fault = nil
		return fault(o)
	}
	return f.Store.Put(ctx, o)
}

func (f *harness) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if f.down {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errors.New("outage")}
	}
	return f.Store.Get(ctx, kind, name)
}

// loseNextAnswer makes the next write succeed but its answer get lost.
func (f *harness) loseNextAnswer() {
	f.fault = func(o objectapi.Object) (objectapi.Object, error) {
		_, _ = f.Store.Put(context.Background(), o)
		return objectapi.Object{}, &objectapi.OutcomeUnknownError{Cause: errors.New("answer lost")}
	}
}

// delayNextWrite applies the next write, unanswered, when the returned function is called.
func (f *harness) delayNextWrite() func() {
	var late objectapi.Object
	f.fault = func(o objectapi.Object) (objectapi.Object, error) {
		late = o
		return objectapi.Object{}, &objectapi.OutcomeUnknownError{Cause: errors.New("answer lost")}
	}
	return func() { _, _ = f.Store.Put(context.Background(), late) }
}

// slowNextWrite delays the answer of the next write by a TTL. The observer steps
// as soon as the write took effect.
func (f *harness) slowNextWrite(observer *duty.Lease) {
	f.fault = func(o objectapi.Object) (objectapi.Object, error) {
		written, err := f.Store.Put(context.Background(), o)
		_ = observer.AcquireOrRenew(context.Background())
		f.advance(ttl)
		return written, err
	}
}

func (f *harness) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *harness) step(leases ...*duty.Lease) {
	f.t.Helper()
	for _, l := range leases {
		assert.NilError(f.t, l.AcquireOrRenew(context.Background()))
	}
}

func (f *harness) assertStepFails(l *duty.Lease, want any) {
	f.t.Helper()
	err := l.AcquireOrRenew(context.Background())
	assert.Assert(f.t, errors.As(err, want), "%v", err)
}

// assertHeld checks the fencing tokens held by a and b, zero for none.
func (f *harness) assertHeld(a, b uint64) {
	f.t.Helper()
	gotA, _ := f.a.Valid(f.now)
	gotB, _ := f.b.Valid(f.now)
	assert.Equal(f.t, gotA, a)
	assert.Equal(f.t, gotB, b)
}

func TestLease(t *testing.T) {
	var unknown *objectapi.OutcomeUnknownError
	var unavailable *objectapi.UnavailableError
	cases := map[string]func(f *harness){
		"one of two takers wins": func(f *harness) {
			f.step(f.a, f.b)
			f.assertHeld(1, 0)
		},
		"renewal keeps the epoch": func(f *harness) {
			for range 10 {
				f.step(f.a, f.b)
				f.advance(ttl / 3)
				f.assertHeld(1, 0)
			}
		},
		"taken over only after expiry on the taker's clock": func(f *harness) {
			f.step(f.a)
			f.advance(ttl)
			f.step(f.b) // observes the version for the first time
			f.assertHeld(0, 0)
			f.advance(ttl)
			f.step(f.b)
			f.assertHeld(0, 0)
			f.advance(ttl / 20)
			f.step(f.b)
			f.assertHeld(0, 2)
		},
		"holder paused past its lease": func(f *harness) {
			f.step(f.a, f.b)
			f.advance(2 * ttl)
			f.step(f.b)
			f.assertHeld(0, 2)
			f.step(f.a)
			f.assertHeld(0, 2)
		},
		"paused holder without a taker keeps its epoch": func(f *harness) {
			f.step(f.a)
			f.advance(2 * ttl)
			f.assertHeld(0, 0)
			f.step(f.a)
			f.assertHeld(1, 0)
		},
		"answer lost on renewal": func(f *harness) {
			f.step(f.a)
			f.advance(ttl / 2)
			f.loseNextAnswer()
			f.assertStepFails(f.a, &unknown)
			f.assertHeld(1, 0)
			f.advance(ttl / 2) // an unconfirmed renewal does not count
			f.assertHeld(0, 0)
			f.step(f.a)
			f.assertHeld(1, 0)
		},
		"answer lost on acquisition": func(f *harness) {
			f.loseNextAnswer()
			f.assertStepFails(f.a, &unknown)
			f.assertHeld(0, 0)
			f.step(f.b, f.a)
			f.assertHeld(1, 0)
		},
		"slow answer counts from before the write": func(f *harness) {
			f.slowNextWrite(f.b)
			f.step(f.a)
			f.assertHeld(0, 0)
			f.advance(ttl / 10)
			f.step(f.b)
			f.assertHeld(0, 2)
		},
		"late renewal after a take-over": func(f *harness) {
			f.step(f.a, f.b)
			arrive := f.delayNextWrite()
			f.assertStepFails(f.a, &unknown)
			f.advance(2 * ttl)
			f.step(f.b)
			arrive()
			f.step(f.a, f.b)
			f.assertHeld(0, 2)
		},
		"late renewal before a take-over": func(f *harness) {
			f.step(f.a, f.b)
			arrive := f.delayNextWrite()
			f.assertStepFails(f.a, &unknown)
			f.advance(2 * ttl)
			arrive()
			f.step(f.b) // conflicts with the renewal and restarts the TTL
			f.assertHeld(0, 0)
			f.step(f.a)
			f.assertHeld(1, 0)
		},
		"outage outlasts the lease": func(f *harness) {
			f.step(f.a, f.b)
			f.down = true
			f.assertStepFails(f.a, &unavailable)
			f.assertHeld(1, 0)
			f.advance(2 * ttl)
			f.assertStepFails(f.b, &unavailable)
			f.assertHeld(0, 0)
			f.down = false
			f.step(f.b, f.a)
			f.assertHeld(0, 2)
		},
		"release hands over at once": func(f *harness) {
			f.step(f.a, f.b)
			assert.NilError(f.t, f.a.Release(context.Background()))
			f.assertHeld(0, 0)
			f.step(f.b)
			f.assertHeld(0, 2)
			f.step(f.a)
			f.assertHeld(0, 2)
		},
		"release during an outage ends the lease all the same": func(f *harness) {
			f.step(f.a)
			f.down = true
			assert.Assert(f.t, errors.As(f.a.Release(context.Background()), &unavailable))
			f.assertHeld(0, 0)
		},
		"taking back after a release grows the epoch": func(f *harness) {
			f.step(f.a)
			assert.NilError(f.t, f.a.Release(context.Background()))
			f.step(f.a)
			f.assertHeld(2, 0)
		},
		"a stale read is rejected": func(f *harness) {
			f.step(f.a, f.b)
			f.advance(2 * ttl)
			f.step(f.b)
			f.step(f.a)
			current := f.Store
			f.Store = memstore.New(memstore.Config{})
			var older *duty.StaleReadError
			f.assertStepFails(f.a, &older)
			f.Store = current
			f.assertHeld(0, 2)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(newHarness(t)) })
	}
}

// TestLeaseSchedules runs random schedules of three holders with lost answers,
// late writes, slow writes and outages. It checks that at most one process holds
// the lease and that the fencing token grows with each change of the holder.
func TestLeaseSchedules(t *testing.T) {
	const steps = 60
	takeOvers := 0
	for seed := range *leaseCases {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		f := newHarness(t)
		holders := []*duty.Lease{f.a, f.b, f.lease("c")}
		var late []func()
		lastHolder, lastEpoch := -1, uint64(0)
		for range steps {
			actor := random.IntN(len(holders))
			l, observer := holders[actor], holders[(actor+1)%len(holders)]
			f.injectFault(random, observer, &late)
			if random.IntN(12) == 0 {
				_ = l.Release(context.Background())
			} else {
				_ = l.AcquireOrRenew(context.Background())
			}
			f.advance(time.Duration(random.Int64N(int64(ttl / 2))))
			valid := 0
			for i, l := range holders {
				epoch, ok := l.Valid(f.now)
				if !ok {
					continue
				}
				valid++
				assert.Assert(t, epoch > lastEpoch || (i == lastHolder && epoch == lastEpoch),
					"seed %d: holder %d has epoch %d after holder %d with %d", seed, i, epoch, lastHolder, lastEpoch)
				if i != lastHolder {
					takeOvers++
				}
				lastHolder, lastEpoch = i, epoch
			}
			assert.Assert(t, valid <= 1, "seed %d: %d holders at once", seed, valid)
		}
	}
	t.Logf("%d take-overs in %d schedules", takeOvers, *leaseCases)
	assert.Assert(t, takeOvers > *leaseCases)
}

// injectFault selects a random fault, or none, for the next write.
func (f *harness) injectFault(random *rand.Rand, observer *duty.Lease, late *[]func()) {
	f.down = random.IntN(10) == 0
	f.fault = nil
	switch random.IntN(8) {
	case 0:
		f.loseNextAnswer()
	case 1:
		*late = append(*late, f.delayNextWrite())
	case 2:
		f.slowNextWrite(observer)
	case 3:
		if len(*late) > 0 {
			(*late)[0]()
			*late = (*late)[1:]
		}
	}
}
