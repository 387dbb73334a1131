// Package transport carries opaque control messages between the entries of the
// fleet as calls with an answer.
package transport

import (
	"context"
	"fmt"
)

// Caller sends requests to other entries. Implementations are safe for
// concurrent use.
type Caller interface {
	// Call sends payload to the process at address and returns its answer. It
	// blocks until the answer arrives or ctx ends. An error does not tell
	// whether the other process handled the payload.
	Call(ctx context.Context, address string, payload []byte) ([]byte, error)
	// Abandon drops the connection to address, so that the next call opens a
	// fresh one. It does not block.
	Abandon(address string)
}

// Handler answers the calls of other entries. The transport calls it from many
// goroutines. It must not retain payload after it returns. It may block until
// ctx ends.
type Handler func(ctx context.Context, payload []byte) ([]byte, error)

// RemoteError is an error that the handler at the other end returned.
type RemoteError struct {
	// Address is the address of the process that returned the error.
	Address string
	// Message is the text of the error.
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("process at %s: %s", e.Address, e.Message)
}
