package retry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/siskinford/siskinford/core/outcome"
)

var epoch = time.Unix(1_000_000, 0)

func TestDecide(t *testing.T) {
	ample := epoch.Add(time.Minute)
	tests := []struct {
		name    string
		attempt Attempt
		want    bool
	}{
		{"not run", Attempt{Outcome: outcome.NotRun, Number: 1, Deadline: ample}, true},
		{"not run, no deadline", Attempt{Outcome: outcome.NotRun, Number: 1}, true},
		{"unknown", Attempt{Outcome: outcome.Unknown, Number: 1, Deadline: ample}, false},
		{"unknown, idempotent", Attempt{Outcome: outcome.Unknown, Idempotent: true, Number: 1, Deadline: ample}, true},
		{"ran", Attempt{Outcome: outcome.Ran, Number: 1, Deadline: ample}, false},
		{"ran, idempotent", Attempt{Outcome: outcome.Ran, Idempotent: true, Number: 1, Deadline: ample}, false},
		{"no outcome", Attempt{Idempotent: true, Number: 1, Deadline: ample}, false},
		{"attempts used up", Attempt{Outcome: outcome.NotRun, Number: 3, Deadline: ample}, false},
		{"deadline passed", Attempt{Outcome: outcome.NotRun, Number: 1, Deadline: epoch}, false},
		{"deadline before the retry", Attempt{Outcome: outcome.NotRun, Number: 1, Deadline: epoch.Add(9 * time.Millisecond)}, false},
		{"deadline before retry-after", Attempt{Outcome: outcome.NotRun, Number: 1, RetryAfter: time.Second, Deadline: epoch.Add(time.Second)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBudget(Config{})
			tt.attempt.Now = epoch
			_, ok := b.Decide(tt.attempt)
			assert.Equal(t, ok, tt.want)
			taken := 2 - b.Remaining()
			assert.Equal(t, taken == 1, tt.want, "a refused retry must not use the budget")
		})
	}
}

func TestBackoffGrowsWithJitter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewBudget(Config{Initial: 50, MaxAttempts: 20, Rand: rng.Float64})
	seen := map[time.Duration]bool{}
	for number := 1; number < 12; number++ {
		delay, ok := b.Decide(Attempt{Outcome: outcome.NotRun, Number: number, Now: epoch})
		assert.Assert(t, ok)
		bound := min(10*time.Millisecond<<(number-1), time.Second)
		assert.Assert(t, delay >= bound/2 && delay <= bound, "attempt %d: %s", number, delay)
		seen[delay] = true
	}
	assert.Assert(t, len(seen) > 8)
}

func TestRetryAfterIsKept(t *testing.T) {
	b := NewBudget(Config{})
	delay, ok := b.Decide(Attempt{Outcome: outcome.NotRun, Number: 1, RetryAfter: 3 * time.Second, Now: epoch})
	assert.Assert(t, ok)
	assert.Equal(t, delay, 3*time.Second)
}

// TestBudgetBound checks the documented bound on retries over random histories.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := rapid.IntRange(0, 10).Draw(t, "initial")
		ratio := rapid.SampledFrom([]float64{0.01, 0.08, 0.1, 0.5}).Draw(t, "ratio")
		cfg := Config{Initial: initial, Ratio: ratio}
		if initial == 0 {
			cfg.Initial = -1
		}
		b := NewBudget(cfg)
		first, retries := 0, 0
		for _, isFirst := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "attempts") {
			if isFirst {
				b.RecordRequest()
				first++
				continue
			}
			if _, ok := b.Decide(Attempt{Outcome: outcome.NotRun, Number: 1, Now: epoch}); ok {
				retries++
			}
			assert.Assert(t, float64(retries) <= float64(initial)+ratio*float64(first)+1e-9)
		}
	})
}

// TestDeadlineIsKept checks that no permitted retry starts past its deadline.
func TestDeadlineIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		b := NewBudget(Config{Initial: 50, Rand: rng.Float64})
		a := Attempt{
			Outcome:    outcome.NotRun,
			Number:     rapid.IntRange(1, 3).Draw(t, "attempts"),
			RetryAfter: time.Duration(rapid.IntRange(0, 50).Draw(t, "after")) * time.Millisecond,
			Now:        epoch,
			Deadline:   epoch.Add(time.Duration(rapid.IntRange(-5, 60).Draw(t, "deadline")) * time.Millisecond),
		}
		if delay, ok := b.Decide(a); ok {
			assert.Assert(t, a.Now.Add(delay).Before(a.Deadline))
		}
	})
}

// TestThirdOfEndpointsFailing checks the bound on attempts while each fails with probability 1/3.
func TestThirdOfEndpointsFailing(t *testing.T) {
	const requests = 30_000
	for _, seed := range []uint64{1, 2, 3} {
		rng := rand.New(rand.NewPCG(seed, 0))
		b := NewBudget(Config{Rand: rng.Float64})
		total := 0
		for range requests {
			b.RecordRequest()
			for number := 1; ; number++ {
				total++
				if rng.IntN(3) != 0 {
					break
				}
				if _, ok := b.Decide(Attempt{Outcome: outcome.NotRun, Number: number, Now: epoch}); !ok {
					break
				}
			}
		}
		assert.Assert(t, total <= requests*11/10, "seed %d: %d attempts", seed, total)
		assert.Assert(t, total > requests*107/100, "seed %d: the budget must be used, %d attempts", seed, total)
	}
}

func TestBudgetConcurrent(t *testing.T) {
	b := NewBudget(Config{})
	var permitted atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.RecordRequest()
				if _, ok := b.Decide(Attempt{Outcome: outcome.NotRun, Number: 1, Now: epoch}); ok {
					permitted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Assert(t, permitted.Load() <= 2+8000*8/100)
}
