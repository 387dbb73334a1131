// Package objectapi reaches the platform's object API: versioned objects,
// conditional updates, long-poll watches and the host list.
package objectapi

import (
	"context"
	"fmt"

	"github.com/siskinford/siskinford/core/id"
)

// Object is a value with a version, as the platform stores it.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version increases with each write of the object, also over a deletion and
	// a new creation. Zero means that it does not exist.
	Version uint64 `json:"version"`
	// Revision is the position of the last write in the order of all writes of the store.
	Revision uint64 `json:"revision"`
	// Created is the revision at which the object was created, zero if the API
	// does not tell.
	Created uint64 `json:"created,omitempty"`
	// WriteID is the random ID that the writer gave to the last write. It
	// lets a writer recognize its own write after the answer was lost.
	WriteID string `json:"write_id"`
	// Deleted marks a deletion in the answer to a watch.
	Deleted bool `json:"deleted,omitempty"`
	// Value holds up to MaxValueBytes.
	Value []byte `json:"value"`
}

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// HostState is the state of a host in the platform's list.
type HostState string

const (
	// HostLive means that the platform believes the host to be running.
	HostLive HostState = "live"
	// HostLeaving means that the host is about to be replaced.
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list. The list lags behind reality.
type Host struct {
	Name    id.Host   `json:"name"`
	Zone    id.Zone   `json:"zone"`
	Address string    `json:"address"`
	Role    string    `json:"role"`
	State   HostState `json:"state"`
}

// Store is the platform's object API. All methods block until the platform
// answers or ctx ends, and are safe for concurrent use.
type Store interface {
	// Get returns an object. The error is a *NotFoundError if it does not exist.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the revision that the list reflects.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put writes o.Value if the stored version equals o.Version (zero: the
	// object must not exist) and returns the object as written. The error is a
	// *ConflictError on another version, and an *OutcomeUnknownError if it could
	// not be learned whether the write took effect. A creation whose outcome is
	// unknown may still take effect after a later deletion by another writer.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete removes an object if its stored version equals version.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch returns the objects of a kind written after the given revision and
	// the revision that the answer reflects. It waits until there is one or
	// the platform ends the poll, in which case the slice is empty. The error is
	// a *HistoryGoneError if the platform no longer knows what changed since;
	// the caller then lists the kind again.
	Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error)
	// Hosts returns the lagging host list.
	Hosts(ctx context.Context) ([]Host, error)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q of kind %q does not exist", e.Name, e.Kind)
}

// ConflictError reports a conditional update against another version.
type ConflictError struct {
	// ExpectedVersion is the version that the writer expected.
	ExpectedVersion uint64
	// Current is the object as it is stored.
	Current Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q of kind %q has version %d, not %d",
		e.Current.Name, e.Current.Kind, e.Current.Version, e.ExpectedVersion)
}

// OutcomeUnknownError reports a write that may or may not have taken effect,
// now or later: it may still be on its way to the platform.
type OutcomeUnknownError struct {
	Kind, Name string
	Cause      error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("write of object %q of kind %q has an unknown outcome: %v", e.Name, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// UnavailableError reports that the platform did not answer, refused the call
// for its rate, or that the client's own budget for calls is used up.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// HistoryGoneError reports a watch from a revision whose successors the platform
// no longer knows.
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
