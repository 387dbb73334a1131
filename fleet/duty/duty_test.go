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

// fleet is a store with faults, a clock and holders a and b.
type fleet struct {
	*memstore.Store
	t     *testing.T
	time  time.Time
	fault func(o objectapi.Object) (objectapi.Object, error)
	down  bool
	a, b  *duty.Lease
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{Store: memstore.New(memstore.Config{}), t: t, time: time.Unix(1000, 0)}
	f.a, f.b = f.lease("a"), f.lease("b")
	return f
}

func (f *fleet) lease(holder string) *duty.Lease {
	l, err := duty.NewLease(duty.LeaseConfig{
		Store: f, Duty: "plan", Holder: holder, TTL: ttl, Now: func() time.Time { return f.time },
	})
	assert.NilError(f.t, err)
	return l
}

func (f *fleet) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	if f.down {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errors.New("outage")}
	}
	if fault := f.fault; fault != nil {
		f.fault = nil
		return fault(o)
	}
	return f.Store.Put(ctx, o)
}

func (f *fleet) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if f.down {
		return objectapi.Object{}, &objectapi.UnavailableError{Cause: errors.New("outage")}
	}
	return f.Store.Get(ctx, kind, name)
}

// loseAnswer makes the next write take effect without an answer.
func (f *fleet) loseAnswer() {
	f.fault = func(o objectapi.Object) (objectapi.Object, error) {
		_, _ = f.Store.Put(context.Background(), o)
		return objectapi.Object{}, &objectapi.OutcomeUnknownError{Cause: errors.New("answer lost")}
	}
}

// delay makes the next write arrive, unanswered, when the returned function is called.
func (f *fleet) delay() func() {
	var late objectapi.Object
	f.fault = func(o objectapi.Object) (objectapi.Object, error) {
		late = o
		return objectapi.Object{}, &objectapi.OutcomeUnknownError{Cause: errors.New("answer lost")}
	}
	return func() { _, _ = f.Store.Put(context.Background(), late) }
}

// slow makes the next write take a TTL to be answered. The observer steps as
// soon as the write took effect.
func (f *fleet) slow(observer *duty.Lease) {
	f.fault = func(o objectapi.Object) (objectapi.Object, error) {
		written, err := f.Store.Put(context.Background(), o)
		_ = observer.AcquireOrRenew(context.Background())
		f.pass(ttl)
		return written, err
	}
}

func (f *fleet) pass(d time.Duration) { f.time = f.time.Add(d) }

func (f *fleet) step(leases ...*duty.Lease) {
	f.t.Helper()
	for _, l := range leases {
		assert.NilError(f.t, l.AcquireOrRenew(context.Background()))
	}
}

func (f *fleet) fails(l *duty.Lease, want any) {
	f.t.Helper()
	err := l.AcquireOrRenew(context.Background())
	assert.Assert(f.t, errors.As(err, want), "%v", err)
}

// holds asserts the epochs held by a and b, zero for none.
func (f *fleet) holds(a, b uint64) {
	f.t.Helper()
	gotA, _ := f.a.Valid(f.time)
	gotB, _ := f.b.Valid(f.time)
	assert.Equal(f.t, gotA, a)
	assert.Equal(f.t, gotB, b)
}

