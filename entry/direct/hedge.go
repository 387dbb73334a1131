package direct

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
)

// A hedge is a second attempt that is sent to another endpoint while the first one is silent. The first one goes on
// until the hedge has what the client needs: an endpoint that is silent may still answer, and another one that looks
// free may refuse, fail or be silent too. A hedge that is silent itself is hedged in the same way.

const (
	// hedgeTargets is the time after which a buffered request is hedged, as a multiple of the target latency.
	hedgeTargets = 2
	// hedgeRetryInterval is the least time between two searches for an endpoint that takes a hedge.
	hedgeRetryInterval = 100 * time.Millisecond
)

var (
	// errHedged ends a silent attempt because another endpoint has gone on with the request.
	errHedged = errors.New("the endpoint is silent and another one went on")
	// errNotHedged ends a hedge because the first attempt has gone on.
	errNotHedged = errors.New("the first attempt went on")
)

// mayHedge reports whether a silent attempt may be repeated at another endpoint even if it was executed, apart from
// the budget. A request with a part in question is not: it may end the other endpoint too.
func (q *request) mayHedge() bool {
	return q.route.Retryable() && q.counted() < q.route.MaxAttempts && q.service.quarantine.passes(q)
}

// silentSlots are the slots of the attempts of a request that are under way without an answer, in the order of their
// start.
type silentSlots []*Slot

func (l silentSlots) and(s *Slot) silentSlots { return append(slices.Clone(l), s) }

func (l silentSlots) last() *Slot { return l[len(l)-1] }

func (l silentSlots) names() []id.Endpoint {
	out := make([]id.Endpoint, len(l))
	for i, s := range l {
		out[i] = s.Backend.Name
	}
	return out
}

// acquireHedge waits until the request may be sent to an endpoint other than the silent ones and takes a retry from
// the budget. It returns nil if no endpoint takes it now, no retry is left or ctx ends.
func (h *Handler) acquireHedge(ctx context.Context, q *request, silent silentSlots, r scheduler.Request) (*Slot, scheduler.Decision) {
	if !q.service.HasRetry() {
		silent.last().RecordHang()
		return nil, scheduler.Decision{}
	}
	r.Exclude = q.excludedAnd(silent.names()...)
	slot, d := h.acquire(ctx, q, r)
	if slot == nil {
		return nil, d
	}
	silent.last().RecordHang()
	if !q.mayHedge() || !q.service.AcquireRetry() {
		slot.Release(Neutral)
		return nil, d
	}
	h.requestLog.repeated(q, silent.last().Backend.Name, nil, "the endpoint is silent")
	return slot, d
}

// logHedge logs how a hedge ended and keeps further attempts from an endpoint that failed.
func (h *Handler) logHedge(ctx context.Context, q *request, silent, slot *Slot, err error) {
	result := hedgeWon
	switch {
	case ctx.Err() != nil:
		result, err = hedgeCancelled, context.Cause(ctx)
	case err != nil:
		result = hedgeFailed
		q.exclude(slot.Backend.Name)
	}
	h.requestLog.hedged(q, silent.Backend.Name, slot.Backend.Name, result, err)
}

// isFinal reports whether the result of an attempt ends the request. A refusal, a failure or an error may be followed
// by another attempt.
func isFinal(resp *response, err error) bool {
	return err == nil && (resp == nil || !resp.info.NotRun && resp.status < http.StatusInternalServerError)
}

// notFinalError describes a result that does not end the request.
func notFinalError(resp *response, err error) error {
	if err != nil || isFinal(resp, err) {
		return err
	}
	return errors.Newf("the endpoint answered %d", resp.status)
}

// hedge is a second attempt beside a silent one.
type hedge struct {
	// cancel ends the hedge. done is closed when it has ended.
	cancel context.CancelCauseFunc
	done   chan struct{}

	mu sync.Mutex // leaf lock
	// sent is true while the hedge is at an endpoint, over once the first attempt has ended without it.
	sent, over bool
	// accepted is true once the request goes on with the hedge, abandoned once it goes on without.
	accepted, abandoned bool
}

