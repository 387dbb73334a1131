package direct

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
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

var errStreamSilent = errors.New("the stream fell silent while others go on")

// clientGoneError reports that writing to the client failed.
type clientGoneError struct{ cause error }

func (e *clientGoneError) Error() string { return "write to client: " + e.cause.Error() }

// streamWriter forwards the events of one or more attempts to the client.
type streamWriter struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	headerSent bool
	// lastEventID is the ID of the last event forwarded.
	lastEventID string
	// lastProgress is when an event was last forwarded, or the request's arrival.
	lastProgress time.Time
	// firstEventAfter is the time from the arrival to the first event.
	firstEventAfter time.Duration
	events          int
	longestGap      time.Duration
}

// serveStream forwards a stream and resumes it at another endpoint if it breaks off.
func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &streamWriter{w: w, rc: http.NewResponseController(w), lastEventID: q.info.LastEvent, lastProgress: q.began}
	if err := s.rc.SetWriteDeadline(q.deadline.Add(finalAnswerTime)); err != nil {
		panic(http.ErrAbortHandler)
	}
	var (
		resp *response
		err  error
	)
	for {
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
		resp, err = h.attemptStream(ctx, q, slot, s)
		if err == nil && resp == nil {
			h.requestLog.streamed(q, slot.Backend.Name, s)
			return
		}
		var gone *clientGoneError
		if errors.As(err, &gone) {
			h.requestLog.abandoned(q)
			panic(http.ErrAbortHandler)
		}
		q.service.quarantine.end(q)
		if v, ok := q.service.quarantine.admit(ctx, q); !ok && ctx.Err() == nil {
			h.endBlocked(w, q, s, v) // Without taking a retry from the budget.
			return
		}
		if ctx.Err() != nil || !h.acquireRetry(q, slot, resp, err) {
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
func (s *streamWriter) schedulerRequest(q *request) scheduler.Request {
	r := q.schedulerRequest()
	if s.headerSent {
		r.Resumed = true
		r.Arrival = s.lastProgress.Sub(q.service.start)
		r.FirstEventDeadline = s.lastProgress.Add(maxSilence(q.route)).Sub(q.service.start)
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

// attemptStream forwards events until the stream ends. It returns a response that is not a
// stream without forwarding it.
func (h *Handler) attemptStream(ctx context.Context, q *request, slot *Slot, s *streamWriter) (resp *response, err error) {
	outcome := Neutral
	defer func() { slot.Release(outcome) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newSilenceWatchdog(q, cancel)
	defer watchdog.stop()
	p := &progress{sentAt: time.Now()}
	x, err := h.send(ctx, q, slot, s.lastEventID)
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
	if x.Response.StatusCode != http.StatusOK {
		resp, outcome, err = h.readWhole(ctx, q, slot, x, info, p)
		return resp, err
	}
	if s.headerSent && !continues(s.w.Header(), x.Response.Header) {
		outcome = Failed
		return nil, errors.New("the answer is not the rest of the stream")
	}
	err = h.copyEvents(q, s, x, slot, p, watchdog)
	switch {
	case err == nil:
		outcome = Succeeded
	case ctx.Err() != nil:
		err = context.Cause(ctx)
		if errors.Is(err, errStreamSilent) {
			outcome = Hung
		}
	case errors.Is(err, errNoMemory):
		// It says nothing about the endpoint.
	default:
		outcome = Failed
		h.recordLoss(ctx, q, slot, p, err)
	}
	return nil, err
}

// continues reports whether a response with the second header can be the rest of a stream with the
// first one.
func continues(first, second http.Header) bool {
	t := mediaType(second)
	return t == "text/event-stream" || t == mediaType(first)
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

// copyEvents forwards the events of one attempt.
func (h *Handler) copyEvents(q *request, s *streamWriter, x *upstream.Exchange, slot *Slot, p *progress, watchdog *silenceWatchdog) error {
	events := newEventReader(x.Body(), q.conn)
	defer events.release()
	for {
		event, eventID, err := events.next()
		if err == io.EOF {
			q.service.quarantine.answered(q)
			s.sendHeader(x)
			return nil
		}
		if err != nil {
			return err
		}
		if p.events++; p.events == begunEvents {
			q.service.quarantine.answered(q)
		}
		slot.RecordFirstEvent()
		slot.RecordEvent()
		watchdog.reset()
		switch compareEventIDs(s.lastEventID, eventID) {
		case duplicate:
			continue
		case gap:
			return errors.Newf("event %q follows event %q", eventID, s.lastEventID)
		}
		s.sendHeader(x)
		if err := s.write(event); err != nil {
			return &clientGoneError{cause: err}
		}
		if eventID != "" {
			s.lastEventID = eventID
		}
		if s.recordEvent(time.Now(), q.began) {
			h.requestLog.firstEvent(q, s.firstEventAfter)
		}
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
	s.headerSent = true
	copyHeader(s.w.Header(), x.Response.Header)
	if !x.HasBody() {
		copyLength(s.w.Header(), x.Response.Header)
	}
	s.w.WriteHeader(http.StatusOK)
}

// silenceWatchdog cancels an attempt whose stream is silent while others are active, if it may
// be resumed at another endpoint.
type silenceWatchdog struct {
	request *request
	// mayRepeat is false if the attempt is the last one.
	mayRepeat bool
	timeouts  silenceTimeouts
	cancel    context.CancelCauseFunc

	mu    sync.Mutex // guards timer until it is set
	timer *time.Timer
}

func newSilenceWatchdog(q *request, cancel context.CancelCauseFunc) *silenceWatchdog {
	w := &silenceWatchdog{request: q, mayRepeat: q.mayRepeatNext(), timeouts: silenceTimeoutsOf(q.route), cancel: cancel}
	w.mu.Lock() // expire uses timer.
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeouts.first, w.expire)
	return w
}

func (w *silenceWatchdog) expire() {
	if w.mayRepeat && w.request.service.SinceLastEvent() <= w.timeouts.othersActive && w.request.reserveRetry() {
		w.cancel(errStreamSilent)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.timeouts.othersActive)
}

func (w *silenceWatchdog) reset() { w.timer.Reset(w.timeouts.next) }

func (w *silenceWatchdog) stop() { w.timer.Stop() }
