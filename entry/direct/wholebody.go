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

const (
	// maxBufferedBytes is the largest response that is buffered.
	maxBufferedBytes = 1 << 20
	// maxRefusalBytes and refusalBodyTimeout bound the reading of a refusal's body, which is only
	// read so that the connection can be used again.
	maxRefusalBytes    = 16 << 10
	refusalBodyTimeout = 50 * time.Millisecond
)

// errResponseTooLarge reports a response that exceeds maxBufferedBytes. No part of it may be
// forwarded: cut off, it would look complete.
var errResponseTooLarge = errors.Newf("answer exceeds %d bytes", maxBufferedBytes)

// readWhole reads a response that is forwarded as a whole or not at all. The error says why it
// cannot be forwarded. outcome is that of the attempt in either case.
func (h *Handler) readWhole(ctx context.Context, q *request, slot *Slot, x *upstream.Exchange, info ResponseInfo, p *progress) (resp *response, outcome Outcome, err error) {
	r := x.Response
	resp = &response{status: r.StatusCode, header: r.Header, bodiless: !x.HasBody(), info: info, endpoint: slot.Backend.Name}
	if info.NotRun {
		x.Drain(maxRefusalBytes, refusalBodyTimeout) // The head is the refusal.
		return resp, Neutral, nil
	}
	resp.body, err = readLimited(x, q.conn, maxBufferedBytes)
	if err != nil && ctx.Err() != nil {
		err = context.Cause(ctx)
		return nil, outcomeOf(err), err
	}
	if errors.Is(err, errNoMemory) {
		return nil, Neutral, err // It says nothing about the endpoint.
	}
	if err != nil && !errors.Is(err, errResponseTooLarge) {
		h.recordLoss(ctx, q, slot, p, err)
		return nil, Failed, errors.Wrap(err, "answer broke off")
	}
	q.service.quarantine.answered(q)
	if failed := r.StatusCode >= http.StatusInternalServerError; !failed || q.route.Kind != routes.Streaming {
		// Failures come sooner than the first event of a stream.
		slot.RecordFirstEvent()
	}
	switch {
	case err != nil:
		h.requestLog.oversized(q, slot, r)
		return nil, oversizedOutcome(r), err
	case r.StatusCode >= http.StatusInternalServerError:
		return resp, Failed, nil
	default:
		return resp, Succeeded, nil
	}
}

// oversizedOutcome returns the outcome of an attempt whose response was too large. A response
// that announced its length may be sound.
func oversizedOutcome(r *http.Response) Outcome {
	if r.StatusCode < http.StatusInternalServerError && r.ContentLength > maxBufferedBytes {
		return Neutral
	}
	return Failed
}

// readLimited reads a body of at most limit bytes, which are accounted for at the client's connection.
func readLimited(x *upstream.Exchange, conn *intake.Conn, limit int64) ([]byte, error) {
	length := int64(-1)
	if x.HasBody() {
		if length = x.Response.ContentLength; length > limit {
			return nil, errResponseTooLarge
		}
	}
	body, err := readAccounted(x.Body(), conn, length, limit)
	if errors.Is(err, errBodyTooLarge) {
		err = errResponseTooLarge
	}
	return body, err
}
