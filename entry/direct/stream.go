package direct

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/intake"
	"github.com/siskinford/siskinford/entry/upstream"
)

var errSilent = errors.New("the stream fell silent while others go on")

// errClientGone reports that events can no longer be passed on.
type errClientGone struct{ cause error }

func (e *errClientGone) Error() string { return "the client takes no events: " + e.cause.Error() }

// streamWriter passes the events of one or more runs to the client.
type streamWriter struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	begun bool
	// last is the ID of the last event that was passed on.
	last string
	// progress is when the client last got something, or the request's arrival.
	progress time.Time
	// first is the time from the arrival to the first event.
	first      time.Duration
	events     int
	longestGap time.Duration
}

// serveStream passes on a stream and continues it elsewhere when it breaks off.
func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &streamWriter{w: w, rc: http.NewResponseController(w), last: q.call.LastEvent, progress: q.began}
	if err := s.rc.SetWriteDeadline(q.deadline); err != nil {
		panic(http.ErrAbortHandler)
	}
	var (
		a   *answer
		err error
	)
	for {
		slot, d := q.service.Acquire(ctx, s.ask(q), h.queued(q))
		if slot == nil {
			h.endStream(ctx, w, q, s, d, a, err)
			return
		}
		a, err = h.tryStream(ctx, q, slot, s)
		if err == nil && a == nil {
			h.journal.streamed(q, slot.Backend.Name, s)
			return
		}
		var gone *errClientGone
		if errors.As(err, &gone) {
			h.journal.abandoned(q)
			panic(http.ErrAbortHandler)
		}
		if ctx.Err() != nil || !h.again(q, slot, a, err) {
			h.endStream(ctx, w, q, s, intake.Decision{}, a, err)
			return
		}
	}
}

// ask describes the request, or what is left of it, to the intake.
func (s *streamWriter) ask(q *request) intake.Request {
	r := q.ask()
	if s.begun {
		r.Resumed = true
		r.Arrival = s.progress.Sub(q.service.began)
		r.FirstEventDeadline = s.progress.Add(silenceLimit(q.route)).Sub(q.service.began)
	}
	return r
}

// endStream ends a stream that cannot be finished, visibly broken if it has begun.
func (h *Handler) endStream(ctx context.Context, w http.ResponseWriter, q *request, s *streamWriter, d intake.Decision, a *answer, err error) {
	switch {
	case s.begun:
		h.journal.broken(q, s, d, err)
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil:
		h.giveUp(ctx, w, q)
	case d.Reason != "" && q.sent == q.refused:
		h.refuse(w, q, d)
	default:
		h.conclude(w, q, a, err)
	}
}

// tryStream passes events on until the stream ends. It returns an answer that is
// not a stream without passing it on.
func (h *Handler) tryStream(ctx context.Context, q *request, slot *Slot, s *streamWriter) (a *answer, err error) {
	outcome := Neutral
	defer func() { slot.Release(outcome) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatch(q.service, silencesOf(q.route), cancel)
	defer watch.stop()
	x, err := h.send(ctx, q, slot, s.last)
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
	if x.Response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(x.Body(), maxWholeAnswer))
		if err != nil {
			outcome = Failed
			return nil, errors.Wrap(err, "answer broke off")
		}
		if !v.NotRun {
			outcome = Failed
		}
		return &answer{
			status: x.Response.StatusCode, header: x.Response.Header, body: body, verdict: v, endpoint: slot.Backend.Name,
		}, nil
	}
	err = h.pass(q, s, x, slot, watch)
	switch {
	case err == nil:
		outcome = Succeeded
	case ctx.Err() != nil:
		err = context.Cause(ctx)
		if errors.Is(err, errSilent) {
			outcome = Hung
		}
	default:
		outcome = Failed
	}
	return nil, err
}

// pass passes the events of one run on.
func (h *Handler) pass(q *request, s *streamWriter, x *upstream.Exchange, slot *Slot, watch *watch) error {
	events := newEventReader(x.Body())
	for {
		event, eventID, err := events.next()
		if err == io.EOF {
			s.begin(x.Response.Header)
			return nil
		}
		if err != nil {
			return err
		}
		slot.RecordFirstEvent()
		slot.RecordEvent()
		watch.event()
		switch follows(s.last, eventID) {
		case repeated:
			continue
		case missing:
			return errors.Newf("event %q follows event %q", eventID, s.last)
		}
		s.begin(x.Response.Header)
		if err := s.write(event); err != nil {
			return &errClientGone{cause: err}
		}
		if eventID != "" {
			s.last = eventID
		}
		if s.note(time.Now(), q.began) {
			h.journal.firstEvent(q, s.first)
		}
	}
}

// note records that the client got an event. It is true for the first one.
func (s *streamWriter) note(now, began time.Time) bool {
	s.events++
	if s.events == 1 {
		s.first = now.Sub(began)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.progress))
	}
	s.progress = now
	return s.events == 1
}

func (s *streamWriter) write(event []byte) error {
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return s.rc.Flush()
}

// begin sends the header of the first run.
func (s *streamWriter) begin(h http.Header) {
	if s.begun {
		return
	}
	s.begun = true
	copyHeader(s.w.Header(), h)
	s.w.Header().Del("Content-Length")
	s.w.WriteHeader(http.StatusOK)
}

// watch ends a try whose stream is silent while others of the service go on.
type watch struct {
	service  *Service
	silences silences
	cancel   context.CancelCauseFunc
	timer    *time.Timer
}

func newWatch(s *Service, silent silences, cancel context.CancelCauseFunc) *watch {
	w := &watch{service: s, silences: silent, cancel: cancel}
	w.timer = time.AfterFunc(silent.first, w.expire)
	return w
}

func (w *watch) expire() {
	if w.service.SinceLastEvent() <= w.silences.others {
		w.cancel(errSilent)
		return
	}
	w.timer.Reset(w.silences.others)
}

func (w *watch) event() { w.timer.Reset(w.silences.next) }

func (w *watch) stop() { w.timer.Stop() }
