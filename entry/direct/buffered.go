package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/entry/intake"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/entry/upstream"
)

// serveBuffered sends the request to endpoints until one returns a complete response.
func (h *Handler) serveBuffered(ctx context.Context, w http.ResponseWriter, q *request) {
	var (
		resp *response
		err  error
	)
	for {
		if v, ok := q.service.quarantine.admit(ctx, q); !ok && ctx.Err() == nil {
			h.endQuarantined(w, q, v)
			return
		}
		slot, d := h.acquire(ctx, q, q.schedulerRequest())
		switch {
		case slot != nil:
		case ctx.Err() != nil:
			h.endExpired(ctx, w, q)
			return
		case q.sent > q.refused:
			h.writeResult(w, q, resp, err)
			return
		default:
			h.refuse(w, q, d)
			return
		}
		if !q.service.quarantine.begin(q) {
			slot.Release(Neutral)
			continue
		}
		resp, slot, err = h.attemptBuffered(ctx, q, slot, nil)
		q.service.quarantine.end(q)
		if err != nil {
			v, ok := q.service.quarantine.admit(ctx, q)
			switch {
			case ctx.Err() != nil:
				h.endExpired(ctx, w, q)
				return
			case !ok:
				h.endQuarantined(w, q, v) // Without taking a retry from the budget.
				return
			}
		}
		if !h.acquireRetry(q, slot, resp, err) {
			h.writeResult(w, q, resp, err)
			return
		}
	}
}

// exchangeBuffered sends the request once and buffers the response.
func (h *Handler) exchangeBuffered(ctx context.Context, q *request, slot *Slot, fresh bool) (resp *response, err error) {
	outcome := Neutral
	defer func() { slot.Release(outcome) }()
	p := &progress{sentAt: time.Now()}
	x, err := h.send(ctx, q, slot, "", fresh)
	if err != nil {
		outcome = outcomeOf(err)
		h.recordLoss(ctx, q, slot, p, err)
		return nil, err
	}
	defer x.Close()
	p.answering = true
	info, err := h.checkResponse(q, slot, x)
	if err != nil {
		outcome = Failed
		return nil, err
	}
	resp, outcome, err = h.readWhole(ctx, q, slot, x, info, p)
	return resp, err
}

// outcomeOf returns the outcome of a failed exchange.
func outcomeOf(err error) Outcome {
	if errors.Is(err, errHedged) {
		return Hung
	}
	if errors.Is(err, errZoneEvacuated) || errors.Is(err, errQuarantined) || errors.Is(err, errStopping) || errors.Is(err, errNotHedged) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return Neutral
	}
	return Failed
}

// send sends the request to the slot's endpoint, over a new connection if fresh is true, and counts it unless no
// byte was written.
func (h *Handler) send(ctx context.Context, q *request, slot *Slot, lastEvent string, fresh bool) (*upstream.Exchange, error) {
	try := q.start()
	h.requestLog.chosen(q, slot, try)
	header := q.header.Clone()
	f := ForwardInfo{
		Endpoint: slot.Backend.Name, Remaining: time.Until(q.deadline), Priority: q.endpointPriority(), LastEvent: lastEvent,
	}
	if q.team != nil {
		f.Team = q.team.Name
	}
	h.opt.Codec.WriteForward(header, f)
	out := &upstream.Request{Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.body, BeforeWrite: slot.mayWrite}
	// A reused connection may be dead unnoticed. Requests that must not be repeated or have failed
	// before use a new one. So do further tries of those that may run once: on a connection that
	// carried an earlier try, a late copy of its refusal could be taken for the answer.
	once := !q.route.Retryable()
	fresh = fresh || q.route.Kind == routes.NonIdempotent || q.hasExcluded() || once && try > 1
	x, err := slot.Backend.Pool.Do(ctx, out, fresh)
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		q.notSent()
		if ctx.Err() == nil && !errors.Is(err, errZoneEvacuated) && !errors.Is(err, intake.ErrDescriptors) {
			q.service.MarkUnreachable(slot.Backend.Name)
		}
		return nil, err
	}
	if err != nil {
		q.setMayHaveRun()
		slot.Backend.Pool.CloseIdle()
	}
	return x, err
}

