package direct

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/quarantine"
	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/entry/upstream"
)

// finalAnswerTime is the time for which a client that reads slowly may delay the end of its stream
// beyond the deadline.
const finalAnswerTime = 400 * time.Millisecond

// wholeAnswerTime bounds the write of an answer in place of a stream of which no event was sent. It is far beyond
// finalAnswerTime because a process without processor time comes late to the answer, and then has to deliver it.
const wholeAnswerTime = 5 * time.Second

// clientGoneError reports that writing to the client failed.
type clientGoneError struct{ cause error }

func (e *clientGoneError) Error() string { return "write to client: " + e.cause.Error() }

// streamPosition is how far a stream was forwarded.
type streamPosition struct {
	// headerSent is true once the header was forwarded, mediaType is the type in it.
	headerSent bool
	mediaType  string
	eventSequence
	// lastProgress is when an event was last forwarded, or the request's arrival.
	lastProgress time.Time
}

// streamWriter forwards the events of one or more attempts to the client.
type streamWriter struct {
	streamPosition

	w  http.ResponseWriter
	rc *http.ResponseController
	// firstEventAfter is the time from the arrival to the first event.
	firstEventAfter time.Duration
	events          int
	longestGap      time.Duration
}

// serveStream forwards a stream and resumes it at another endpoint if it breaks off.
func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &streamWriter{w: w, rc: http.NewResponseController(w), streamPosition: streamPosition{eventSequence: eventSequence{lastEventID: q.info.LastEvent}, lastProgress: q.began}}
	if err := s.rc.SetWriteDeadline(q.deadline.Add(finalAnswerTime)); err != nil {
		panic(http.ErrAbortHandler)
	}
	var (
		a    *streamAttempt // the next attempt, if a hedge has begun it
		resp *response
		err  error
	)
	for {
		if a == nil {
			if v, ok := q.service.quarantine.admit(ctx, q); !ok && ctx.Err() == nil {
				h.endBlocked(w, q, s, v)
				return
			}
			slot, d := h.acquire(ctx, q, s.schedulerRequest(q))
			if slot == nil {
				h.endStream(ctx, w, q, s, d, resp, err)
				return
			}
			if !q.service.quarantine.begin(q) {
				slot.Release(Neutral)
				continue
			}
			a = newStreamAttempt(ctx, slot, s.streamPosition)
		}
		slot := a.slot
		resp, a, err = h.attemptStream(ctx, q, a, s)
		if err == nil && resp == nil {
			h.requestLog.streamed(q, slot.Backend.Name, s)
			return
		}
		var gone *clientGoneError
		if errors.As(err, &gone) {
			h.requestLog.abandoned(q)
			panic(http.ErrAbortHandler)
		}
		if a != nil {
			h.recordRefusal(q, slot, resp)
			q.exclude(slot.Backend.Name)
			continue
		}
		q.service.quarantine.end(q)
		if v, ok := q.service.quarantine.admit(ctx, q); !ok && ctx.Err() == nil {
			h.endBlocked(w, q, s, v) // Without taking a retry from the budget.
			return
		}
		if ctx.Err() != nil || errors.Is(err, errDisorder) || !h.acquireRetry(q, slot, resp, err) {
			h.endStream(ctx, w, q, s, scheduler.Decision{}, resp, err)
			return
		}
	}
}

// endBlocked ends a stream that has a blocked part.
func (h *Handler) endBlocked(w http.ResponseWriter, q *request, s *streamWriter, v quarantine.Verdict) {
	if s.headerSent {
		h.requestLog.broken(q, s, scheduler.Decision{}, errQuarantined)
		panic(http.ErrAbortHandler)
	}
	s.allowWholeAnswer()
	h.endQuarantined(w, q, v)
}

// schedulerRequest describes the request, or the rest of the stream, to the scheduler.
func (p streamPosition) schedulerRequest(q *request) scheduler.Request {
	r := q.schedulerRequest()
	if p.headerSent {
		r.Resumed = true
		r.Arrival = p.lastProgress.Sub(q.service.start)
		r.FirstEventDeadline = p.lastProgress.Add(maxSilence(q.route)).Sub(q.service.start)
	}
	return r
}

