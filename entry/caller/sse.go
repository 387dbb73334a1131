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
	// chunkPrefix and chunkSuffix enclose the JSON text of a frame's content.
	chunkPrefix, chunkSuffix []byte
	buf                      []byte
	tokens                   uint32
	started                  bool
}

func newEventWriter(w http.ResponseWriter, c requestInfo, model string) *eventWriter {
	flusher, _ := w.(http.Flusher)
	encodedModel, _ := json.Marshal(model) // a string cannot fail to encode
	chunkPrefix := fmt.Sprintf(`%s{"id":%q,"object":"chat.completion.chunk","created":%d,"model":%s,"choices":[{"index":0,"delta":{"content":`,
		eventPrefix, chatID(c), time.Now().Unix(), encodedModel)
	return &eventWriter{
		w:           w,
		flusher:     flusher,
		chunkPrefix: []byte(chunkPrefix),
		chunkSuffix: []byte(`},"finish_reason":null}]}` + eventEnd),
	}
}

// WriteFrames implements dispatch.Sink.
func (e *eventWriter) WriteFrames(batch []*msg.Frame) error {
	e.writeHeader()
	e.buf = e.buf[:0]
	for _, f := range batch {
		content, err := json.Marshal(string(f.Data))
		if err != nil {
			return err
		}
		e.buf = append(e.buf, e.chunkPrefix...)
		e.buf = append(e.buf, content...)
		e.buf = append(e.buf, e.chunkSuffix...)
		e.tokens += f.Tokens
	}
	return e.flush()
}

func (e *eventWriter) writeHeader() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	// The outcome of a streamed response is known only at its end.
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

func (e *eventWriter) appendEvent(data []byte) {
	e.buf = append(e.buf, eventPrefix...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, eventEnd...)
}

// finish sends the last chunks of a complete response.
func (e *eventWriter) finish(c requestInfo, request ChatRequest, r dispatch.Result) {
	e.writeHeader()
	e.buf = e.buf[:0]
	reason := r.End.FinishReason
	last := ChatCompletion{
		ID: chatID(c), Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: request.Model,
		Choices: []ChatChoice{{Delta: &ChatDelta{}, FinishReason: &reason}},
	}
	if request.StreamOptions != nil && request.StreamOptions.IncludeUsage {
		last.Usage = usage(r.End)
	}
	data, _ := json.Marshal(last) // no field can fail to encode
	e.appendEvent(data)
	e.appendEvent([]byte(streamEnd))
	e.w.Header().Set(outcome.Header, string(r.Outcome))
	_ = e.flush()
}

// streamChat returns the number of tokens sent, and whether the response broke off so
// that the connection must be reset.
func (a *API) streamChat(w http.ResponseWriter, r *http.Request, c requestInfo, request ChatRequest, call *dispatch.Call) (tokens uint32, broken bool) {
	events := newEventWriter(w, c, request.Model)
	result := a.deps.Dispatcher.Run(r.Context(), call, events)
	switch {
	case result.Problem == nil:
		a.deps.Metrics.countAnswered(result.Outcome)
		events.finish(c, request, result)
	case !events.started:
		a.writeProblem(w, r, result.Problem)
	default:
		result.Problem.Request = c.request
		a.abortStream(events, result)
		broken = true
	}
	return events.tokens, broken
}

// abortStream sends an error event for a stream that cannot be completed. The HTTP
// handler then resets the connection, so that the client cannot take the stream
// for complete.
func (a *API) abortStream(e *eventWriter, r dispatch.Result) {
	a.deps.Metrics.countFailed(r.Problem)
	e.buf = append(e.buf[:0], "event: error\n"...)
	e.appendEvent(r.Problem.JSON())
	_ = e.flush()
}
