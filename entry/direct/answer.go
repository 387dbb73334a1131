package direct

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/intake"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/upstream"
)

// answer is an endpoint's whole answer.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	verdict ResponseInfo
	// endpoint gave the answer.
	endpoint id.Endpoint
}

// reject answers a request that was not handed to any endpoint, with a status of
// the client's making or because the entry is not ready.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, call RequestInfo, status int, text string) {
	var version uint64
	if t := h.table.Load(); t != nil {
		version = t.Version()
	}
	h.journal.rejected(r, call, status, version, text)
	if status == http.StatusServiceUnavailable {
		h.opt.Codec.WriteRefusal(w.Header(), Refusal{RetryAfter: notReadyRetry})
	}
	http.Error(w, text, status)
}

const (
	// notReadyRetry is told to clients of an entry that has just started.
	notReadyRetry = 300 * time.Millisecond
	// minRetry is the least time after which a refused client is asked back, a
	// few times the way to it.
	minRetry = 100 * time.Millisecond
)

// refuse tells the client that its request has not run and will not.
func (h *Handler) refuse(w http.ResponseWriter, q *request, d intake.Decision) {
	if q.mayHaveRun {
		h.journal.refused(q, d, http.StatusBadGateway)
		http.Error(w, "an earlier try may have run", http.StatusBadGateway)
		return
	}
	d.RetryAfter = max(d.RetryAfter, minRetry)
	h.journal.refused(q, d, http.StatusServiceUnavailable)
	h.opt.Codec.WriteRefusal(w.Header(), Refusal{RetryAfter: d.RetryAfter})
	http.Error(w, string(d.Reason), http.StatusServiceUnavailable)
}

// conclude passes the result of the last try on.
func (h *Handler) conclude(w http.ResponseWriter, q *request, a *answer, err error) {
	var notSent *upstream.NotSentError
	switch {
	case errors.As(err, &notSent):
		h.refuse(w, q, intake.Decision{Reason: "no endpoint could be reached"})
	case err != nil:
		h.fail(w, q, http.StatusBadGateway, err)
	case a.verdict.NotRun:
		h.refuse(w, q, intake.Decision{Reason: "the endpoints refused the request"})
	case promises(a.status):
		h.fail(w, q, http.StatusBadGateway, errors.Newf("the endpoint answered %d without the promise not to run it", a.status))
	default:
		copyHeader(w.Header(), a.header)
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body) // A client that is gone shows in the request's context.
		h.journal.answered(q, a.endpoint, a.status)
	}
}

// fail answers a request that may have run, which promises nothing.
func (h *Handler) fail(w http.ResponseWriter, q *request, status int, cause error) {
	h.journal.failed(q, status, cause)
	http.Error(w, "the request may have run: "+cause.Error(), status)
}

// giveUp answers a request whose time is over. A client that has gone gets no answer.
func (h *Handler) giveUp(ctx context.Context, w http.ResponseWriter, q *request) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		h.journal.abandoned(q)
		panic(http.ErrAbortHandler)
	}
	if q.sent == q.refused {
		h.refuse(w, q, intake.Decision{Reason: intake.TooLate})
		return
	}
	h.fail(w, q, http.StatusGatewayTimeout, errors.New("no answer within the time of the request"))
}

// promises reports whether clients take a status for the promise that the
// request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
