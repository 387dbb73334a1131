package replicas

import (
	"sync"

	"github.com/siskinford/siskinford/core/id"
)

// ExecutionCounter counts executions per request across all back ends.
type ExecutionCounter struct {
	mu        sync.Mutex // leaf lock
	byRequest map[id.Request]int
}

// NewExecutionCounter returns an empty counter.
func NewExecutionCounter() *ExecutionCounter {
	return &ExecutionCounter{byRequest: make(map[id.Request]int)}
}

// Record counts an execution and returns the new count.
func (c *ExecutionCounter) Record(r id.Request) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byRequest[r]++
	return c.byRequest[r]
}

// Count returns the number of executions of a request.
func (c *ExecutionCounter) Count(r id.Request) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byRequest[r]
}
