package direct

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// silenceWatchdog hedges an attempt whose stream is silent while others of its service are active.
type silenceWatchdog struct {
	handler  *Handler
	request  *request
	attempt  *streamAttempt
	timeouts silenceTimeouts
	// ctx is that of the request.
	ctx context.Context

	mu       sync.Mutex // locked before Service.mu
	timer    *time.Timer
	position streamPosition
	// hedge is the one that is under way, nil without one. won is set once it goes on with the stream.
	hedge *hedge
	won   *streamAttempt
	// ended is true once the attempt has ended.
	ended bool
	wg    sync.WaitGroup
}

func (h *Handler) watchSilence(ctx context.Context, q *request, a *streamAttempt, position streamPosition) *silenceWatchdog {
	w := &silenceWatchdog{handler: h, request: q, attempt: a, timeouts: silenceTimeoutsOf(q.route), ctx: ctx, position: position}
	w.mu.Lock() // expire uses timer.
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeouts.first, w.expire)
	return w
}

// expire starts a hedge, or looks again later.
func (w *silenceWatchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.hedge != nil {
		return
	}
	if w.request.service.SinceLastEvent() > w.timeouts.othersActive || !w.request.mayHedge() {
		w.timer.Reset(w.timeouts.othersActive)
		return
	}
	ctx, g := newHedge(w.ctx)
	w.hedge = g
	from := w.position
	w.wg.Go(func() { w.runHedge(ctx, g, from) })
}

// runHedge sends the rest of the stream to another endpoint and ends the silent attempt once that goes on with it.
func (w *silenceWatchdog) runHedge(ctx context.Context, g *hedge, from streamPosition) {
	defer close(g.done)
	a := w.handler.hedgeStream(ctx, w.request, silentSlots{w.attempt.slot}, g, from)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.hedge != g || ctx.Err() != nil:
		if a != nil {
			a.close()
		}
	case a != nil:
		w.won = a
		w.attempt.cancel(errHedged)
		return
	}
	if w.hedge == g {
		w.hedge = nil
		if !w.ended {
			w.timer.Reset(w.timeouts.othersActive)
		}
	}
}

// resume records that an event arrived, which ends a hedge. It returns false if the hedge has gone on before.
func (w *silenceWatchdog) resume() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.won != nil {
		return false
	}
	if w.hedge != nil {
		w.hedge.cancel(errNotHedged)
		w.hedge = nil
	}
	w.timer.Reset(w.timeouts.next)
	return true
}

// setPosition sets the position at which a hedge begins.
func (w *silenceWatchdog) setPosition(p streamPosition) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.position = p
}

// end ends the watch and returns the hedge that is under way.
func (w *silenceWatchdog) end() *hedge {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	return w.hedge
}

// stop ends the watch of an attempt after which no other one follows.
func (w *silenceWatchdog) stop() {
	if g := w.end(); g != nil {
		g.abandon()
	}
	w.wg.Wait()
	if w.won != nil {
		w.won.close()
	}
}

// takeHedge ends the watch of an attempt that failed. It returns the hedge once that goes on, nil without one.
func (w *silenceWatchdog) takeHedge() *streamAttempt {
	if g := w.end(); g != nil {
		g.await()
	}
	w.wg.Wait()
	return w.won
}

// hedgeStream begins the rest of a stream at an endpoint other than the silent ones, and at a further one if that is
// silent too. It returns the attempt once an event or the end of the stream has arrived, nil if there is none.
func (h *Handler) hedgeStream(ctx context.Context, q *request, silent silentSlots, g *hedge, from streamPosition) *streamAttempt {
	slot, _ := h.acquireHedge(ctx, q, silent, from.schedulerRequest(q))
	if slot == nil {
		return nil
	}
	if !g.begin() {
		slot.Release(Neutral)
		return nil
	}
	a := newStreamAttempt(ctx, slot, from)
	nextCtx, next := newHedge(ctx)
	var won *streamAttempt
	go func() {
		defer close(next.done)
		b := h.hedgeSilentHedge(nextCtx, q, silent.and(slot), next, from)
		switch {
		case b == nil:
		case next.accept():
			won = b
			a.cancel(errHedged)
		default:
			b.close()
		}
	}()
	resp, err := h.openStream(q, a, true)
	h.recordRefusal(q, slot, resp)
	if resp != nil {
		err = errors.Newf("the endpoint answered %d", resp.status)
	} else if err == nil {
		if err = a.peek(); err != nil {
			err = h.fail(q, a, err)
		}
	}
	if err == nil && !next.abandon() {
		err = errHedged
	}
	h.logHedge(ctx, q, silent.last(), slot, err)
	if err == nil {
		return a
	}
	a.close()
	next.await()
	return won
}

// hedgeSilentHedge begins the rest of a stream at a further endpoint if a hedge is silent too while other streams of
// the service are active.
func (h *Handler) hedgeSilentHedge(ctx context.Context, q *request, silent silentSlots, g *hedge, from streamPosition) *streamAttempt {
	timeouts := silenceTimeoutsOf(q.route)
	pauseFor(ctx, timeouts.next, nil)
	for ctx.Err() == nil && q.counted() < q.route.MaxAttempts {
		if q.service.SinceLastEvent() <= timeouts.othersActive && q.mayHedge() {
			if a := h.hedgeStream(ctx, q, silent, g, from); a != nil {
				return a
			}
			if !g.end() {
				return nil
			}
		}
		pauseFor(ctx, timeouts.othersActive, nil)
	}
	return nil
}
