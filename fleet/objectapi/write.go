package objectapi

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// write is a conditional write or deletion. All attempts to send it carry the same
// write ID and expected version.
type write struct {
	protocol Protocol
	call     Call
	object   Object
	deletion bool
	// era is that in which the write is sent. An answer of a later one does not tell
	// whether the write was applied before the store returned from an older copy.
	era uint64
}

// Put writes o if the stored version equals o.Version. An empty o.WriteID is
// replaced by a random one.
func (c *Client) Put(ctx context.Context, o Object) (Object, error) {
	if len(o.Value) > MaxValueBytes {
		return Object{}, &ValueTooLargeError{Kind: o.Kind, Name: o.Name, Size: len(o.Value)}
	}
	if o.WriteID == "" {
		o.WriteID = newWriteID()
	}
	sent := o
	sent.Version = c.outgoing(o.Version)
	call, err := c.cfg.Protocol.Put(sent)
	if err != nil {
		return Object{}, errors.Wrapf(err, "object %q of kind %q cannot be encoded", o.Name, o.Kind)
	}
	return c.write(ctx, write{protocol: c.cfg.Protocol, call: call, object: o})
}

// Delete removes an object if its stored version equals version.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	o := Object{Kind: kind, Name: name, Version: version, WriteID: newWriteID()}
	sent := o
	sent.Version = c.outgoing(version)
	_, err := c.write(ctx, write{protocol: c.cfg.Protocol, call: c.cfg.Protocol.Delete(sent), object: o, deletion: true})
	return err
}

// write sends w and, if the response leaves the outcome in doubt, resolves it. A condition
// on a version of a former era cannot hold any more and is not sent.
func (c *Client) write(ctx context.Context, w write) (Object, error) {
	if err := c.admit(ctx, c.writeLimiter, false); err != nil {
		return Object{}, err
	}
	era, known := c.era.forWrite(w.object.Version)
	if w.era = era; w.object.Version != 0 && EraOf(w.object.Version) < era {
		c.breaker.record(c.now(), resultCanceled)
		return Object{}, w.conflictError(Object{Kind: w.object.Kind, Name: w.object.Name})
	}
	resp, err := c.roundTrip(ctx, c.writeClient, w.call, c.cfg.CallTimeout)
	if !known {
		w.era = c.era.current() // The first answer of the store.
	}
	if err := c.checkWriteEra(w); err != nil {
		return Object{}, err
	}
	o, err := w.interpret(resp, err, false)
	if !isInDoubt(err) {
		return o, err
	}
	return c.resolve(ctx, w, err)
}

// checkWriteEra returns an error if the store has returned from an older copy since w was
// first sent.
func (c *Client) checkWriteEra(w write) error {
	now := c.era.current()
	if now <= w.era {
		return nil
	}
	return &OutcomeUnknownError{
		Kind: w.object.Kind, Name: w.object.Name, Cause: errors.Newf("the store returned from an older copy (era %d after %d)", now, w.era),
	}
}

// inDoubtError reports an attempt that may have taken effect or may still do so.
type inDoubtError struct{ cause error }

func (e *inDoubtError) Error() string { return e.cause.Error() }
func (e *inDoubtError) Unwrap() error { return e.cause }

func isInDoubt(err error) bool {
	var inDoubt *inDoubtError
	return errors.As(err, &inDoubt)
}

// interpret derives the outcome of w from the response to an attempt. If an earlier
// attempt is in doubt, a rejection of this one does not decide the outcome.
func (w write) interpret(resp response, err error, earlierInDoubt bool) (Object, error) {
	if err != nil {
		return Object{}, w.interpretError(err, earlierInDoubt)
	}
	switch {
	case resp.status == http.StatusOK:
		return w.written(resp)
	case resp.status == http.StatusConflict:
		return w.conflict(resp, earlierInDoubt)
	case resp.status == http.StatusNotFound:
		return w.notFound(earlierInDoubt)
	case resp.status >= http.StatusBadRequest && resp.status < http.StatusInternalServerError:
		return Object{}, w.rejected(statusError(resp), earlierInDoubt)
	default:
		return Object{}, &inDoubtError{cause: statusError(resp)}
	}
}

func (w write) interpretError(err error, earlierInDoubt bool) error {
	var sent *possiblySentError
	if errors.As(err, &sent) {
		return &inDoubtError{cause: err}
	}
	return w.rejected(err, earlierInDoubt)
}