// endStream ends a stream that cannot be completed. If it has begun, the connection is
// aborted so that the client notices.
func (h *Handler) endStream(ctx context.Context, w http.ResponseWriter, q *request, s *streamWriter, d scheduler.Decision, resp *response, err error) {
	if s.headerSent {
		if errors.Is(context.Cause(ctx), errStopping) {
			h.drain.countCutOff()
		}
		h.requestLog.broken(q, s, d, err)
		panic(http.ErrAbortHandler)
	}
	s.allowWholeAnswer()
	switch {
	case ctx.Err() != nil:
		h.endExpired(ctx, w, q)
	case d.Reason != "" && q.sent == q.refused:
		h.refuse(w, q, d)
	default:
		h.writeResult(w, q, resp, err)
	}
}

// streamAttempt is one attempt of a stream, or of its rest, at an endpoint.
type streamAttempt struct {
	slot *Slot
	// ctx is that of the attempt.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// from is the position after which the attempt begins.
	from     streamPosition
	progress progress
	order    attemptOrder
	// begun is true once the answer was reported as begun.
	begun   bool
	outcome Outcome
	// x is nil until the head of the answer arrived.
	x      *upstream.Exchange
	events *eventReader
	// peeked is true while the first new event, which is the result of events.next, was read but not forwarded.
	peeked    bool
	peekEvent []byte
	peekID    string
	peekErr   error
}

