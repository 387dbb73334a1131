package objectapi

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// eraShift is the number of low bits of a version that hold the store's own one.
	eraShift = 48
	// maxRevision is the greatest revision that a store with eras may have.
	maxRevision = 1<<eraShift - 1
	eraBits     = 64 - eraShift
)

// ComposeVersion returns a version or revision of an era, so that versions order by the era
// first. In era zero it is the store's own one.
func ComposeVersion(era, version uint64) uint64 { return era<<eraShift | version }

// EraOf returns the era of a version or revision.
func EraOf(version uint64) uint64 { return version >> eraShift }

// WithoutEra returns the store's own version or revision.
func WithoutEra(version uint64) uint64 { return version & maxRevision }

// EraSource is implemented by a Store that knows the era of the platform's store, which
// rises each time the store returns from an older copy.
type EraSource interface{ Era() uint64 }

// CurrentEra returns the greatest era that a Store has seen, zero if it knows none.
func CurrentEra(s Store) uint64 {
	if e, ok := s.(EraSource); ok {
		return e.Era()
	}
	return 0
}

var errRevisionTooGreat = errors.Newf("revision of a store with eras exceeds %d", uint64(maxRevision))

func compose(era uint64, versions ...*uint64) error {
	if era == 0 {
		return nil
	}
	for _, v := range versions {
		if *v > maxRevision {
			return errRevisionTooGreat
		}
		if *v != 0 {
			*v = ComposeVersion(era, *v)
		}
	}
	return nil
}

// composeObject adds an era to the versions of a decoded object. Zero stays zero.
func composeObject(o *Object, era uint64) error {
	return compose(era, &o.Version, &o.Revision, &o.Created)
}

func composePage(p *Page, era uint64) error {
	for i := range p.Objects {
		if err := composeObject(&p.Objects[i], era); err != nil {
			return err
		}
	}
	if era != 0 && p.Revision > maxRevision {
		return errRevisionTooGreat
	}
	if era != 0 {
		p.Revision = ComposeVersion(era, p.Revision) // Also of an empty store.
	}
	return nil
}

// outgoing returns the store's own version or revision, as it is sent.
func (c *Client) outgoing(version uint64) uint64 {
	if c.cfg.Protocol.EraHeader() == "" {
		return version
	}
	return WithoutEra(version)
}

// formerEraError reports an answer of a former era that arrived after one of a later era.
type formerEraError struct{ answer, current uint64 }

func (e *formerEraError) Error() string {
	return "answer of era " + strconv.FormatUint(e.answer, 10) + " of the store arrived in era " + strconv.FormatUint(e.current, 10)
}

// readEra returns the era of an answer and records it. An answer of a former era is an error,
// as its content may not be taken for the current one.
func (c *Client) readEra(resp response) (uint64, error) {
	name := c.cfg.Protocol.EraHeader()
	if name == "" {
		return 0, nil
	}
	var era uint64
	text := resp.header.Get(name)
	if text != "" {
		var err error
		if era, err = strconv.ParseUint(text, 10, eraBits); err != nil {
			return 0, &possiblySentError{cause: errors.Newf("header %s of an answer is %q, not an era", name, text)}
		}
	}
	overloaded := resp.status >= http.StatusInternalServerError || resp.status == http.StatusTooManyRequests
	if overloaded && text == "" {
		return c.era.current(), nil // A front end may answer for the store. The answer has no state.
	}
	if current := c.era.observe(era); era < current {
		return 0, &possiblySentError{cause: &formerEraError{answer: era, current: current}}
	}
	return era, nil
}

// eraTracker holds the greatest era of all answers. It is safe for concurrent use.
type eraTracker struct {
	onRise func(before, after uint64)

	mu    sync.Mutex // leaf lock
	era   uint64
	known bool
	// risen is closed and replaced when the era rises.
	risen chan struct{}
}

func newEraTracker(onRise func(before, after uint64)) *eraTracker {
	if onRise == nil {
		onRise = func(uint64, uint64) {}
	}
	return &eraTracker{onRise: onRise, risen: make(chan struct{})}
}

func (t *eraTracker) current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// observe records the era of an answer and returns the greatest one. The first one is no rise.
func (t *eraTracker) observe(era uint64) uint64 {
	t.mu.Lock()
	before, known := t.era, t.known
	t.known = true
	if era <= before {
		t.mu.Unlock()
		return before
	}
	t.era = era
	close(t.risen)
	t.risen = make(chan struct{})
	t.mu.Unlock()
	if known {
		t.onRise(before, era)
	}
	return era
}

// forWrite returns the era in which a write with an expected version is sent, and whether it is
// known. A version of a later era than that of all answers came from another process.
func (t *eraTracker) forWrite(version uint64) (era uint64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return EraOf(version), version != 0
	}
	return max(t.era, EraOf(version)), true
}

// isFormer reports whether a version is of a former era.
func (t *eraTracker) isFormer(version uint64) bool { return EraOf(version) < t.current() }

// untilRise returns a context that ends when the era rises above that of a version.
func (t *eraTracker) untilRise(ctx context.Context, version uint64) (context.Context, context.CancelFunc) {
	t.mu.Lock()
	risen, former := t.risen, EraOf(version) < t.era
	t.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	if former {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-risen:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
