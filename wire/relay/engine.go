package relay

import "context"

// Engine is a client of a rank. Implementations are safe for concurrent use; all methods
// block until the rank responds or ctx ends.
type Engine interface {
	State(ctx context.Context) (State, error)
	// Counts returns the tokens routed to each expert since the rank's start.
	Counts(ctx context.Context) (Counts, error)
	// Layout returns the experts on the rank.
	Layout(ctx context.Context) (Layout, error)
	// Order executes an order without retries. The result has no ID.
	Order(ctx context.Context, o Order) Result
}

// Counts are the tokens routed to each expert since the start of a rank.
type Counts struct {
	// Step is the last step counted.
	Step  uint64
	Epoch uint64
	// Tokens has one element per expert, set by set.
	Tokens []uint64
}
