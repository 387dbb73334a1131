package engine

import (
	"encoding/json"
	"errors"
	"net/http"

	protocol "github.com/siskinford/siskinford/agent/engine"
)

// FinishCancelled is the finish reason of a cancelled answer.
const FinishCancelled = "cancelled"

var errCancelled = errors.New("attempt was cancelled")

// stream writes one streamed completion. The header is sent with the first token.
type stream struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	sequence *sequence
	prefix   []byte // of each chunk, before the text
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
		writeError(w, httpStatus(err), err, true)
		return
	}
	cut := e.nextCut()
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
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		case <-s.changed:
		}
		// Reading the status before the count ensures that no final token is missed.
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

// chunkPrefix returns the common start of all chunks of a sequence.
func chunkPrefix(s *sequence) []byte {
	attempt, _ := json.Marshal(s.attempt) // Strings always encode.
	prefix := append([]byte(`data: {"id":`), attempt...)
	return append(prefix, `,"choices":[{"index":0,"text":"`...)
}

// writeTokens sends tokens up to index end in one write, or up to an injected cut.
func (o *stream) writeTokens(end int) error {
	if o.sent >= end {
		return nil
	}
	o.writeHeader()
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

func (o *stream) writeHeader() {
	if o.sent > 0 {
		return
	}
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
}

// finishStream writes the usage chunk and the end-of-stream marker.
func (e *Engine) finishStream(o *stream, state status) {
	if o.sent == 0 {
		e.writeCancelled(o.w, o.sequence)
		return
	}
	body, _ := json.Marshal(e.finalChunk(o.sequence, state, "")) // All fields encode.
	o.buffer = append(o.buffer[:0], "data: "...)
	o.buffer = append(o.buffer, body...)
	o.buffer = append(o.buffer, "\n\ndata: "+protocol.StreamEnd+"\n\n"...)
	_, _ = o.w.Write(o.buffer) // Fails only if the client has disconnected.
}

// writeCancelled responds for a sequence cancelled before its first token was sent.
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
			PromptTokens:     s.promptTokens,
			CompletionTokens: int(s.produced.Load()),
			CachedTokens:     s.cachedTokens,
		},
	}
}

func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, s *sequence, cut int) {
	for {
		select {
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		case <-s.changed:
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
