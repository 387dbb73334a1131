package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

var dataPrefix = []byte("data:")

// streamReader reads the server-sent events of one completion.
type streamReader struct {
	emit     func(Token) error
	usage    Usage
	finished bool
	template chunkTemplate
}

// readStream emits the tokens of a stream. A stream is complete only if it has a
// finish reason and ends with StreamEnd.
func readStream(body io.Reader, maxLineBytes int, emit func(Token) error) (Usage, error) {
	reader := streamReader{emit: emit}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, min(maxLineBytes, 4<<10)), maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		end, err := reader.handleEvent(bytes.TrimSpace(data))
		if end || err != nil {
			return reader.usage, err
		}
	}
	if err := lines.Err(); err != nil {
		return reader.usage, wrapIncomplete(err)
	}
	return reader.usage, ErrIncomplete
}

// handleEvent processes the data of one event and reports whether it was the last.
func (s *streamReader) handleEvent(data []byte) (end bool, err error) {
	if string(data) == StreamEnd {
		return true, s.result()
	}
	if text, ok := s.template.match(data); ok {
		return false, s.emitText(string(text))
	}
	return false, s.handleChunk(data)
}

// handleChunk decodes a chunk that does not match the template.
func (s *streamReader) handleChunk(data []byte) error {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return wrapIncomplete(err)
	}
	s.template = chunkTemplate{}
	if chunk.isText() {
		s.template.set(data, chunk.Choices[0].Text)
	}
	if chunk.Usage != nil {
		s.usage.PromptTokens = chunk.Usage.PromptTokens
		s.usage.AnswerTokens = chunk.Usage.CompletionTokens
		s.usage.CachedTokens = chunk.Usage.CachedTokens
	}
	for _, choice := range chunk.Choices {
		if err := s.handleChoice(choice); err != nil {
			return err
		}
	}
	return nil
}

func (s *streamReader) handleChoice(c Choice) error {
	if c.FinishReason != "" {
		s.finished = true
		s.usage.FinishReason = c.FinishReason
	}
	return s.emitText(c.Text)
}

func (s *streamReader) emitText(text string) error {
	if text == "" {
		return nil
	}
	return s.emit(Token{Text: text})
}

func (s *streamReader) result() error {
	if !s.finished {
		return ErrIncomplete
	}
	if s.usage.FinishReason == finishCancelled {
		return ErrCancelled
	}
	return nil
}

// wrapIncomplete returns ErrIncomplete with its cause.
func wrapIncomplete(cause error) error {
	return fmt.Errorf("%w: %w", ErrIncomplete, cause)
}
