package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/scheduler"
)

// errStopping ends the requests that are left when the entry stops.
var errStopping = errors.New("the entry stops")

// reasonStopping is the reason of refusals because the entry stops.
const reasonStopping scheduler.Reason = "the entry stops before it could be done"

// drain is the planned end of a handler.
type drain struct {
	// begun ends when the drain begins, after deadline is set. over ends at the deadline.
	begun, over context.Context
	begin, end  context.CancelFunc
	deadline    time.Time

	mu sync.Mutex // leaf lock
	// cut counts the requests that were left at the deadline and may have run.
	cut int
}

func newDrain() *drain {
	d := &drain{}
	d.begun, d.begin = context.WithCancel(context.Background())
	d.over, d.end = context.WithCancel(context.Background())
	return d
}

// Drain prepares the handler for the end of its process. From now on it refuses requests that
// cannot be expected to be done by the deadline; they may run at another entry. At the deadline, or
// when ctx ends if that is sooner, it answers all that are left: what has not run is refused, what
// may have run is told so. It must be called once, and returns at once.
func (h *Handler) Drain(ctx context.Context, deadline time.Time) {
	d := h.drain
	d.deadline = deadline
	d.begin()
	timer := time.AfterFunc(time.Until(deadline), d.end)
	context.AfterFunc(ctx, func() {
		timer.Stop()
		d.end()
	})
}

// CutOff returns the number of requests that may have run and whose clients were not told how they
// ended, because the drain was over.
func (h *Handler) CutOff() int {
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	return h.drain.cut
}

func (d *drain) countCutOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut++
}

// isBegun reports whether the drain has begun. The deadline is set if so.
func (d *drain) isBegun() bool { return d.begun.Err() != nil }

// lastStart returns the time until which a request may be sent to an endpoint, once the drain has
// begun. What ends by its own deadline is answered in any case.
func (d *drain) lastStart(q *request) time.Time {
	if !q.deadline.After(d.deadline) {
		return d.deadline
	}
	return d.deadline.Add(-q.service.expectedDuration(q.route))
}

// whileStartable returns a context that ends when it is too late to send the request to an endpoint.
func (d *drain) whileStartable(ctx context.Context, q *request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if d.isBegun() && !time.Now().Before(d.lastStart(q)) {
		cancel(errStopping)
		return ctx, func() {}
	}
	stop := context.AfterFunc(d.begun, func() {
		t := time.NewTimer(time.Until(d.lastStart(q)))
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
			cancel(errStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endAtDrain ends a request's context when the drain is over. stop must be called.
func (d *drain) endAtDrain(cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(d.over, func() { cancel(errStopping) })
}

// acquire waits for the permission to send the request to an endpoint. It refuses a request that
// could not be done before the entry stops. A stream that has begun goes on as long as it can.
func (h *Handler) acquire(ctx context.Context, q *request, r scheduler.Request) (*Slot, scheduler.Decision) {
	if r.Resumed {
		return q.service.Acquire(ctx, r, h.queued(q))
	}
	waitCtx, cancel := h.drain.whileStartable(ctx, q)
	defer cancel()
	if waitCtx.Err() == nil {
		if slot, d := q.service.Acquire(waitCtx, r, h.queued(q)); slot != nil || d.Reason != "" {
			return slot, d
		}
	}
	if ctx.Err() != nil {
		return nil, scheduler.Decision{}
	}
	return nil, scheduler.Decision{Reason: reasonStopping}
}

// errBodyLate reports that a body was not complete when it was too late for its request.
var errBodyLate = errors.New("the body did not arrive in time")

// bodyBound ends the reading of a body when it is too late for its request. The read deadline of the
// connection is set only then: one that passes just after the body was read would look like the
// client's disconnect.
type bodyBound struct {
	rc *http.ResponseController

	mu    sync.Mutex
	done  bool
	cause error // why the reading was ended; nil if it was not
}

// expire ends the reading, unless the body is complete.
func (b *bodyBound) expire(cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done || b.cause != nil {
		return
	}
	b.cause = cause
	_ = b.rc.SetReadDeadline(time.Now()) // It fails only if the connection is closed.
}

// complete ends the bound and returns why the reading was ended, nil if the body was read in time.
func (b *bodyBound) complete() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done = true
	return b.cause
}
