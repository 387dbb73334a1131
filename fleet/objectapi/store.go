// Package objectapi is a client for the platform's object API: versioned objects,
// conditional updates, long-poll watches and the host list.
package objectapi

import (
	"context"
	"fmt"

	"github.com/siskinford/siskinford/core/id"
)

// Object is a versioned value stored in the platform.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version increases with each write of the object and is not reset when it is
	// deleted and created again. Zero means that it does not exist. Versions and revisions
	// hold the era of the store in their high bits (see ComposeVersion).
	Version uint64 `json:"version"`
	// Revision is the position of the last write in the order of all writes of the store.
	Revision uint64 `json:"revision"`
	// Created is the revision at which the object was created, zero if the API does
	// not report it.
	Created uint64 `json:"created,omitempty"`
	// WriteID is the random ID that the writer gave to the last write. It lets a
	// writer recognize its own write after the response was lost.
	WriteID string `json:"write_id"`
	// Deleted marks a deletion in the response to a watch.
	Deleted bool `json:"deleted,omitempty"`
	// Value has at most MaxValueBytes.
	Value []byte `json:"value"`
	// Unreadable is set for an object of a list or watch of which only the name can be decoded.
	Unreadable error `json:"-"`
}

// MaxValueBytes is the size of the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// HostState is the state of a host in the platform's list.
type HostState string

const (
	// HostLive means that the platform lists the host as running.
	HostLive HostState = "live"
	// HostLeaving means that the host is about to be replaced.
	HostLeaving HostState = "leaving"
)

// Host is a host in the platform's list, which lags behind the actual state.
type Host struct {
	Name    id.Host   `json:"name"`
	Zone    id.Zone   `json:"zone"`
	Address string    `json:"address"`
	Role    string    `json:"role"`
	State   HostState `json:"state"`
}

// Store is the platform's object API. All methods block until the platform
// responds or ctx ends, and are safe for concurrent use.
type Store interface {
	// Get returns an object, or a *NotFoundError if it does not exist.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the revision that the list reflects.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put writes o.Value if the stored version equals o.Version (zero: the
	// object must not exist) and returns the object as written. The error is a
	// *ConflictError on another version, and an *OutcomeUnknownError if the write
	// may have taken effect or may do so later. A creation whose outcome is
	// unknown may still take effect after a later deletion by another writer.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete removes an object if its stored version equals version.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch returns the objects of a kind written after the given revision and
	// the revision that the response reflects. It blocks until there is a change
	// or the long poll ends, in which case the slice is empty. The error is a
	// *HistoryGoneError if the platform has discarded the changes since the
	// revision or has returned from an older copy; the caller then lists the kind again.
	Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error)
	// Hosts returns the host list, which lags behind the actual state.
	Hosts(ctx context.Context) ([]Host, error)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q of kind %q does not exist", e.Name, e.Kind)
}

// ConflictError reports that the condition of a write or deletion was not met.
type ConflictError struct {
	ExpectedVersion uint64
	// Current is the stored object.
	Current Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q of kind %q has version %d, not %d",
		e.Current.Name, e.Current.Kind, e.Current.Version, e.ExpectedVersion)
}

// OutcomeUnknownError reports a write that may have taken effect or may still do so:
// the request may be in transit to the platform.
type OutcomeUnknownError struct {
	Kind, Name string
	Cause      error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("write of object %q of kind %q has an unknown outcome: %v", e.Name, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// UnavailableError reports that the platform did not respond or rejected the call, for
// example for its rate, or that the client's rate limit or circuit breaker did.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// HistoryGoneError reports a watch from a revision after which the platform has
// discarded changes.
type HistoryGoneError struct{}

func (*HistoryGoneError) Error() string {
	return "platform no longer holds the history after that revision"
}

// ValueTooLargeError reports a value above MaxValueBytes. Nothing was written.
type ValueTooLargeError struct {
	Kind, Name string
	// Size is the size of the value in bytes.
	Size int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of object %q of kind %q has %d bytes, the limit is %d",
		e.Name, e.Kind, e.Size, MaxValueBytes)
}
