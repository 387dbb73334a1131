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
	form     chunkForm
}

// readStream emits the tokens of a stream. Only a stream with a finish reason
// and its last event is complete.
func readStream(body io.Reader, maxLineBytes int, emit func(Token) error) (Usage, error) {
	reader := streamReader{emit: emit}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, min(maxLineBytes, 4<<10)), maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		end, err := reader.event(bytes.TrimSpace(data))
		if end || err != nil {
			return reader.usage, err
		}
	}
	if err := lines.Err(); err != nil {
		return reader.usage, incomplete(err)
	}
	return reader.usage, ErrIncomplete
}

// event handles the data of one event and reports whether it was the last.
func (s *streamReader) event(data []byte) (end bool, err error) {
	if string(data) == StreamEnd {
		return true, s.result()
	}
	if text, ok := s.form.text(data); ok {
		return false, s.text(string(text))
	}
	return false, s.decode(data)
}

// decode handles a chunk of any form.
func (s *streamReader) decode(data []byte) error {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return incomplete(err)
	}
	s.form = chunkForm{}
	if chunk.isText() {
		s.form.learn(data, chunk.Choices[0].Text)
	}
	if chunk.Usage != nil {
		s.usage.PromptTokens = chunk.Usage.PromptTokens
		s.usage.AnswerTokens = chunk.Usage.CompletionTokens
		s.usage.CachedTokens = chunk.Usage.CachedTokens
	}
	for _, choice := range chunk.Choices {
		if err := s.choice(choice); err != nil {
			return err
		}
	}
	return nil
}

func (s *streamReader) choice(c Choice) error {
	if c.FinishReason != "" {
		s.finished = true
		s.usage.FinishReason = c.FinishReason
	}
	return s.text(c.Text)
}

func (s *streamReader) text(text string) error {
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

// incomplete states the cause for which a stream is incomplete.
func incomplete(cause error) error {
	return fmt.Errorf("%w: %w", ErrIncomplete, cause)
}
