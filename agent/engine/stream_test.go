package engine

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func event(data string) string { return "data: " + data + "\n\n" }

func token(text string) string {
	return event(`{"id":"att_1","choices":[{"index":0,"text":"` + text + `"}]}`)
}

const (
	lastChunk = `{"id":"att_1","choices":[{"index":0,"text":"","finish_reason":"length"}],"usage":{"prompt_tokens":4,"completion_tokens":3}}`
	end       = "data: [DONE]\n\n"
)

func TestReadStream(t *testing.T) {
	tests := []struct {
		name, stream string
		tokens       []string
		err          error
	}{
		{name: "complete", stream: token("a") + token(" b") + event(lastChunk) + end, tokens: []string{"a", " b"}},
		{name: "escaped", stream: token("a") + token(`\"b\\`) + token(`\u00e9`) + token("é") + event(lastChunk) + end, tokens: []string{"a", `"b\`, "é", "é"}},
		{name: "escaped first", stream: token(`\"`) + token("b") + event(lastChunk) + end, tokens: []string{`"`, "b"}},
		{name: "key inside a text", stream: token(`\"text\":\"x`) + token("b") + event(lastChunk) + end, tokens: []string{`"text":"x`, "b"}},
		{name: "other form", stream: token("a") + event(`{"choices":[{"text":"b","index":0}]}`) + token("c") + event(lastChunk) + end, tokens: []string{"a", "b", "c"}},
		{name: "second text", stream: token("a") + token(`b"},{"index":1,"text":"c`) + event(lastChunk) + end, tokens: []string{"a", "b", "c"}},
		{
			name:   "same key elsewhere",
			stream: event(`{"log":{"text":"a"},"choices":[{"text": "a"}]}`) + event(`{"log":{"text":"b"},"choices":[{"text": "a"}]}`) + event(lastChunk) + end,
			tokens: []string{"a", "a"},
		},
		{name: "comments and carriage returns", stream: ": ping\r\n\r\ndata: " + `{"choices":[{"text":"a"}]}` + "\r\n\r\n" + event(lastChunk) + end, tokens: []string{"a"}},
		{name: "no end", stream: token("a") + event(lastChunk), tokens: []string{"a"}, err: ErrIncomplete},
		{name: "no finish reason", stream: token("a") + end, tokens: []string{"a"}, err: ErrIncomplete},
		{name: "broken chunk", stream: token("a") + event(`{"id":"att_1","choices":[{"index":0,"te`), tokens: []string{"a"}, err: ErrIncomplete},
		{name: "control character", stream: token("a") + token("b\x01"), tokens: []string{"a"}, err: ErrIncomplete},
		{name: "text of another type", stream: token("a") + event(`{"id":"att_1","choices":[{"index":0,"text":5}]}`) + event(lastChunk) + end, tokens: []string{"a"}, err: ErrIncomplete},
		{name: "line too long", stream: token("a") + token(strings.Repeat("b", 500)), tokens: []string{"a"}, err: ErrIncomplete},
		{name: "cancelled", stream: token("a") + event(`{"choices":[{"finish_reason":"cancelled"}]}`) + end, tokens: []string{"a"}, err: ErrCancelled},
		{name: "empty", err: ErrIncomplete},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tokens []string
			usage, err := readStream(strings.NewReader(test.stream), 300, func(token Token) error {
				tokens = append(tokens, token.Text)
				return nil
			})
			assert.DeepEqual(t, tokens, test.tokens)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			if test.err == nil {
				assert.DeepEqual(t, usage, Usage{PromptTokens: 4, AnswerTokens: 3, FinishReason: "length"})
			}
		})
	}
}

func BenchmarkReadStream(b *testing.B) {
	const tokens = 1000
	var stream strings.Builder
	for i := range tokens {
		stream.WriteString(token(fmt.Sprintf(" t%d", i)))
	}
	stream.WriteString(event(lastChunk) + end)
	text := stream.String()
	b.ReportAllocs()
	for b.Loop() {
		_, err := readStream(io.Reader(strings.NewReader(text)), 1<<16, func(Token) error { return nil })
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
