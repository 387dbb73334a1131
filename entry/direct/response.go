package direct

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/upstream"
)

// response is a buffered response of an endpoint.
type response struct {
	status int
	header http.Header
	// body is complete. It is empty in a refusal.
	body []byte
	// bodiless responses have no body, whatever length their header states.
	bodiless bool
	info     ResponseInfo
	endpoint id.Endpoint
}

// reject answers a request that was not sent to any endpoint: it is invalid, or the entry
// is not ready.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, info RequestInfo, status int, text string) {
	var version uint64
	if t := h.table.Load(); t != nil {
		version = t.Version()
	}
	h.requestLog.rejected(r, info, status, version, text)
	if status == http.StatusServiceUnavailable {
		h.opt.Codec.WriteRefusal(w.Header(), Refusal{RetryAfter: notReadyRetryAfter})
	}
	http.Error(w, text, status)
}

const (
	// notReadyRetryAfter is the Retry-After of an entry without a configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the minimum Retry-After of a refusal, a few round trips.
	minRetryAfter = 100 * time.Millisecond
)

// refuse answers 503 if the request was not executed, else 502.
func (h *Handler) refuse(w http.ResponseWriter, q *request, d scheduler.Decision) {
	if q.mayHaveRun {
		h.requestLog.refused(q, d, http.StatusBadGateway)
		http.Error(w, "an earlier try may have run", http.StatusBadGateway)
		return
	}
	d.RetryAfter = max(d.RetryAfter, minRetryAfter)
	h.requestLog.refused(q, d, http.StatusServiceUnavailable)
	h.opt.Codec.WriteRefusal(w.Header(), Refusal{RetryAfter: d.RetryAfter})
	closeIfElsewhere(w, d)
	http.Error(w, string(d.Reason), http.StatusServiceUnavailable)
}

// writeResult answers with the result of the last attempt.
func (h *Handler) writeResult(w http.ResponseWriter, q *request, resp *response, err error) {
	var notSent *upstream.NotSentError
	switch {
	case errors.As(err, &notSent):
		h.refuse(w, q, scheduler.Decision{Reason: "no endpoint could be reached"})
	case err != nil:
		h.failUnknown(w, q, http.StatusBadGateway, err)
	case resp.info.NotRun:
		h.refuse(w, q, scheduler.Decision{Reason: "the endpoints refused the request"})
	case impliesNotRun(resp.status):
		h.failUnknown(w, q, http.StatusBadGateway, errors.Newf("the endpoint answered %d without the promise not to run it", resp.status))
	default:
		copyHeader(w.Header(), resp.header)
		if resp.bodiless {
			copyLength(w.Header(), resp.header)
		} else {
			w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
		}
		w.WriteHeader(resp.status)
		_, _ = w.Write(resp.body) // A disconnected client cancels the request's context.
		h.requestLog.answered(q, resp.endpoint, resp.status)
	}
}

// failUnknown answers a request that may have been executed.
func (h *Handler) failUnknown(w http.ResponseWriter, q *request, status int, cause error) {
	h.requestLog.failed(q, status, cause)
	http.Error(w, "the request may have run: "+cause.Error(), status)
}

// endExpired ends a request whose context is done. A disconnected client gets no response.
func (h *Handler) endExpired(ctx context.Context, w http.ResponseWriter, q *request) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errQuarantined):
		h.endQuarantined(w, q, q.service.quarantine.refusal(q))
		return
	case errors.Is(cause, errStopping) && q.sent == q.refused:
		h.refuse(w, q, scheduler.Decision{Reason: reasonStopping})
		return
	case errors.Is(cause, errStopping):
		h.drain.countCutOff()
		h.failUnknown(w, q, http.StatusGatewayTimeout, errStopping)
		return
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		h.requestLog.abandoned(q)
		panic(http.ErrAbortHandler)
	}
	if q.sent == q.refused {
		h.refuse(w, q, scheduler.Decision{Reason: scheduler.TooLate})
		return
	}
	h.failUnknown(w, q, http.StatusGatewayTimeout, errors.New("no answer within the time of the request"))
}

// impliesNotRun reports whether the status guarantees clients that the request did not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
