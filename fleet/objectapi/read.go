package objectapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// probePollWait is the long-poll duration of a watch that serves as the circuit's probe.
const probePollWait = time.Millisecond

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	resp, err := c.read(ctx, c.cfg.Protocol.Get(kind, name))
	if err != nil {
		return Object{}, err
	}
	return c.decodeObject(resp, kind, name)
}

func (c *Client) decodeObject(resp response, kind, name string) (Object, error) {
	switch resp.status {
	case http.StatusOK:
		o, err := decodeObject(c.cfg.Protocol, kind, resp)
		if err != nil {
			return Object{}, &UnavailableError{Cause: wrapDecodeError(err)}
		}
		return o, nil
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Kind: kind, Name: name}
	default:
		return Object{}, &UnavailableError{Cause: statusError(resp)}
	}
}

func wrapDecodeError(err error) error { return errors.Wrap(err, "platform response cannot be decoded") }

// decodeObject decodes an object and adds the era of the answer to its versions.
func decodeObject(p Protocol, kind string, resp response) (Object, error) {
	o, err := p.DecodeObject(kind, resp.body)
	if err == nil {
		err = composeObject(&o, resp.era)
	}
	return o, err
}

// List returns all objects of a kind and the revision of the first page, so that a
// watch from that revision also returns changes made between pages. It fails if the store
// returns from an older copy between pages.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	var (
		all      []Object
		revision uint64
		era      uint64
		after    string
	)
	for first := true; first || after != ""; first = false {
		resp, err := c.read(ctx, c.cfg.Protocol.List(kind, after))
		page, err := c.decodePage(ctx, kind, resp, err)
		if err != nil {
			return nil, 0, err
		}
		if first {
			revision, era = page.Revision, resp.era
		}
		if resp.era != era {
			return nil, 0, &UnavailableError{Cause: errors.Newf("the store returned from an older copy during the list of %q", kind)}
		}
		if page.Next != "" && page.Next <= after {
			return nil, 0, &UnavailableError{Cause: errors.Newf("list of %q does not advance past %q", kind, after)}
		}
		all, after = append(all, page.Objects...), page.Next
	}
	return all, revision, nil
}

// Watch implements Store. While the circuit is open it blocks instead of failing, so
// that a loop around it does not spin.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error) {
	if err := c.admit(ctx, c.readLimiter, true); err != nil {
		return nil, 0, err
	}
	if c.era.isFormer(after) {
		c.breaker.record(c.now(), resultCanceled)
		return nil, 0, &HistoryGoneError{}
	}
	ctx, cancel := c.era.untilRise(ctx, after)
	defer cancel()
	wait := c.cfg.PollWait
	if c.breaker.failing() {
		// Other calls are rejected until this probe ends, so it must be short.
		wait = probePollWait
	}
	resp, err := c.roundTrip(ctx, c.readClient, c.cfg.Protocol.Watch(kind, c.outgoing(after), wait), wait+c.cfg.PollGrace)
	if c.era.isFormer(after) {
		// The changes after the revision are those of another history.
		return nil, 0, &HistoryGoneError{}
	}
	page, err := c.decodePage(ctx, kind, resp, err)
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
	resp, err := c.read(ctx, call)
	if err := checkPage(ctx, resp, err); err != nil {
		return nil, err
	}
	hosts, err := c.cfg.Protocol.DecodeHosts(resp.body)
	if err != nil {
		return nil, &UnavailableError{Cause: wrapDecodeError(err)}
	}
	return hosts, nil
}

func (c *Client) decodePage(ctx context.Context, kind string, resp response, err error) (Page, error) {
	if err := checkPage(ctx, resp, err); err != nil {
		return Page{}, err
	}
	page, err := c.cfg.Protocol.DecodePage(kind, resp.body)
	if err == nil {
		err = composePage(&page, resp.era)
	}
	if err != nil {
		return Page{}, &UnavailableError{Cause: wrapDecodeError(err)}
	}
	return page, nil
}

func checkPage(ctx context.Context, resp response, err error) error {
	switch {
	case err != nil:
		return readError(ctx, err)
	case resp.status == http.StatusGone:
		return &HistoryGoneError{}
	case resp.status != http.StatusOK:
		return &UnavailableError{Cause: statusError(resp)}
	default:
		return nil
	}
}

// read sends a read request, and once more on a new connection if the first one
// failed after it was opened: reads are idempotent.
func (c *Client) read(ctx context.Context, call Call) (response, error) {
	if err := c.admit(ctx, c.readLimiter, false); err != nil {
		return response{}, err
	}
	half := c.cfg.CallTimeout / 2
	resp, err := c.roundTrip(ctx, c.readClient, call, half)
	if err == nil || !canRetryRead(ctx, err) {
		return resp, readError(ctx, err)
	}
	if enterErr := c.admit(ctx, c.readLimiter, false); enterErr != nil {
		return response{}, readError(ctx, err)
	}
	resp, err = c.roundTrip(ctx, c.readClient, call, half)
	return resp, readError(ctx, err)
}

func canRetryRead(ctx context.Context, err error) bool {
	var sent *possiblySentError
	return ctx.Err() == nil && errors.As(err, &sent)
}

// readError returns the error of ctx if ctx has ended, and otherwise err as an
// *UnavailableError.
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