func (w write) rejected(cause error, earlierInDoubt bool) error {
	if earlierInDoubt {
		return &inDoubtError{cause: cause}
	}
	return &UnavailableError{Cause: cause}
}

func (w write) written(resp response) (Object, error) {
	if w.deletion {
		return Object{}, nil
	}
	o, err := decodeObject(w.protocol, w.object.Kind, resp)
	if err != nil {
		return Object{}, &inDoubtError{cause: wrapDecodeError(err)}
	}
	o.Value = w.object.Value
	return o, nil
}

func (w write) conflict(resp response, earlierInDoubt bool) (Object, error) {
	current, err := decodeObject(w.protocol, w.object.Kind, resp)
	if err != nil {
		return Object{}, &inDoubtError{cause: wrapDecodeError(err)}
	}
	if current.WriteID == w.object.WriteID && !w.deletion {
		return current, nil
	}
	if !earlierInDoubt {
		return Object{}, w.conflictError(current)
	}
	return w.resolveFromCurrent(current)
}

// resolveFromCurrent determines whether an attempt in doubt took effect from the stored
// object, whose version is not the expected one.
func (w write) resolveFromCurrent(current Object) (Object, error) {
	switch {
	case current.WriteID == w.object.WriteID && !w.deletion:
		return current, nil
	case current.Version == w.object.Version+1:
		// Another write made the only version that this write could have made.
		return Object{}, w.conflictError(current)
	default:
		// The write may have taken effect and then been overwritten.
		return Object{}, &OutcomeUnknownError{
			Kind: w.object.Kind, Name: w.object.Name, Cause: w.conflictError(current),
		}
	}
}

func (w write) notFound(earlierInDoubt bool) (Object, error) {
	notFound := &NotFoundError{Kind: w.object.Kind, Name: w.object.Name}
	if !earlierInDoubt {
		return Object{}, notFound
	}
	if w.deletion {
		return Object{}, nil
	}
	return Object{}, &OutcomeUnknownError{Kind: w.object.Kind, Name: w.object.Name, Cause: notFound}
}

func (w write) conflictError(current Object) error {
	return &ConflictError{ExpectedVersion: w.object.Version, Current: current}
}

// resolve determines the outcome of a write whose response was lost. It first reads
// the object. If that shows the old version, the first attempt may still arrive, so
// the same conditional write is sent again: only one attempt can take effect, and
// after the response to the later one neither can any more.
func (c *Client) resolve(ctx context.Context, w write, cause error) (Object, error) {
	deadline, cancel := context.WithTimeout(ctx, c.cfg.ResolveTimeout)
	defer cancel()
	for failures := 1; ; failures++ {
		o, err := c.tryResolve(deadline, w)
		if !isInDoubt(err) {
			return o, err
		}
		if sleep(deadline, c.breaker.delay(failures)) != nil {
			return Object{}, &OutcomeUnknownError{Kind: w.object.Kind, Name: w.object.Name, Cause: cause}
		}
	}
}

func (c *Client) tryResolve(ctx context.Context, w write) (Object, error) {
	current, err := c.readBack(ctx, w)
	if eraErr := c.checkWriteEra(w); eraErr != nil {
		return Object{}, eraErr
	}
	if err != nil {
		return Object{}, &inDoubtError{cause: err}
	}
	if current.Version > w.object.Version {
		return w.resolveFromCurrent(current)
	}
	// The read may be stale, so only a conditional write determines the outcome.
	if err := c.awaitBudget(ctx, c.writeLimiter); err != nil {
		return Object{}, &inDoubtError{cause: err}
	}
	if err := c.checkWriteEra(w); err != nil {
		return Object{}, err
	}
	resp, err := c.roundTrip(ctx, c.writeClient, w.call, c.cfg.CallTimeout)
	if err := c.checkWriteEra(w); err != nil {
		return Object{}, err
	}
	return w.interpret(resp, err, true)
}

// readBack returns the stored object, with version zero if it does not exist.
func (c *Client) readBack(ctx context.Context, w write) (Object, error) {
	if err := c.awaitBudget(ctx, c.readLimiter); err != nil {
		return Object{}, err
	}
	resp, err := c.roundTrip(ctx, c.readClient, w.protocol.Get(w.object.Kind, w.object.Name), c.cfg.CallTimeout)
	if err != nil {
		return Object{}, err
	}
	o, err := c.decodeObject(resp, w.object.Kind, w.object.Name)
	var notFound *NotFoundError
	if errors.As(err, &notFound) {
		return Object{}, nil
	}
	return o, err
}
