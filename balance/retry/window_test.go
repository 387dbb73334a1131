package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWindowKeepsShare runs entries with uneven traffic, of which one restarts and
// loses its counts, and checks the budget of all entries in every window.
func TestWindowKeepsShare(t *testing.T) {
	const entries = 4
	cfg := WindowConfig{Ratio: 0.2, ExtraRetries: 92, Length: 10 * time.Second}
	rng := rand.New(rand.NewPCG(3, 4))
	var windows [entries]*Window
	for i := range windows {
		windows[i] = NewWindow(cfg)
	}
	const tick = 10 * time.Millisecond
	var requests, retries []int
	for now := time.Duration(0); now < 60*time.Second; now += tick {
		if now == 25*time.Second {
			windows[2] = NewWindow(cfg) // A restart loses the counts.
		}
		r, n := 0, 0
		for i, w := range windows {
			if rng.Float64() < 0.1*float64(i+1) {
				w.RecordRequest(now)
				r++
			}
			for w.AcquireRetry(now, entries) { // Use up the budget.
				n++
			}
		}
		requests, retries = append(requests, r), append(retries, n)
	}
	length := int(cfg.Length / tick)
	for from := 0; from+length <= len(requests); from++ {
		r, n := 0, 0
		for i := from; i < from+length; i++ {
			r += requests[i]
			n += retries[i]
		}
		bound := cfg.Ratio*float64(r) + float64(cfg.ExtraRetries)
		assert.Assert(t, float64(n) <= bound, "window from %v: %d retries for %d requests", time.Duration(from)*tick, n, r)
	}
}

func TestWindowSlides(t *testing.T) {
	w := NewWindow(WindowConfig{ExtraRetries: 10, Length: time.Second})
	used := 0
	for w.AcquireRetry(0, 1) {
		used++
	}
	assert.Equal(t, used, 4) // 0.45 of the ten, rounded down.
	assert.Equal(t, w.Remaining(900*time.Millisecond, 1), 0)
	assert.Equal(t, w.Remaining(1100*time.Millisecond, 1), 4)
	assert.Equal(t, w.Remaining(10*time.Second, 2), 2)
}
