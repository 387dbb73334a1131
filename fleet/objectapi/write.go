package objectapi

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// write is one conditional write or deletion. All attempts to send it carry the
// same write ID and the same expected version.
type write struct {
	protocol Protocol
	call     Call
	object   Object
	remove   bool
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
	call, err := c.cfg.Protocol.Put(o)
	if err != nil {
		return Object{}, errors.Wrapf(err, "object %q of kind %q cannot be encoded", o.Name, o.Kind)
	}
	return c.write(ctx, write{protocol: c.cfg.Protocol, call: call, object: o})
}

// Delete removes an object if its stored version equals version.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	o := Object{Kind: kind, Name: name, Version: version, WriteID: newWriteID()}
	_, err := c.write(ctx, write{protocol: c.cfg.Protocol, call: c.cfg.Protocol.Delete(o), object: o, remove: true})
	return err
}

// write sends w once. If its outcome is not clear from the answer, it is resolved.
func (c *Client) write(ctx context.Context, w write) (Object, error) {
	if err := c.enter(ctx, c.writes, false); err != nil {
		return Object{}, err
	}
	a, err := c.roundTrip(ctx, c.writer, w.call, c.cfg.CallTimeout)
	o, err := w.conclude(a, err, false)
	if !isUnclear(err) {
		return o, err
	}
	return c.resolve(ctx, w, err)
}

// unclearError reports an attempt to write that may or may not take effect.
type unclearError struct{ cause error }

func (e *unclearError) Error() string { return e.cause.Error() }
func (e *unclearError) Unwrap() error { return e.cause }

func isUnclear(err error) bool {
	var unclear *unclearError
	return errors.As(err, &unclear)
}

// conclude interprets the answer to an attempt. If an earlier attempt of the
// same write is unclear, a refusal says nothing about that one.
func (w write) conclude(a answer, err error, earlierUnclear bool) (Object, error) {
	if err != nil {
		return Object{}, w.concludeFailure(err, earlierUnclear)
	}
	switch {
	case a.status == http.StatusOK:
		return w.written(a)
	case a.status == http.StatusConflict:
		return w.conflict(a, earlierUnclear)
	case a.status == http.StatusNotFound:
		return w.notFound(earlierUnclear)
	case a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError:
		return Object{}, w.refused(statusError(a), earlierUnclear)
	default:
		return Object{}, &unclearError{cause: statusError(a)}
	}
}

func (w write) concludeFailure(err error, earlierUnclear bool) error {
	var sent *sentError
	if errors.As(err, &sent) {
		return &unclearError{cause: err}
	}
	return w.refused(err, earlierUnclear)
}

func (w write) refused(cause error, earlierUnclear bool) error {
	if earlierUnclear {
		return &unclearError{cause: cause}
	}
	return &UnavailableError{Cause: cause}
}

func (w write) written(a answer) (Object, error) {
	if w.remove {
		return Object{}, nil
	}
	o, err := w.protocol.DecodeObject(w.object.Kind, a.body)
	if err != nil {
		return Object{}, &unclearError{cause: undecodable(err)}
	}
	o.Value = w.object.Value
	return o, nil
}

func (w write) conflict(a answer, earlierUnclear bool) (Object, error) {
	current, err := w.protocol.DecodeObject(w.object.Kind, a.body)
	if err != nil {
		return Object{}, &unclearError{cause: undecodable(err)}
	}
	if current.WriteID == w.object.WriteID && !w.remove {
		return current, nil
	}
	if !earlierUnclear {
		return Object{}, w.conflictError(current)
	}
	return w.recognize(current)
}

// recognize tells from a stored object that is not at the expected version
// whether an unclear attempt took effect.
func (w write) recognize(current Object) (Object, error) {
	switch {
	case current.WriteID == w.object.WriteID && !w.remove:
		return current, nil
	case current.Version == w.object.Version+1:
		// The one version that this write could have made is another's.
		return Object{}, w.conflictError(current)
	default:
		// The write may have taken effect and been overwritten since.
		return Object{}, &OutcomeUnknownError{
			Kind: w.object.Kind, Name: w.object.Name, Cause: w.conflictError(current),
		}
	}
}

func (w write) notFound(earlierUnclear bool) (Object, error) {
	notFound := &NotFoundError{Kind: w.object.Kind, Name: w.object.Name}
	if !earlierUnclear {
		return Object{}, notFound
	}
	if w.remove {
		return Object{}, nil
	}
	return Object{}, &OutcomeUnknownError{Kind: w.object.Kind, Name: w.object.Name, Cause: notFound}
}

func (w write) conflictError(current Object) error {
	return &ConflictError{ExpectedVersion: w.object.Version, Current: current}
}

// resolve learns the outcome of a write whose answer was lost. It reads the
// object back first. If that shows the old version, the lost attempt may still
// arrive, so the same conditional write is sent again: only one of the attempts
// can take effect, and after the answer to the later one neither can any more.
func (c *Client) resolve(ctx context.Context, w write, cause error) (Object, error) {
	deadline, cancel := context.WithTimeout(ctx, c.cfg.ResolveTimeout)
	defer cancel()
	for failures := 1; ; failures++ {
		o, err := c.resolveOnce(deadline, w)
		if !isUnclear(err) {
			return o, err
		}
		if sleep(deadline, c.circuit.delay(failures)) != nil {
			return Object{}, &OutcomeUnknownError{Kind: w.object.Kind, Name: w.object.Name, Cause: cause}
		}
	}
}

func (c *Client) resolveOnce(ctx context.Context, w write) (Object, error) {
	current, err := c.readBack(ctx, w)
	if err != nil {
		return Object{}, &unclearError{cause: err}
	}
	if current.Version > w.object.Version {
		return w.recognize(current)
	}
	// The read may be older than the write, so that only a write decides.
	if err := c.spend(ctx, c.writes); err != nil {
		return Object{}, &unclearError{cause: err}
	}
	a, err := c.roundTrip(ctx, c.writer, w.call, c.cfg.CallTimeout)
	return w.conclude(a, err, true)
}

// readBack returns the stored object, with version zero if it does not exist.
func (c *Client) readBack(ctx context.Context, w write) (Object, error) {
	if err := c.spend(ctx, c.reads); err != nil {
		return Object{}, err
	}
	a, err := c.roundTrip(ctx, c.reader, w.protocol.Get(w.object.Kind, w.object.Name), c.cfg.CallTimeout)
	if err != nil {
		return Object{}, err
	}
	o, err := c.decodeObject(a, w.object.Kind, w.object.Name)
	var notFound *NotFoundError
	if errors.As(err, &notFound) {
		return Object{}, nil
	}
	return o, err
}
