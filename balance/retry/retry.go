// Package retry decides whether and when a failed request is retried.
//
// Only a request that is known not to have run, or that is idempotent, is
// retried. A retry budget proportional to the number of requests bounds the
// additional load when many endpoints fail at once.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/core/outcome"
)

const (
	// creditUnit is the credit that one retry costs.
	creditUnit = 1_000_000
	// maxDoublings bounds the exponent of the backoff.
	maxDoublings = 16
)

// Config holds the settings of a Budget. Zero values select the defaults.
type Config struct {
	// Ratio is the number of retries that each request permits. Default: 0.08.
	Ratio float64
	// Initial is the number of retries permitted before any request.
	// Unit: retries. Default: 2. Negative: none.
	Initial int
	// Burst bounds the retries that the budget accumulates. Unit: retries. Default: 50.
	Burst int
	// MaxAttempts bounds the attempts of one request, the first included. Unit: attempts. Default: 3.
	MaxAttempts int
	// BaseDelay is the longest delay before the second attempt. It doubles for each
	// further one. Unit: duration. Default: 10 ms.
	BaseDelay time.Duration
	// MaxDelay bounds the backoff. Unit: duration. Default: 1 s.
	MaxDelay time.Duration
	// MinRemaining is the least time before the deadline at which a retry is
	// worthwhile. Unit: duration. Default: 5 ms.
	MinRemaining time.Duration
	// Rand returns uniform numbers in [0, 1) and is safe for concurrent use.
	// Default: the runtime's generator.
	Rand func() float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Ratio, 0.08)
	setDefault(&c.Initial, 2)
	setDefault(&c.Burst, 50)
	setDefault(&c.MaxAttempts, 3)
	setDefault(&c.BaseDelay, 10*time.Millisecond)
	setDefault(&c.MaxDelay, time.Second)
	setDefault(&c.MinRemaining, 5*time.Millisecond)
	c.Initial = max(c.Initial, 0)
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
	return c
}

func setDefault[T int | float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Attempt describes a failed attempt of a request.
type Attempt struct {
	Outcome outcome.Outcome
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Number is the number of the attempt, 1 for the first.
	Number int
	// RetryAfter is the least delay, as requested by the endpoint. Zero means none.
	RetryAfter time.Duration
	// Deadline of the request. Zero means none.
	Deadline time.Time
	Now      time.Time
}

// retryable reports whether a retry cannot run a non-idempotent request twice.
func (a Attempt) retryable() bool {
	switch a.Outcome {
	case outcome.NotRun:
		return true
	case outcome.Unknown:
		return a.Idempotent
	default:
		return false
	}
}

// Budget bounds the retries of an entry, over all its requests. It is safe for
// concurrent use.
//
// After n requests at most Initial + Ratio*n retries were permitted. With the
// defaults, attempts stay below 1.1 for each request from 100 requests on.
type Budget struct {
	cfg    Config
	credit atomic.Int64 // in units of 1/creditUnit retries
}

// NewBudget returns a budget.
func NewBudget(cfg Config) *Budget {
	b := &Budget{cfg: cfg.withDefaults()}
	b.credit.Store(int64(min(b.cfg.Initial, b.cfg.Burst)) * creditUnit)
	return b
}

// RecordRequest counts a request, without its retries. The request handler calls it
// once for each request that it dispatches.
func (b *Budget) RecordRequest() {
	limit := int64(b.cfg.Burst) * creditUnit
	earned := int64(b.cfg.Ratio * creditUnit)
	for {
		old := b.credit.Load()
		if old >= limit {
			return
		}
		if b.credit.CompareAndSwap(old, min(old+earned, limit)) {
			return
		}
	}
}

// Decide reports whether a failed attempt may be retried and after which delay.
// A permitted retry is deducted from the budget.
func (b *Budget) Decide(a Attempt) (time.Duration, bool) {
	if !a.retryable() || a.Number >= b.cfg.MaxAttempts {
		return 0, false
	}
	delay := max(b.backoff(a.Number), a.RetryAfter)
	if !a.Deadline.IsZero() && a.Now.Add(delay+b.cfg.MinRemaining).After(a.Deadline) {
		return 0, false
	}
	if !b.spend() {
		return 0, false
	}
	return delay, true
}

// backoff returns a random delay between half and all of a bound that doubles with each attempt.
func (b *Budget) backoff(number int) time.Duration {
	doublings := min(max(number-1, 0), maxDoublings)
	bound := min(b.cfg.BaseDelay<<doublings, b.cfg.MaxDelay)
	return bound/2 + time.Duration(b.cfg.Rand()*float64(bound/2))
}

func (b *Budget) spend() bool {
	for {
		old := b.credit.Load()
		if old < creditUnit {
			return false
		}
		if b.credit.CompareAndSwap(old, old-creditUnit) {
			return true
		}
	}
}

// Remaining returns the number of retries that the budget permits now.
func (b *Budget) Remaining() int { return int(b.credit.Load() / creditUnit) }
