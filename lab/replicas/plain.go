package replicas

import (
	"sync"

	"github.com/siskinford/siskinford/core/id"
)

// Ledger counts how often each request ran, over all back ends.
type Ledger struct {
	mu   sync.Mutex // leaf lock
	runs map[id.Request]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[id.Request]int)} }

// Run records a run and returns how many there were with it.
func (l *Ledger) Run(r id.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r]++
	return l.runs[r]
}

// Runs returns how often a request ran.
func (l *Ledger) Runs(r id.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[r]
}
