package objectapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// probePollWait bounds a watch that probes a platform which failed.
const probePollWait = time.Millisecond

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	a, err := c.read(ctx, c.cfg.Protocol.Get(kind, name))
	if err != nil {
		return Object{}, err
	}
	return c.decodeObject(a, kind, name)
}

func (c *Client) decodeObject(a answer, kind, name string) (Object, error) {
	switch a.status {
	case http.StatusOK:
		o, err := c.cfg.Protocol.DecodeObject(kind, a.body)
		if err != nil {
			return Object{}, &UnavailableError{Cause: undecodable(err)}
		}
		return o, nil
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Kind: kind, Name: name}
	default:
		return Object{}, &UnavailableError{Cause: statusError(a)}
	}
}

func undecodable(err error) error { return errors.Wrap(err, "platform answer cannot be decoded") }

// List returns all objects of a kind and the revision at which its first page
// was read, so that a watch from there reports what changed between pages.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	var (
		all      []Object
		revision uint64
		after    string
	)
	for first := true; first || after != ""; first = false {
		a, err := c.read(ctx, c.cfg.Protocol.List(kind, after))
		page, err := c.decodePage(ctx, kind, a, err)
		if err != nil {
			return nil, 0, err
		}
		if first {
			revision = page.Revision
		}
		if page.Next != "" && page.Next <= after {
			return nil, 0, &UnavailableError{Cause: errors.Newf("list of %q does not advance past %q", kind, after)}
		}
		all, after = append(all, page.Objects...), page.Next
	}
	return all, revision, nil
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
	a, err := c.roundTrip(ctx, c.reader, c.cfg.Protocol.Watch(kind, after, wait), wait+c.cfg.PollGrace)
	page, err := c.decodePage(ctx, kind, a, err)
	if err != nil {
		return nil, 0, err
	}
	return page.Objects, page.Revision, nil
}

// Hosts returns the host list, which is empty if the API has none.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	call, ok := c.cfg.Protocol.Hosts()
	if !ok {
		return nil, nil
	}
	a, err := c.read(ctx, call)
	if err := pageError(ctx, a, err); err != nil {
		return nil, err
	}
	hosts, err := c.cfg.Protocol.DecodeHosts(a.body)
	if err != nil {
		return nil, &UnavailableError{Cause: undecodable(err)}
	}
	return hosts, nil
}

func (c *Client) decodePage(ctx context.Context, kind string, a answer, err error) (Page, error) {
	if err := pageError(ctx, a, err); err != nil {
		return Page{}, err
	}
	page, err := c.cfg.Protocol.DecodePage(kind, a.body)
	if err != nil {
		return Page{}, &UnavailableError{Cause: undecodable(err)}
	}
	return page, nil
}

func pageError(ctx context.Context, a answer, err error) error {
	switch {
	case err != nil:
		return readError(ctx, err)
	case a.status == http.StatusGone:
		return &HistoryGoneError{}
	case a.status != http.StatusOK:
		return &UnavailableError{Cause: statusError(a)}
	default:
		return nil
	}
}

// read sends a read. After a failed connection it tries once more on a fresh
// one, since a read may be repeated.
func (c *Client) read(ctx context.Context, r Call) (answer, error) {
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