func TestLease(t *testing.T) {
	var unknown *objectapi.OutcomeUnknownError
	var unavailable *objectapi.UnavailableError
	cases := map[string]func(f *fleet){
		"one of two takers wins": func(f *fleet) {
			f.step(f.a, f.b)
			f.holds(1, 0)
		},
		"renewal keeps the epoch": func(f *fleet) {
			for range 10 {
				f.step(f.a, f.b)
				f.pass(ttl / 3)
				f.holds(1, 0)
			}
		},
		"taken over only after expiry on the taker's clock": func(f *fleet) {
			f.step(f.a)
			f.pass(ttl)
			f.step(f.b) // first sees the version now
			f.holds(0, 0)
			f.pass(ttl)
			f.step(f.b)
			f.holds(0, 0)
			f.pass(ttl / 20)
			f.step(f.b)
			f.holds(0, 2)
		},
		"holder paused past its lease": func(f *fleet) {
			f.step(f.a, f.b)
			f.pass(2 * ttl)
			f.step(f.b)
			f.holds(0, 2)
			f.step(f.a)
			f.holds(0, 2)
		},
		"paused holder without a taker keeps its epoch": func(f *fleet) {
			f.step(f.a)
			f.pass(2 * ttl)
			f.holds(0, 0)
			f.step(f.a)
			f.holds(1, 0)
		},
		"answer lost on renewal": func(f *fleet) {
			f.step(f.a)
			f.pass(ttl / 2)
			f.loseAnswer()
			f.fails(f.a, &unknown)
			f.holds(1, 0)
			f.pass(ttl / 2) // an unconfirmed renewal does not count
			f.holds(0, 0)
			f.step(f.a)
			f.holds(1, 0)
		},
		"answer lost on acquisition": func(f *fleet) {
			f.loseAnswer()
			f.fails(f.a, &unknown)
			f.holds(0, 0)
			f.step(f.b, f.a)
			f.holds(1, 0)
		},
		"slow answer counts from before the write": func(f *fleet) {
			f.slow(f.b)
			f.step(f.a)
			f.holds(0, 0)
			f.pass(ttl / 10)
			f.step(f.b)
			f.holds(0, 2)
		},
		"late renewal after a take-over": func(f *fleet) {
			f.step(f.a, f.b)
			arrive := f.delay()
			f.fails(f.a, &unknown)
			f.pass(2 * ttl)
			f.step(f.b)
			arrive()
			f.step(f.a, f.b)
			f.holds(0, 2)
		},
		"late renewal before a take-over": func(f *fleet) {
			f.step(f.a, f.b)
			arrive := f.delay()
			f.fails(f.a, &unknown)
			f.pass(2 * ttl)
			arrive()
			f.step(f.b) // loses to the renewal and counts from now
			f.holds(0, 0)
			f.step(f.a)
			f.holds(1, 0)
		},
		"outage outlasts the lease": func(f *fleet) {
			f.step(f.a, f.b)
			f.down = true
			f.fails(f.a, &unavailable)
			f.holds(1, 0)
			f.pass(2 * ttl)
			f.fails(f.b, &unavailable)
			f.holds(0, 0)
			f.down = false
			f.step(f.b, f.a)
			f.holds(0, 2)
		},
		"release hands over at once": func(f *fleet) {
			f.step(f.a, f.b)
			assert.NilError(f.t, f.a.Release(context.Background()))
			f.holds(0, 0)
			f.step(f.b)
			f.holds(0, 2)
			f.step(f.a)
			f.holds(0, 2)
		},
		"release during an outage ends the lease all the same": func(f *fleet) {
			f.step(f.a)
			f.down = true
			assert.Assert(f.t, errors.As(f.a.Release(context.Background()), &unavailable))
			f.holds(0, 0)
		},
		"taking back after a release grows the epoch": func(f *fleet) {
			f.step(f.a)
			assert.NilError(f.t, f.a.Release(context.Background()))
			f.step(f.a)
			f.holds(2, 0)
		},
		"an older version is not obeyed": func(f *fleet) {
			f.step(f.a, f.b)
			f.pass(2 * ttl)
			f.step(f.b)
			f.step(f.a)
			current := f.Store
			f.Store = memstore.New(memstore.Config{})
			var older *duty.StaleReadError
			f.fails(f.a, &older)
			f.Store = current
			f.holds(0, 2)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(newFleet(t)) })
	}
}

// TestLeaseSchedules runs random schedules of three holders with lost answers,
// late writes, slow writes and outages. At no time do two hold the lease, and
// the epoch grows with each change of the holder.
func TestLeaseSchedules(t *testing.T) {
	const steps = 60
	takeOvers := 0
	for seed := range *leaseCases {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		f := newFleet(t)
		holders := []*duty.Lease{f.a, f.b, f.lease("c")}
		var late []func()
		lastHolder, lastEpoch := -1, uint64(0)
		for range steps {
			actor := random.IntN(len(holders))
			l, observer := holders[actor], holders[(actor+1)%len(holders)]
			f.disturb(random, observer, &late)
			if random.IntN(12) == 0 {
				_ = l.Release(context.Background())
			} else {
				_ = l.AcquireOrRenew(context.Background())
			}
			f.pass(time.Duration(random.Int64N(int64(ttl / 2))))
			valid := 0
			for i, l := range holders {
				epoch, ok := l.Valid(f.time)
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

// disturb prepares a fault for the next write, or none.
func (f *fleet) disturb(random *rand.Rand, observer *duty.Lease, late *[]func()) {
	f.down = random.IntN(10) == 0
	f.fault = nil
	switch random.IntN(8) {
	case 0:
		f.loseAnswer()
	case 1:
		*late = append(*late, f.delay())
	case 2:
		f.slow(observer)
	case 3:
		if len(*late) > 0 {
			(*late)[0]()
			*late = (*late)[1:]
		}
	}
}
