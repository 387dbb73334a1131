package replicas

import (
	"sync"

	"github.com/siskinford/siskinford/core/id"
)

// ExecutionCounter counts how often each request ran, over all back ends.
type ExecutionCounter struct {
	mu   sync.Mutex // leaf lock
	runs map[id.Request]int
}

// NewExecutionCounter returns an empty ledger.
func NewExecutionCounter() *ExecutionCounter {
	return &ExecutionCounter{runs: make(map[id.Request]int)}
}

// Record records a run and returns how many there were with it.
func (l *ExecutionCounter) Record(r id.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r]++
	return l.runs[r]
}

// Count returns how often a request ran.
func (l *ExecutionCounter) Count(r id.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[r]
}
