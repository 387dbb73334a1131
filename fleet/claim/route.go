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

// Forwarder forwards a claim to the Claimer on another host. It preserves the error
// types of this package and may block until ctx ends.
type Forwarder interface {
	Forward(ctx context.Context, host id.Host, r Request) (Result, error)
}

// Router forwards the claims of a shard to one owning process, so that they are batched
// and do not conflict. Ownership affects only the cost: claims remain safe if several
// processes write to a shard.
type Router struct {
	// Local is the Claimer of this process. Required.
	Local *Claimer
	// Self is the host of this process. Required.
	Self id.Host
	// Hosts returns the live entry hosts. It must not block. Required.
	Hosts func() []id.Host
	// Forwarder forwards claims to other hosts. Required.
	Forwarder Forwarder
	// ForwardTimeout bounds a forwarded claim. Default: 200 ms.
	ForwardTimeout time.Duration
}

// Claim commits a claim through the owner of its shard, and in this process if the
// owner returns no final result. Results are as for Claimer.Claim.
func (r *Router) Claim(ctx context.Context, req Request) (Result, error) {
	if req.Nonce == 0 {
		req.Nonce = NewNonce()
	}
	owner, ok := r.owner(req)
	if !ok || owner == r.Self {
		return r.Local.Claim(ctx, req)
	}
	result, err := r.forward(ctx, owner, req)
	if isFinal(err) {
		return result, err
	}
	result, localErr := r.Local.Claim(ctx, req)
	var unavailable *UnavailableError
	if errors.As(localErr, &unavailable) && !isNotCommitted(err) {
		// The owner may have made the claim, or may still make it.
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

// owner returns the host that owns the shard of a request.
func (r *Router) owner(req Request) (id.Host, bool) {
	shard := r.Local.shardOf(HashKey(req.Team, req.Service, req.Key))
	return rendezvous.First(shardKind(shard), r.Hosts())
}

// isFinal reports whether another attempt would not change the result.
func isFinal(err error) bool {
	var mismatch *PayloadMismatchError
	var expired *ExpiredError
	var future *FutureError
	return err == nil || errors.As(err, &mismatch) || errors.As(err, &expired) || errors.As(err, &future)
}

// isNotCommitted reports whether the claim was not committed and cannot be any more.
func isNotCommitted(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable)
}