// checkResponse reports whether a response may be forwarded, by its status and headers, and
// records what the endpoint says about itself.
func (h *Handler) checkResponse(q *request, slot *Slot, x *upstream.Exchange) (ResponseInfo, error) {
	info, err := h.ownResponse(q, slot, x)
	if err != nil {
		q.setMayHaveRun()
		return info, err
	}
	q.service.recordBackOff(slot, info, q.info.ID)
	r := x.Response
	if !info.NotRun {
		q.setMayHaveRun()
	}
	switch {
	case r.StatusCode < 300 && !info.Signed:
		return info, errors.New("the answer is not signed")
	case r.Header.Get("Content-Encoding") != "":
		return info, errors.New("the answer is encoded")
	}
	return info, nil
}

// maxForeignResponses bounds the responses before the request's own one that are skipped.
const maxForeignResponses = 2

// ownResponse reads on until the response belongs to the request. A faulty endpoint may write an
// earlier answer once more on a connection that is in use again.
func (h *Handler) ownResponse(q *request, slot *Slot, x *upstream.Exchange) (ResponseInfo, error) {
	for skipped := 0; ; skipped++ {
		info := h.opt.Codec.ParseResponse(x.Response.StatusCode, x.Response.Header)
		q.service.recordLeaving(slot, info)
		q.service.recordCold(slot, info)
		named := info.Request != "" && info.Request == q.info.ID
		if named {
			slot.Backend.namesRequests.Store(true)
		}
		// A response without a name is the request's own one if it is the first on its connection,
		// or if the endpoint never names requests.
		if named || info.Request == "" && !(x.Reused() && slot.Backend.namesRequests.Load()) {
			return info, nil
		}
		h.requestLog.foreign(q, slot, x.Response.StatusCode, info.Request)
		if !x.Reused() || skipped == maxForeignResponses {
			return info, errors.New("the answer belongs to another request")
		}
		if err := x.Next(maxBufferedBytes); err != nil {
			return info, errors.Wrap(err, "after an answer to another request")
		}
	}
}

// maxGroupDownRetries bounds the retries of a request because its group was down, beyond
// the route's attempts. It covers the time for which requests wait for the group's circuit
// breaker to close, if few requests wait.
const maxGroupDownRetries = 8

// acquireRetry reports whether to retry the request after an attempt. It takes the retry
// from the budget, unless nothing was sent.
func (h *Handler) acquireRetry(q *request, slot *Slot, resp *response, err error) bool {
	h.recordRefusal(q, slot, resp)
	why := q.retryReason(resp, err)
	var notSent *upstream.NotSentError
	if why == "" || (!errors.As(err, &notSent) && !q.service.AcquireRetry()) {
		return false
	}
	if !resp.groupDown() && !errors.Is(err, errZoneEvacuated) {
		q.exclude(slot.Backend.Name)
	}
	h.requestLog.repeated(q, slot.Backend.Name, err, why)
	return true
}

// recordRefusal records the cause of a refusal at the service.
func (h *Handler) recordRefusal(q *request, slot *Slot, resp *response) {
	if resp == nil || !resp.info.NotRun {
		return
	}
	q.addRefusal(resp.groupDown())
	if resp.info.WrongInstance {
		q.service.MarkReplaced(slot.Backend.Name)
	}
	if resp.groupDown() {
		q.service.ReportGroupDown(slot.Backend.Name)
	}
}

// groupDown reports whether the endpoint refused because another rank is missing: the
// whole group is down, and no rank of it accepts the request.
func (r *response) groupDown() bool {
	return r != nil && r.info.NotRun && r.info.AtFault != "" && r.info.AtFault != r.endpoint
}

// retryReason returns why a request may be retried, empty if it may not.
func (q *request) retryReason(resp *response, err error) string {
	var notSent *upstream.NotSentError
	switch {
	case errors.Is(err, errZoneEvacuated):
		return "the zone was evacuated"
	case errors.As(err, &notSent):
		return "no connection"
	case resp.groupDown() && q.groupDownRefusals <= maxGroupDownRetries:
		return "the group is down"
	case q.sent-q.groupDownRefusals >= q.route.MaxAttempts:
		return ""
	case err != nil && q.route.Retryable():
		return err.Error()
	case err != nil:
		return ""
	case resp.info.NotRun:
		return "refused"
	case resp.status >= http.StatusInternalServerError && q.route.Retryable():
		return "the endpoint failed"
	}
	return ""
}
