package objectapi

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackoffDelay(t *testing.T) {
	b := Backoff{Min: time.Second, Max: 5 * time.Second}
	cases := []struct {
		failures int
		random   float64
		want     time.Duration
	}{
		{1, 0.5, time.Second},
		{1, 0, 500 * time.Millisecond},
		{2, 0.5, 2 * time.Second},
		{3, 0.5, 4 * time.Second},
		{4, 0.5, 5 * time.Second},
		{1000, 0.5, 5 * time.Second},
	}
	for _, c := range cases {
		assert.Equal(t, b.Delay(c.failures, c.random), c.want)
	}
}

func TestCircuit(t *testing.T) {
	c := newCircuitBreaker(Backoff{Min: time.Second, Max: time.Minute}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	for range circuitThreshold {
		ok, _ := c.admit(now)
		assert.Assert(t, ok)
		c.record(now, resultFailed)
	}
	ok, wait := c.admit(now)
	assert.Assert(t, !ok && wait > 0 && c.open(now) && c.failing())
	now = now.Add(wait)
	assert.Assert(t, !c.open(now))
	ok, _ = c.admit(now)
	assert.Assert(t, ok, "no probe is admitted after the backoff")
	ok, _ = c.admit(now)
	assert.Assert(t, !ok, "two probes at once")
	c.record(now, resultCanceled)
	ok, _ = c.admit(now)
	assert.Assert(t, ok, "a canceled probe blocks the next one")
	c.record(now, resultOK)
	assert.Assert(t, !c.failing())
	for range 10 {
		ok, _ = c.admit(now)
		assert.Assert(t, ok)
	}
}
