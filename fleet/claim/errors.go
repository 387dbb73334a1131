package claim

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errTimeout      = errors.New("timed out waiting for the claim")
	errBatchStalled = errors.New("an earlier batch of claims is stalled")
	errQueueFull    = errors.New("queue of claims is full")
	errClosed       = errors.New("claimer is closed")
	errContention   = errors.New("every attempt conflicted with another claimant")
)

// ExpiredError reports a key older than the retention. Its action will not be run,
// whether or not it ran before.
type ExpiredError struct {
	Key       Key
	Created   time.Time
	Retention time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("idempotency key %q of %s is older than the retention of %v",
		e.Key.String(), e.Created.UTC().Format(time.RFC3339), e.Retention)
}

// FutureError reports a key whose creation time is more than MaxSkew in the future.
type FutureError struct {
	Key     Key
	Created time.Time
	MaxSkew time.Duration
}

func (e *FutureError) Error() string {
	return fmt.Sprintf("idempotency key %q of %s is more than %v in the future",
		e.Key.String(), e.Created.UTC().Format(time.RFC3339), e.MaxSkew)
}

// PayloadMismatchError reports a key that was claimed for a different payload.
type PayloadMismatchError struct {
	Key    Key
	Record Record
}

func (e *PayloadMismatchError) Error() string {
	return fmt.Sprintf("idempotency key %q was used with another payload", e.Key.String())
}

// UnavailableError reports a claim that is not committed and cannot be any more.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("claims are unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a claim that may be committed or may still be. Its
// caller has not dispatched the action.
type OutcomeUnknownError struct{ Cause error }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("claim has an unknown outcome: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NotClaimedError reports a key without a claim.
type NotClaimedError struct{ Key Key }

func (e *NotClaimedError) Error() string {
	return fmt.Sprintf("idempotency key %q is not claimed", e.Key.String())
}
