package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// defaultForwardTimeout bounds a forwarded claim.
const defaultForwardTimeout = 200 * time.Millisecond

// Forwarder passes a claim to the process on another host, which calls its own
// Claimer. It keeps the error types of this package. It may block until ctx ends.
type Forwarder interface {
	Forward(ctx context.Context, host id.Host, r Request) (Result, error)
}

// Router has the claims of a shard made by one process, so that they share
// writes and do not conflict. Which process that is matters to cost alone: two
// processes that both make claims of a shard are as safe as one.
type Router struct {
	// Local makes claims in this process. Required.
	Local *Claimer
	// Self is the host of this process. Required.
	Self id.Host
	// Hosts returns the live entry hosts and does not block. Required.
	Hosts func() []id.Host
	// Forwarder reaches the other hosts. Required.
	Forwarder Forwarder
	// ForwardTimeout bounds a forwarded claim. Default: 200 ms.
	ForwardTimeout time.Duration
}

// Claim commits a claim through the process that has the duty for its shard,
// and in this process if that one gives no verdict. Results are as for Claimer.Claim.
func (r *Router) Claim(ctx context.Context, req Request) (Result, error) {
	if req.Nonce == 0 {
		req.Nonce = NewNonce()
	}
	owner, ok := r.owner(req)
	if !ok || owner == r.Self {
		return r.Local.Claim(ctx, req)
	}
	result, err := r.forward(ctx, owner, req)
	if isVerdict(err) {
		return result, err
	}
	result, localErr := r.Local.Claim(ctx, req)
	var unavailable *UnavailableError
	if errors.As(localErr, &unavailable) && !isNotMade(err) {
		// The other process may have made the claim, or may yet.
		return Result{}, &OutcomeUnknownError{Cause: err}
	}
	return result, localErr
}

func (r *Router) forward(ctx context.Context, owner id.Host, req Request) (Result, error) {
	timeout := r.ForwardTimeout
	if timeout == 0 {
		timeout = defaultForwardTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.Forwarder.Forward(ctx, owner, req)
}

// owner returns the host that has the duty for the shard of a request.
func (r *Router) owner(req Request) (id.Host, bool) {
	shard := r.Local.shardOf(HashKey(req.Team, req.Service, req.Key))
	return rendezvous.First(shardKind(shard), r.Hosts())
}

// isVerdict reports a result that another attempt would not change.
func isVerdict(err error) bool {
	var mismatch *PayloadMismatchError
	var expired *ExpiredError
	var future *FutureError
	return err == nil || errors.As(err, &mismatch) || errors.As(err, &expired) || errors.As(err, &future)
}

// isNotMade reports an error after which the claim will not be made.
func isNotMade(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable)
}