func newHedge(ctx context.Context) (context.Context, *hedge) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &hedge{cancel: cancel, done: make(chan struct{})}
}

// begin reports whether the hedge may be sent.
func (g *hedge) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = !g.over
	return g.sent
}

// end records that what was sent has failed, and reports whether the hedge may be sent once more.
func (g *hedge) end() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = false
	return !g.over
}

// await waits for the end of the hedge after the first attempt failed. A hedge that has found no endpoint is given up.
func (g *hedge) await() {
	g.mu.Lock()
	g.over = true
	if !g.sent {
		g.cancel(errNotHedged)
	}
	g.mu.Unlock()
	<-g.done
}

// accept reports whether the request goes on with the hedge, which has what the client needs. The first attempt may
// have gone on before.
func (g *hedge) accept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accepted = !g.abandoned
	return g.accepted
}

// abandon ends the hedge unless it was accepted, waits until it has ended, and reports whether it was abandoned.
func (g *hedge) abandon() bool {
	g.mu.Lock()
	g.abandoned = !g.accepted
	if g.abandoned {
		g.cancel(errNotHedged)
	}
	g.mu.Unlock()
	<-g.done
	return g.abandoned
}

// hedgeDelay returns the time after which a buffered request is hedged, false if it is not.
func (q *request) hedgeDelay() (time.Duration, bool) {
	if !q.route.Retryable() || q.counted()+1 >= q.route.MaxAttempts || q.route.TargetLatency <= 0 {
		return 0, false
	}
	delay := hedgeTargets * q.route.TargetLatency
	return delay, delay < time.Until(q.deadline)*3/4
}

// attemptBuffered sends the request to the slot's endpoint, and to another one too if that takes long. It returns the
// first final answer and the slot of its endpoint, or else the result at the slot. A hedge is sent over a fresh
// connection, while the silent attempts go on.
func (h *Handler) attemptBuffered(ctx context.Context, q *request, slot *Slot, silent silentSlots) (*response, *Slot, error) {
	fresh := len(silent) > 0
	delay, ok := q.hedgeDelay()
	if !ok {
		resp, err := h.exchangeBuffered(ctx, q, slot, fresh)
		return resp, slot, err
	}
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	defer cancelFirst(nil)
	hedgeCtx, g := newHedge(ctx)
	var (
		hedged     *response
		hedgedSlot *Slot
	)
	go func() {
		defer close(g.done)
		pauseFor(hedgeCtx, delay, nil)
		if hedged, hedgedSlot = h.hedgeBuffered(hedgeCtx, q, silent.and(slot), g); hedged != nil {
			cancelFirst(errHedged)
		}
	}()
	resp, err := h.exchangeBuffered(firstCtx, q, slot, fresh)
	if isFinal(resp, err) {
		g.abandon()
		return resp, slot, nil
	}
	if g.await(); hedged != nil {
		h.recordRefusal(q, slot, resp)
		return hedged, hedgedSlot, nil
	}
	return resp, slot, err
}

// hedgeBuffered sends the request to endpoints other than the silent ones until one gives a final answer, the attempts
// or the budget are used up or ctx ends.
func (h *Handler) hedgeBuffered(ctx context.Context, q *request, silent silentSlots, g *hedge) (*response, *Slot) {
	for ctx.Err() == nil && q.counted() < q.route.MaxAttempts {
		slot, d := h.acquireHedge(ctx, q, silent, q.schedulerRequest())
		if slot == nil {
			pauseFor(ctx, max(d.RetryAfter, hedgeRetryInterval), nil)
			continue
		}
		if !g.begin() {
			slot.Release(Neutral)
			return nil, nil
		}
		resp, answered, err := h.attemptBuffered(ctx, q, slot, silent)
		h.recordRefusal(q, answered, resp)
		err = notFinalError(resp, err)
		if answered != slot {
			h.logHedge(ctx, q, silent.last(), slot, errHedged)
		} else {
			h.logHedge(ctx, q, silent.last(), slot, err)
		}
		if err == nil {
			return resp, answered
		}
		if !g.end() {
			return nil, nil
		}
	}
	return nil, nil
}
