package direct

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/entry/upstream"
)

const (
	// maxWholeAnswer is the largest answer that is read whole before it is passed on. Unit: bytes.
	maxWholeAnswer = 1 << 20
	// tryTargets is the number of targets for which a try is waited for while
	// another endpoint may still be tried.
	tryTargets = 2
)

var errSlowTry = errors.New("the endpoint gave no answer in time")

// serveWhole sends the request to endpoints until one has answered it whole.
func (h *Handler) serveWhole(ctx context.Context, w http.ResponseWriter, q *request) {
	var (
		a   *answer
		err error
	)
	for {
		slot, d := q.service.Acquire(ctx, q.ask(), h.queued(q))
		switch {
		case slot != nil:
		case ctx.Err() != nil:
			h.giveUp(ctx, w, q)
			return
		case q.sent > q.refused:
			h.conclude(w, q, a, err)
			return
		default:
			h.refuse(w, q, d)
			return
		}
		a, err = h.tryWhole(ctx, q, slot)
		if err != nil && ctx.Err() != nil {
			h.giveUp(ctx, w, q)
			return
		}
		if !h.again(q, slot, a, err) {
			h.conclude(w, q, a, err)
			return
		}
	}
}

// tryWhole sends the request once and reads the answer whole.
func (h *Handler) tryWhole(ctx context.Context, q *request, slot *Slot) (a *answer, err error) {
	outcome := Neutral
	defer func() { slot.Release(outcome) }()
	if limit, ok := q.tryLimit(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, time.Now().Add(limit), errSlowTry)
		defer cancel()
	}
	x, err := h.send(ctx, q, slot, "")
	if err != nil {
		outcome = blame(err)
		return nil, err
	}
	defer x.Close()
	v, err := h.check(q, x)
	if err != nil {
		outcome = Failed
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(x.Body(), maxWholeAnswer+1))
	if err != nil {
		outcome = Failed
		return nil, errors.Wrap(err, "answer broke off")
	}
	if len(body) > maxWholeAnswer {
		return nil, errors.Newf("answer exceeds %d bytes", maxWholeAnswer)
	}
	if !v.NotRun {
		slot.RecordFirstEvent()
	}
	status := x.Response.StatusCode
	switch {
	case v.NotRun:
	case status >= http.StatusInternalServerError:
		outcome = Failed
	default:
		outcome = Succeeded
	}
	return &answer{
		status: status, header: x.Response.Header, body: body, verdict: v, endpoint: slot.Backend.Name,
	}, nil
}

// tryLimit returns the time for which a try is waited for, and false if it may
// take all the time that is left.
func (q *request) tryLimit() (time.Duration, bool) {
	if !q.route.Retryable() || q.sent+1 >= q.route.MaxAttempts || q.route.TargetLatency <= 0 {
		return 0, false
	}
	limit := tryTargets * q.route.TargetLatency
	return limit, limit < time.Until(q.deadline)*3/4
}

// blame tells what a failed exchange says of the endpoint.
func blame(err error) Outcome {
	if errors.Is(err, errSilent) || errors.Is(err, errSlowTry) {
		return Hung
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return Neutral
	}
	return Failed
}

// send hands the request to the slot's endpoint. It is counted unless no byte of
// it has left.
func (h *Handler) send(ctx context.Context, q *request, slot *Slot, lastEvent string) (*upstream.Exchange, error) {
	h.journal.chosen(q, slot)
	header := q.header.Clone()
	f := ForwardInfo{
		Endpoint: slot.Backend.Name, Remaining: time.Until(q.deadline), Priority: q.priority(), LastEvent: lastEvent,
	}
	if q.team != nil {
		f.Team = q.team.Name
	}
	h.opt.Codec.WriteForward(header, f)
	out := &upstream.Request{Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.body}
	// A kept connection may be dead without a sign. What may not be repeated, and
	// what failed already, goes over a fresh one.
	fresh := q.route.Kind == routes.NonIdempotent || len(q.failed) > 0
	x, err := slot.Backend.Pool.Do(ctx, out, fresh)
	var notSent *upstream.NotSentError
	if errors.As(err, &notSent) {
		if ctx.Err() == nil {
			q.service.MarkUnreachable(slot.Backend.Name)
		}
		return nil, err
	}
	q.sent++
	if err != nil {
		q.mayHaveRun = true
		slot.Backend.Pool.CloseIdle()
	}
	return x, err
}

// check reports whether the head of an answer can be passed on.
func (h *Handler) check(q *request, x *upstream.Exchange) (ResponseInfo, error) {
	r := x.Response
	v := h.opt.Codec.ParseResponse(r.StatusCode, r.Header)
	if !v.NotRun {
		q.mayHaveRun = true
	}
	switch {
	case v.Request != "" && v.Request != q.call.ID:
		q.mayHaveRun = true
		return v, errors.New("the answer belongs to another request")
	case r.StatusCode < 300 && !v.Signed:
		return v, errors.New("the answer is not signed")
	case r.Header.Get("Content-Encoding") != "":
		return v, errors.New("the answer is encoded")
	}
	return v, nil
}

// maxTrials is the number of times that a request is sent once more because its
// group was down, beyond the route's attempts. It covers the time for which a
// group in doubt can be waited for, if few requests wait.
const maxTrials = 8

// again reports whether the request is sent once more after a try. It takes a
// repeat from the budget.
func (h *Handler) again(q *request, slot *Slot, a *answer, err error) bool {
	h.learn(q, slot, a)
	why := q.reasonToRepeat(a, err)
	var notSent *upstream.NotSentError
	if why == "" || (!errors.As(err, &notSent) && !q.service.AcquireRetry()) {
		return false
	}
	if !a.groupDown() {
		q.failed = append(q.failed, slot.Backend.Name)
	}
	h.journal.repeated(q, slot.Backend.Name, err, why)
	return true
}

// learn notes what a refusal tells about its endpoint.
func (h *Handler) learn(q *request, slot *Slot, a *answer) {
	if a == nil || !a.verdict.NotRun {
		return
	}
	q.refused++
	if a.verdict.WrongInstance {
		q.service.MarkReplaced(slot.Backend.Name)
	}
	if a.groupDown() {
		q.groupDown++
		q.service.ReportGroupDown(slot.Backend.Name)
	}
}

// groupDown reports whether another rank is the reason of a refusal. The whole
// group is down, so that no rank of it takes the request.
func (a *answer) groupDown() bool {
	return a != nil && a.verdict.NotRun && a.verdict.AtFault != "" && a.verdict.AtFault != a.endpoint
}

// reasonToRepeat returns why a request may be sent once more, empty if it may not.
func (q *request) reasonToRepeat(a *answer, err error) string {
	var notSent *upstream.NotSentError
	switch {
	case errors.As(err, &notSent):
		return "no connection"
	case a.groupDown() && q.groupDown <= maxTrials:
		return "the group is down"
	case q.sent-q.groupDown >= q.route.MaxAttempts:
		return ""
	case err != nil && q.route.Retryable():
		return err.Error()
	case err != nil:
		return ""
	case a.verdict.NotRun:
		return "refused"
	case a.status >= http.StatusInternalServerError && q.route.Retryable():
		return "the endpoint failed"
	}
	return ""
}
