package objectapi

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// circuitThreshold is the number of failures in a row that opens a circuit.
	circuitThreshold = 3
	// backoffJitter spreads each backoff uniformly by this fraction up and down.
	backoffJitter = 0.5
)

// Backoff computes jittered exponential delays.
type Backoff struct {
	// Min is the mean delay after the first failure.
	Min time.Duration
	// Max bounds the mean delay.
	Max time.Duration
}

// Delay returns the delay after the given number of failures in a row. The
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

// circuit refuses calls after repeated failures until a backoff has passed, and
// then admits one probe at a time until one succeeds.
type circuit struct {
	backoff Backoff

	mu       sync.Mutex // leaf lock
	random   *rand.Rand
	failures int
	retryAt  time.Time
	probing  bool
}

func newCircuit(b Backoff, random *rand.Rand) *circuit {
	return &circuit{backoff: b, random: random}
}

// admit reports whether a call may start at now, and otherwise for how long
// calls are refused. After a true result, done must be called.
func (c *circuit) admit(now time.Time) (bool, time.Duration) {
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

// done records the result of an admitted call.
func (c *circuit) done(now time.Time, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
	switch r {
	case resultOK:
		c.failures = 0
	case resultFailed:
		c.failures++
		c.retryAt = now.Add(c.backoff.Delay(c.failures-circuitThreshold+1, c.random.Float64()))
	case resultNone:
	}
}

// failing reports whether the last calls failed, so that the next one is a probe.
func (c *circuit) failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= circuitThreshold
}

// delay returns a jittered delay after the given number of failures in a row.
func (c *circuit) delay(failures int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backoff.Delay(failures, c.random.Float64())
}

// open reports whether calls are refused at now.
func (c *circuit) open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= circuitThreshold && (c.probing || c.retryAt.After(now))
}

// result tells a circuit how a call ended.
type result int

const (
	// resultOK means that the platform answered.
	resultOK result = iota
	// resultFailed means that the platform did not answer or is down.
	resultFailed
	// resultNone means that the caller ended the call, which says nothing about the platform.
	resultNone
)
