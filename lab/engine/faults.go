package engine

import "time"

// Faults are the injected faults of an engine.
type Faults struct {
	// Stall stops the step loop before its next step.
	Stall bool `json:"stall"`
	// Slow multiplies the step time. Values up to 1 have no effect.
	Slow float64 `json:"slow"`
	// FailNext is the number of completions to refuse, before they start.
	FailNext int `json:"fail_next"`
	// CutNext is the number of completions whose connection is cut after
	// CutAfter tokens. The engine runs on if CutAfter is zero.
	CutNext  int `json:"cut_next"`
	CutAfter int `json:"cut_after"`
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.notify()
}

// Faults returns the faults in force, with what remains of the counts.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// ClearCache empties the prefix cache and publishes that it was cleared.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear(time.Now())
}

// noCut means that a stream is not cut.
const noCut = -1

// takeCut returns the number of tokens after which the next stream is cut.
func (e *Engine) takeCut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutNext <= 0 {
		return noCut
	}
	e.faults.CutNext--
	return e.faults.CutAfter
}
