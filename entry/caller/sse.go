package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/wire/msg"
)

const (
	eventPrefix = "data: "
	eventEnd    = "\n\n"
	streamEnd   = "[DONE]"
)

// eventWriter sends the frames of a chat completion as server-sent events. It
// implements dispatch.Sink.
type eventWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	// head and tail surround the JSON text of a token's content.
	head, tail []byte
	buf        []byte
	tokens     uint32
	started    bool
}

func newEventWriter(w http.ResponseWriter, c caller, model string) *eventWriter {
	flusher, _ := w.(http.Flusher)
	encodedModel, _ := json.Marshal(model) // strings always encode
	head := fmt.Sprintf(`%s{"id":%q,"object":"chat.completion.chunk","created":%d,"model":%s,"choices":[{"index":0,"delta":{"content":`,
		eventPrefix, answerID(c), time.Now().Unix(), encodedModel)
	return &eventWriter{
		w:       w,
		flusher: flusher,
		head:    []byte(head),
		tail:    []byte(`},"finish_reason":null}]}` + eventEnd),
	}
}

// WriteFrames implements dispatch.Sink.
func (e *eventWriter) WriteFrames(batch []*msg.Frame) error {
	e.start()
	e.buf = e.buf[:0]
	for _, f := range batch {
		content, err := json.Marshal(string(f.Data))
		if err != nil {
			return err
		}
		e.buf = append(e.buf, e.head...)
		e.buf = append(e.buf, content...)
		e.buf = append(e.buf, e.tail...)
		e.tokens += f.Tokens
	}
	return e.flush()
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	// The outcome of a streamed answer is known only at its end.
	h.Set("Trailer", outcome.Header)
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) flush() error {
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	if e.flusher != nil {
		e.flusher.Flush()
	}
	return nil
}

func (e *eventWriter) event(data []byte) {
	e.buf = append(e.buf, eventPrefix...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, eventEnd...)
}

// finish sends the last chunks of a complete answer.
func (e *eventWriter) finish(c caller, request ChatRequest, r dispatch.Result) {
	e.start()
	e.buf = e.buf[:0]
	reason := r.End.FinishReason
	last := ChatCompletion{
		ID: answerID(c), Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: request.Model,
		Choices: []ChatChoice{{Delta: &ChatDelta{}, FinishReason: &reason}},
	}
	if request.StreamOptions != nil && request.StreamOptions.IncludeUsage {
		last.Usage = usage(r.End)
	}
	data, _ := json.Marshal(last) // the type has no member that can fail
	e.event(data)
	e.event([]byte(streamEnd))
	e.w.Header().Set(outcome.Header, string(r.Outcome))
	_ = e.flush()
}

// streamChat returns the number of tokens sent and whether the connection must be reset.
func (a *API) streamChat(w http.ResponseWriter, r *http.Request, c caller, request ChatRequest, call *dispatch.Call) (tokens uint32, broken bool) {
	events := newEventWriter(w, c, request.Model)
	result := a.deps.Dispatcher.Run(r.Context(), call, events)
	switch {
	case result.Problem == nil:
		a.deps.Metrics.answered(result.Outcome)
		events.finish(c, request, result)
	case !events.started:
		a.fail(w, r, result.Problem)
	default:
		result.Problem.Request = c.request
		a.breakStream(events, result)
		broken = true
	}
	return events.tokens, broken
}

// breakStream sends an error event for a stream that cannot be completed. The
// caller of streamChat then resets the connection, so that the end is never
// taken for a clean one.
func (a *API) breakStream(e *eventWriter, r dispatch.Result) {
	a.deps.Metrics.failed(r.Problem)
	e.buf = append(e.buf[:0], "event: error\n"...)
	e.event(r.Problem.JSON())
	_ = e.flush()
}
