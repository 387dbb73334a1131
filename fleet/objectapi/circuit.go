package objectapi

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// circuitThreshold is the number of consecutive failures that opens the circuit.
	circuitThreshold = 3
	// backoffJitter is the fraction of the mean delay by which a delay may be shorter or longer.
	backoffJitter = 0.5
)

// Backoff configures exponential delays with jitter.
type Backoff struct {
	// Min is the mean delay after the first failure.
	Min time.Duration
	// Max bounds the mean delay.
	Max time.Duration
}

// Delay returns the delay after the given number of consecutive failures. The
// random number must be uniform in [0, 1).
func (b Backoff) Delay(failures int, random float64) time.Duration {
	mean := b.Min
	for i := 1; i < failures && mean < b.Max; i++ {
		mean *= 2
	}
	mean = min(mean, b.Max)
	factor := 1 - backoffJitter + 2*backoffJitter*random
	return time.Duration(float64(mean) * factor)
}

// circuitBreaker rejects calls after repeated failures until a backoff has passed,
// then admits one probe at a time until a probe succeeds.
type circuitBreaker struct {
	backoff Backoff

	mu       sync.Mutex // leaf lock
	random   *rand.Rand
	failures int
	retryAt  time.Time
	probing  bool
}

func newCircuitBreaker(b Backoff, random *rand.Rand) *circuitBreaker {
	return &circuitBreaker{backoff: b, random: random}
}

// admit reports whether a call may start at now, and otherwise the delay before the
// next attempt. The caller must pass the result of an admitted call to record.
func (c *circuitBreaker) admit(now time.Time) (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < circuitThreshold {
		return true, 0
	}
	if wait := c.retryAt.Sub(now); wait > 0 {
		return false, wait
	}
	if c.probing {
		return false, c.backoff.Min
	}
	c.probing = true
	return true, 0
}

func (c *circuitBreaker) record(now time.Time, r callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
	switch r {
	case resultOK:
		c.failures = 0
	case resultFailed:
		c.failures++
		c.retryAt = now.Add(c.backoff.Delay(c.failures-circuitThreshold+1, c.random.Float64()))
	case resultCanceled:
	}
}

// failing reports whether the circuit has opened and no call has succeeded since, so
// that the next call is a probe.
func (c *circuitBreaker) failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= circuitThreshold
}

func (c *circuitBreaker) delay(failures int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backoff.Delay(failures, c.random.Float64())
}

// open reports whether calls are rejected at now.
func (c *circuitBreaker) open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= circuitThreshold && (c.probing || c.retryAt.After(now))
}

// callResult is the result of a call as a circuitBreaker counts it.
type callResult int

const (
	// resultOK means a response other than a server error or status 429.
	resultOK callResult = iota
	// resultFailed means that there was no response, a server error or status 429.
	resultFailed
	// resultCanceled means that the caller's context ended first. It is not counted.
	resultCanceled
)
