// Package transport defines request-response calls between the entries of the
// fleet and multiplexes the control protocols over them.
package transport

import (
	"context"
	"fmt"
)

// Caller sends requests to other entries. Implementations are safe for
// concurrent use.
type Caller interface {
	// Call sends payload to the process at address and returns its answer. It
	// blocks until the answer arrives or ctx ends. After an error the other
	// process may or may not have handled the payload.
	Call(ctx context.Context, address string, payload []byte) ([]byte, error)
	// Abandon closes the connection to address, so that the next call opens a
	// new one. It does not block.
	Abandon(address string)
}

// Handler answers the calls of other entries. It is called concurrently, may
// block until ctx ends, and must not retain payload after it returns.
type Handler func(ctx context.Context, payload []byte) ([]byte, error)

// RemoteError is an error returned by the remote handler.
type RemoteError struct {
	// Address is that of the remote process.
	Address string
	// Message is the text of the error.
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("process at %s: %s", e.Address, e.Message)
}