func newStreamAttempt(ctx context.Context, slot *Slot, from streamPosition) *streamAttempt {
	a := &streamAttempt{slot: slot, from: from, outcome: Neutral}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// next returns the next event as eventReader.next does.
func (a *streamAttempt) next() (event []byte, eventID string, err error) {
	if a.peeked {
		a.peeked = false
		return a.peekEvent, a.peekID, a.peekErr
	}
	event, eventID, err = a.events.next()
	if err == nil {
		a.progress.events++
		a.slot.RecordFirstEvent()
		a.slot.RecordEvent()
	}
	return event, eventID, err
}

// peek reads on to the first event that follows the position at which the attempt began, or to the stream's end.
func (a *streamAttempt) peek() error {
	for {
		event, eventID, err := a.next()
		if err != nil && err != io.EOF {
			return err
		}
		if err == nil {
			switch a.order.compare(&a.from.eventSequence, eventID) {
			case duplicate:
				continue
			case gap, disorder:
				return gapError(a.from.lastEventID, eventID)
			}
		}
		a.peeked, a.peekEvent, a.peekID, a.peekErr = true, event, eventID, err
		return nil
	}
}

// fail records the outcome of an attempt that ended with an error, and returns the cause.
func (h *Handler) fail(q *request, a *streamAttempt, err error) error {
	var gone *clientGoneError
	switch {
	case a.ctx.Err() != nil:
		err = context.Cause(a.ctx)
		a.outcome = outcomeOf(err)
	case errors.As(err, &gone), errors.Is(err, errNoMemory):
		// It says nothing about the endpoint.
	default:
		a.outcome = Failed
		h.recordLoss(a.ctx, q, a.slot, &a.progress, err)
	}
	return err
}

// close ends the attempt and frees its slot.
func (a *streamAttempt) close() {
	if a.events != nil {
		a.events.release()
	}
	if a.x != nil {
		a.x.Close()
	}
	a.cancel(nil)
	a.slot.Release(a.outcome)
}

// attemptStream forwards events until the stream ends. It returns a response that is not a stream without forwarding
// it. If the attempt was hedged and did not complete the stream, next is the hedge that goes on.
func (h *Handler) attemptStream(ctx context.Context, q *request, a *streamAttempt, s *streamWriter) (resp *response, next *streamAttempt, err error) {
	watchdog := h.watchSilence(ctx, q, a, s.streamPosition)
	if a.x == nil {
		resp, err = h.openStream(q, a, false)
	}
	if resp == nil && err == nil {
		if err = h.copyEvents(q, s, a, watchdog); err == nil {
			a.outcome = Succeeded
		} else {
			err = h.fail(q, a, err)
		}
	}
	a.close()
	var gone *clientGoneError
	if isFinal(resp, err) || errors.As(err, &gone) || ctx.Err() != nil {
		watchdog.stop()
		return resp, nil, err
	}
	return resp, watchdog.takeHedge(), err
}

// openStream sends the request and reads the head of the answer. It returns a response that is not a stream, or an
// error.
func (h *Handler) openStream(q *request, a *streamAttempt, fresh bool) (resp *response, err error) {
	a.progress.sentAt = time.Now()
	x, err := h.send(a.ctx, q, a.slot, a.from.lastEventID, fresh)
	if err != nil {
		a.outcome = outcomeOf(err)
		h.recordLoss(a.ctx, q, a.slot, &a.progress, err)
		return nil, err
	}
	a.x, a.progress.answering = x, true
	info, err := h.checkResponse(q, a.slot, x)
	if err != nil {
		a.outcome = Failed
		return nil, err
	}
	if x.Response.StatusCode != http.StatusOK {
		resp, a.outcome, err = h.readWhole(a.ctx, q, a.slot, x, info, &a.progress)
		return resp, err
	}
	if a.from.headerSent && !continues(a.from.mediaType, x.Response.Header) {
		a.outcome = Failed
		return nil, errors.New("the answer is not the rest of the stream")
	}
	a.events = newEventReader(x.Body(), q.conn)
	return nil, nil
}

// continues reports whether a response can be the rest of a stream of a media type.
func continues(first string, header http.Header) bool {
	t := mediaType(header)
	return t == "text/event-stream" || t == first
}

// mediaType returns the type of a body, without parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// progress is how far an attempt got.
type progress struct {
	sentAt time.Time
	// answering is true once the head of an answer arrived.
	answering bool
	// events is the number of events that arrived.
	events int
}

// begunEvents is the number of events from which on an answer has begun without harm to its
// endpoint.
const begunEvents = 2

// recordLoss records that a connection broke at the endpoint's side.
func (h *Handler) recordLoss(ctx context.Context, q *request, slot *Slot, p *progress, err error) {
	if !isLost(ctx, err) {
		return
	}
	h.requestLog.lost(q, slot, p, err)
	if p.events < begunEvents {
		q.service.quarantine.reportLoss(ctx, q, slot, p.answering && p.events == 0)
	}
}

// errDisorder ends a stream that cannot be resumed, since the ID after which it would be is not known.
var errDisorder = errors.New("the IDs of events decrease")

func gapError(last, eventID string) error {
	return errors.Newf("event %q follows event %q", eventID, last)
}

// copyEvents forwards the events of one attempt.
func (h *Handler) copyEvents(q *request, s *streamWriter, a *streamAttempt, watchdog *silenceWatchdog) error {
	for {
		event, eventID, err := a.next()
		if err == io.EOF {
			q.service.quarantine.answered(q)
			s.sendHeader(a.x)
			return nil
		}
		if err != nil {
			return err
		}
		if !watchdog.resume() {
			return errHedged
		}
		if !a.begun && a.progress.events >= begunEvents {
			a.begun = true
			q.service.quarantine.answered(q)
		}
		switch a.order.compare(&s.eventSequence, eventID) {
		case duplicate:
			continue
		case gap:
			return gapError(s.lastEventID, eventID)
		case disorder:
			return errors.Mark(gapError(s.lastEventID, eventID), errDisorder)
		}
		s.sendHeader(a.x)
		if err := s.write(event); err != nil {
			return &clientGoneError{cause: err}
		}
		s.advance(eventID)
		if s.recordEvent(time.Now(), q.began) {
			h.requestLog.firstEvent(q, s.firstEventAfter)
		}
		watchdog.setPosition(s.streamPosition)
	}
}

// recordEvent records that an event was forwarded and reports whether it is the first.
func (s *streamWriter) recordEvent(now, began time.Time) bool {
	s.events++
	if s.events == 1 {
		s.firstEventAfter = now.Sub(began)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastProgress))
	}
	s.lastProgress = now
	return s.events == 1
}

func (s *streamWriter) write(event []byte) error {
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return s.rc.Flush()
}

// allowWholeAnswer gives an answer in place of the stream the time to be written.
func (s *streamWriter) allowWholeAnswer() {
	_ = s.rc.SetWriteDeadline(time.Now().Add(wholeAnswerTime)) // It fails only if the connection is closed.
}

// sendHeader sends the header of the first attempt that has one.
func (s *streamWriter) sendHeader(x *upstream.Exchange) {
	if s.headerSent {
		return
	}
	s.headerSent, s.mediaType = true, mediaType(x.Response.Header)
	copyHeader(s.w.Header(), x.Response.Header)
	if !x.HasBody() {
		copyLength(s.w.Header(), x.Response.Header)
	}
	s.w.WriteHeader(http.StatusOK)
}
