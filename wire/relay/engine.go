package relay

import "context"

// Engine is a rank of a group. Implementations are safe for concurrent use; all
// methods block until the engine answers or ctx ends.
type Engine interface {
	State(ctx context.Context) (State, error)
	// Counts returns the tokens of each expert since the rank's start.
	Counts(ctx context.Context) (Counts, error)
	// Layout returns the experts that the rank holds.
	Layout(ctx context.Context) (Layout, error)
	// Order carries an order out once. The result has no ID.
	Order(ctx context.Context, o Order) Result
}

// Counts are the tokens of each expert since the start of a rank.
type Counts struct {
	// Step is the last pass counted.
	Step  uint64
	Epoch uint64
	// Tokens is indexed set by set.
	Tokens []uint64
}
