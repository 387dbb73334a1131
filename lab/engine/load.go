package engine

import (
	"time"

	protocol "github.com/siskinford/siskinford/agent/engine"
)

// loadSamples is the number of samples taken within the lag.
const loadSamples = 8

// loadHistory retains load samples to serve reports that are lag old.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load protocol.Load
}

// add records a sample and discards those too old for later reports.
func (h *loadHistory) add(now time.Time, load protocol.Load) {
	if n := len(h.samples); n > 0 && h.lag > 0 && now.Sub(h.samples[n-1].at) < h.lag/loadSamples {
		return
	}
	h.samples = append(h.samples, loadSample{at: now, load: load})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= h.lag {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
}

// at returns the newest sample that is at least lag old, or an empty report of
// age lag if there is none.
func (h *loadHistory) at(now time.Time) protocol.Load {
	for i := len(h.samples) - 1; i >= 0; i-- {
		sample := h.samples[i]
		if age := now.Sub(sample.at); age >= h.lag {
			load := sample.load
			load.Age = age
			return load
		}
	}
	return protocol.Load{Age: h.lag}
}
