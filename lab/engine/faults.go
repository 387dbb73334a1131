package engine

import "time"

// Faults are the injected faults of an engine.
type Faults struct {
	// Stall blocks the step loop before its next step.
	Stall bool `json:"stall"`
	// Slow multiplies the step time. Values up to 1 have no effect.
	Slow float64 `json:"slow"`
	// FailNext is the number of next completions to reject before they are queued.
	FailNext int `json:"fail_next"`
	// CutNext is the number of next completions whose connection is aborted after
	// CutAfter tokens. If CutAfter is zero, generation continues.
	CutNext  int `json:"cut_next"`
	CutAfter int `json:"cut_after"`
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.notify()
}

// Faults returns the injected faults with their remaining counts.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// ClearCache clears the prefix cache and publishes a cleared event.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear(time.Now())
}

// noCut is the cut of a completion whose connection is not aborted.
const noCut = -1

// nextCut consumes an injected cut and returns its number of tokens, or noCut.
func (e *Engine) nextCut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutNext <= 0 {
		return noCut
	}
	e.faults.CutNext--
	return e.faults.CutAfter
}
