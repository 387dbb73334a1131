package engine

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/valyala/fastjson"
)

var dataPrefix = []byte("data:")

// streamReader reads the server-sent events of one completion.
type streamReader struct {
	parser   fastjson.Parser
	emit     func(Token) error
	usage    Usage
	finished bool
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
	chunk, err := s.parser.ParseBytes(data)
	if err != nil {
		return false, incomplete(err)
	}
	if usage := chunk.Get("usage"); usage != nil && usage.Type() == fastjson.TypeObject {
		s.usage.PromptTokens = usage.GetInt("prompt_tokens")
		s.usage.AnswerTokens = usage.GetInt("completion_tokens")
		s.usage.CachedTokens = usage.GetInt("cached_tokens")
	}
	for _, choice := range chunk.GetArray("choices") {
		if err := s.choice(choice); err != nil {
			return false, err
		}
	}
	return false, nil
}

func (s *streamReader) choice(c *fastjson.Value) error {
	if reason := c.GetStringBytes("finish_reason"); len(reason) > 0 {
		s.finished = true
		s.usage.FinishReason = string(reason)
	}
	text := c.GetStringBytes("text")
	if len(text) == 0 {
		return nil
	}
	return s.emit(Token{Text: string(text)})
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
