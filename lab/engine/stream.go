package engine

import (
	"encoding/json"
	"errors"
	"net/http"

	protocol "github.com/siskinford/siskinford/agent/engine"
)

// FinishCancelled is the finish reason of an answer that was cancelled.
const FinishCancelled = "cancelled"

var errCancelled = errors.New("attempt was cancelled")

// stream writes one completion. The headers go out with the first token.
type stream struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	sequence *sequence
	prefix   []byte // of each chunk, up to the text
	buffer   []byte
	sent     int
	cutAfter int
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request protocol.CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	s, err := e.admit(request)
	if err != nil {
		writeError(w, statusOf(err), err, true)
		return
	}
	cut := e.takeCut()
	if cut == 0 {
		panic(http.ErrAbortHandler)
	}
	defer e.abandon(s)
	if request.Stream {
		e.serveStream(w, r, s, cut)
		return
	}
	e.serveWhole(w, r, s, cut)
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *sequence, cut int) {
	out := &stream{w: w, flusher: http.NewResponseController(w), sequence: s, cutAfter: cut, prefix: chunkPrefix(s)}
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.ready:
		}
		// The status is read before the count, so that no token is missed at the end.
		state := s.state()
		if err := out.writeTokens(int(s.produced.Load())); err != nil {
			return
		}
		if state == statusDone || state == statusCancelled {
			e.finishStream(out, state)
			return
		}
	}
}

// chunkPrefix returns the part that all chunks of a sequence start with.
func chunkPrefix(s *sequence) []byte {
	attempt, _ := json.Marshal(s.attempt) // Strings always encode.
	prefix := append([]byte(`data: {"id":`), attempt...)
	return append(prefix, `,"choices":[{"index":0,"text":"`...)
}

// writeTokens sends the tokens up to index end in one write.
func (o *stream) writeTokens(end int) error {
	if o.sent >= end {
		return nil
	}
	o.start()
	o.buffer = o.buffer[:0]
	cut := o.cutAfter != noCut && end >= o.cutAfter
	if cut {
		end = o.cutAfter
	}
	for ; o.sent < end; o.sent++ {
		o.buffer = append(o.buffer, o.prefix...)
		o.buffer = o.sequence.script.appendTokenJSON(o.buffer, o.sent)
		o.buffer = append(o.buffer, "\"}]}\n\n"...)
	}
	if _, err := o.w.Write(o.buffer); err != nil {
		return err
	}
	err := o.flusher.Flush()
	if cut {
		panic(http.ErrAbortHandler)
	}
	return err
}

func (o *stream) start() {
	if o.sent > 0 {
		return
	}
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
}

// finishStream writes the chunk with usage and the end of the stream.
func (e *Engine) finishStream(o *stream, state status) {
	if o.sent == 0 {
		e.writeCancelled(o.w, o.sequence)
		return
	}
	body, _ := json.Marshal(e.finalChunk(o.sequence, state, "")) // All fields encode.
	o.buffer = append(o.buffer[:0], "data: "...)
	o.buffer = append(o.buffer, body...)
	o.buffer = append(o.buffer, "\n\ndata: "+protocol.StreamEnd+"\n\n"...)
	_, _ = o.w.Write(o.buffer) // The client has gone if this fails.
}

// writeCancelled answers for a sequence that was cancelled before its first token.
func (e *Engine) writeCancelled(w http.ResponseWriter, s *sequence) {
	e.mu.Lock()
	started := s.prefilled
	e.mu.Unlock()
	writeError(w, http.StatusConflict, errCancelled, !started)
}

func (e *Engine) finalChunk(s *sequence, state status, text string) protocol.Chunk {
	finish := s.script.finish
	if state == statusCancelled {
		finish = FinishCancelled
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return protocol.Chunk{
		ID:      string(s.attempt),
		Choices: []protocol.Choice{{Text: text, FinishReason: finish}},
		Usage: &protocol.CompletionUsage{
			PromptTokens:     s.prompt,
			CompletionTokens: int(s.produced.Load()),
			CachedTokens:     s.cached,
		},
	}
}

func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, s *sequence, cut int) {
	for {
		select {
		case <-r.Context().Done():
			return
		case <-s.ready:
		}
		state := s.state()
		if cut != noCut && int(s.produced.Load()) >= cut {
			panic(http.ErrAbortHandler)
		}
		switch state {
		case statusCancelled:
			e.writeCancelled(w, s)
			return
		case statusDone:
			writeJSON(w, http.StatusOK, e.finalChunk(s, state, s.script.text()))
			return
		}
	}
}
