// Package engine implements HTTP clients for the model engines on the agent's host.
package engine

import (
	"context"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Request is a completion request.
type Request struct {
	Attempt   id.Attempt
	Model     string
	Prompt    string
	MaxTokens int
	// Priority orders requests at the engine; greater values run first.
	Priority int
	// Epoch is a fencing token. Some engines refuse old ones.
	Epoch uint64
}

// Token is one piece of a completion.
type Token struct {
	Text string
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens int
	CachedTokens int
	AnswerTokens int
	FinishReason string
}

// Load is the load that the engine reported at an earlier time.
type Load struct {
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	CachedBlocks int           `json:"cached_blocks"`
	StepTime     time.Duration `json:"step_time"`
	Slots        int           `json:"slots"`
	// Age is the time since the engine measured the load.
	Age time.Duration `json:"age"`
}

// CacheEvent reports that the engine stored or evicted a block of a prompt prefix.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
	Cleared bool   `json:"cleared,omitempty"`
}

// NotStartedError reports that the engine certainly did not start a request.
type NotStartedError struct{ Cause error }

func (e *NotStartedError) Error() string {
	return "engine did not start the request: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// Engine runs completions. Implementations are safe for concurrent use.
type Engine interface {
	// Run streams a completion to emit and blocks until it ends. It never
	// retries a request. The error is a *NotStartedError only if no byte of the
	// request can have reached the engine, or if the engine reported it.
	Run(ctx context.Context, r Request, emit func(Token) error) (Usage, error)
	// Pause takes a running completion out of the batch and keeps its progress.
	Pause(ctx context.Context, attempt id.Attempt) error
	// Resume puts a paused completion back into the batch.
	Resume(ctx context.Context, attempt id.Attempt) error
	// Cancel ends a completion.
	Cancel(ctx context.Context, attempt id.Attempt) error
	// Load returns the engine's last load report.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns events after a sequence number, late and possibly with gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}
