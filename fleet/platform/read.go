package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// probePollWait bounds a watch that probes a platform which failed.
const probePollWait = time.Millisecond

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	r := request{method: http.MethodGet, path: objectPath(kind, name), limit: maxAnswerBytes}
	a, err := c.read(ctx, r)
	if err != nil {
		return Object{}, err
	}
	return decodeObject(a, kind, name)
}

func decodeObject(a answer, kind, name string) (Object, error) {
	switch a.status {
	case http.StatusOK:
		var o Object
		if err := decode(a, &o); err != nil {
			return Object{}, &UnavailableError{Cause: err}
		}
		return o, nil
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Kind: kind, Name: name}
	default:
		return Object{}, &UnavailableError{Cause: statusError(a)}
	}
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	r := request{method: http.MethodGet, path: PathObjects + "/" + url.PathEscape(kind), limit: maxListBytes}
	var l ObjectList
	if err := c.readInto(ctx, r, &l); err != nil {
		return nil, 0, err
	}
	return l.Objects, l.Revision, nil
}

// Watch returns the objects of a kind written after a revision. It waits out
// the backoff after failures, so that a loop around it does not spin.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error) {
	if err := c.enter(ctx, c.reads, true); err != nil {
		return nil, 0, err
	}
	wait := c.cfg.PollWait
	if c.circuit.failing() {
		// This call is the probe that others wait for, so it must be short.
		wait = probePollWait
	}
	query := url.Values{}
	query.Set(QueryAfter, strconv.FormatUint(after, 10))
	query.Set(QueryWait, strconv.FormatInt(wait.Milliseconds(), 10))
	r := request{method: http.MethodGet, path: PathObjects + "/" + url.PathEscape(kind), query: query, limit: maxListBytes}
	a, err := c.roundTrip(ctx, c.reader, r, wait+c.cfg.PollGrace)
	var l ObjectList
	if err := decodeList(ctx, a, err, &l); err != nil {
		return nil, 0, err
	}
	return l.Objects, l.Revision, nil
}

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var l HostList
	if err := c.readInto(ctx, request{method: http.MethodGet, path: PathHosts, limit: maxListBytes}, &l); err != nil {
		return nil, err
	}
	return l.Hosts, nil
}

func (c *Client) readInto(ctx context.Context, r request, v any) error {
	a, err := c.read(ctx, r)
	return decodeList(ctx, a, err, v)
}

func decodeList(ctx context.Context, a answer, err error, v any) error {
	if err != nil {
		return readError(ctx, err)
	}
	if a.status != http.StatusOK {
		return &UnavailableError{Cause: statusError(a)}
	}
	if err := decode(a, v); err != nil {
		return &UnavailableError{Cause: err}
	}
	return nil
}

// read sends a read. After a failed connection it tries once more on a fresh
// one, since a read may be repeated.
func (c *Client) read(ctx context.Context, r request) (answer, error) {
	if err := c.enter(ctx, c.reads, false); err != nil {
		return answer{}, err
	}
	half := c.cfg.CallTimeout / 2
	a, err := c.roundTrip(ctx, c.reader, r, half)
	if err == nil || !retryRead(ctx, err) {
		return a, readError(ctx, err)
	}
	if enterErr := c.enter(ctx, c.reads, false); enterErr != nil {
		return answer{}, readError(ctx, err)
	}
	a, err = c.roundTrip(ctx, c.reader, r, half)
	return a, readError(ctx, err)
}

func retryRead(ctx context.Context, err error) bool {
	var sent *sentError
	return ctx.Err() == nil && errors.As(err, &sent)
}

// readError returns the error of ctx if that ended the call, an unchanged
// UnavailableError, and any other error as *UnavailableError.
func readError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return err
	}
	return &UnavailableError{Cause: err}
}
