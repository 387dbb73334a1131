package claim

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errTimeout = errors.New("the claim timed out")
	errStuck   = errors.New("an earlier batch of claims gets no answer")
	errFull    = errors.New("too many claims wait")
	errClosed  = errors.New("the claimer is closed")
	errBusy    = errors.New("other claimants won every attempt")
)

// ExpiredError reports a key older than the retention. Its action is never run
// again, whether it ran or not.
type ExpiredError struct {
	Key       Key
	Created   time.Time
	Retention time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("idempotency key %q of %s is older than the retention of %v",
		e.Key.String(), e.Created.UTC().Format(time.RFC3339), e.Retention)
}

// FutureError reports a key whose time of creation lies too far ahead.
type FutureError struct {
	Key     Key
	Created time.Time
	MaxSkew time.Duration
}

func (e *FutureError) Error() string {
	return fmt.Sprintf("idempotency key %q of %s lies more than %v in the future",
		e.Key.String(), e.Created.UTC().Format(time.RFC3339), e.MaxSkew)
}

// PayloadMismatchError reports a key that was claimed with another payload.
type PayloadMismatchError struct {
	Key    Key
	Record Record
}

func (e *PayloadMismatchError) Error() string {
	return fmt.Sprintf("idempotency key %q was used with another payload", e.Key.String())
}

// UnavailableError reports that the claim was not committed and will not be.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("claims are unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a claim that may be committed, now or later. The
// action was not dispatched by this call.
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
