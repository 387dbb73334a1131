package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/prefixhash"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/wire/msg"
)

// ChatRequest is the body of a chat completion request. Other members are ignored.
type ChatRequest struct {
	Model         string         `json:"model"`
	Messages      []ChatMessage  `json:"messages"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options"`
	MaxTokens     int            `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// StreamOptions selects optional parts of a streamed completion.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (c ChatRequest) validate(limits Config) finding.List {
	var l finding.List
	if c.Model == "" {
		l.Addf("model", "is not set")
	}
	if len(c.Messages) == 0 {
		l.Addf("messages", "is empty")
	}
	if c.MaxTokens < 0 || c.MaxTokens > limits.MaxTokens {
		l.Addf("max_tokens", "%d is not between 0 and %d", c.MaxTokens, limits.MaxTokens)
	}
	if c.MaxCompletionTokens < 0 || c.MaxCompletionTokens > limits.MaxTokens {
		l.Addf("max_completion_tokens", "%d is not between 0 and %d", c.MaxCompletionTokens, limits.MaxTokens)
	}
	return l
}

func (c ChatRequest) maxTokens(limits Config) int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return limits.DefaultMaxTokens
}

func (c ChatRequest) prompt() string {
	var b strings.Builder
	for i, m := range c.Messages {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
	}
	return b.String()
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, c requestInfo) {
	var request ChatRequest
	if p := a.decodeJSON(w, r, &request); p != nil {
		a.writeProblem(w, r, p)
		return
	}
	service, p := a.modelService(c, request)
	if p != nil {
		a.writeProblem(w, r, p)
		return
	}
	call := a.newChatCall(c, service, request)
	release, p := a.deps.Admitter.Admit(c.team, call)
	if p != nil {
		a.writeProblem(w, r, p)
		return
	}
	if request.Stream {
		tokens, broken := a.streamChat(w, r, c, request, call)
		release(tokens)
		if broken {
			panic(http.ErrAbortHandler)
		}
		return
	}
	release(a.bufferChat(w, r, c, request, call))
}

// decodeJSON reads a JSON body of at most Config.MaxBodyBytes.
func (a *API) decodeJSON(w http.ResponseWriter, r *http.Request, into any) *problem.Problem {
	body, p := a.readBody(w, r)
	if p != nil {
		return p
	}
	if err := json.Unmarshal(body, into); err != nil {
		p := problem.Newf(problem.BadRequest, "the body is not valid JSON: %v", err)
		p.Findings = finding.List{{Place: jsonErrorPosition(body, err), Message: err.Error()}}
		return p
	}
	return nil
}

func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.config.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.Newf(problem.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, problem.Newf(problem.BadRequest, "the body cannot be read: %v", err)
	}
	return body, nil
}

func (a *API) modelService(c requestInfo, request ChatRequest) (config.Service, *problem.Problem) {
	if findings := request.validate(a.config); len(findings) > 0 {
		p := problem.Newf(problem.BadRequest, "the chat completion is invalid: %v", findings)
		p.Findings = findings
		return config.Service{}, p
	}
	service, ok := c.catalog.ServiceByModel(request.Model)
	if !ok {
		return service, problem.Newf(problem.UnknownModel, "model %q does not exist", request.Model)
	}
	if !permitted(c.team, service.Name) {
		return service, problem.Newf(problem.Forbidden, "team %q may not use model %q", c.team.Name, request.Model)
	}
	return service, nil
}

func (a *API) newChatCall(c requestInfo, s config.Service, request ChatRequest) *dispatch.Call {
	prompt := request.prompt()
	tokens := request.maxTokens(a.config)
	call := &dispatch.Call{
		Request:      c.request,
		Team:         c.team.Name,
		Service:      s.Name,
		Idempotent:   s.Idempotent,
		Deadline:     time.Now().Add(s.Deadline()),
		Work:         uint32(prefixhash.Words(prompt) + tokens),
		PromptBlocks: prefixhash.Blocks(prompt, prefixhash.DefaultBlockWords),
		Chat:         &msg.Chat{Model: request.Model, Prompt: prompt, MaxTokens: tokens},
	}
	if call.Work >= a.config.LongRequestTokens {
		call.Class = msg.ClassLong
	}
	return call
}

// ChatCompletion is a chat completion or one chunk of a streamed one.
type ChatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// ChatChoice is the only choice of a chat completion.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is the part of the message that a chunk carries.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatUsage counts the tokens of a chat completion.
type ChatUsage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
	CachedTokens     uint32 `json:"cached_tokens"`
}

func usage(end *msg.End) *ChatUsage {
	return &ChatUsage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: end.AnswerTokens,
		TotalTokens:      end.PromptTokens + end.AnswerTokens,
		CachedTokens:     end.CachedTokens,
	}
}

func chatID(c requestInfo) string { return "chatcmpl-" + strings.TrimPrefix(string(c.request), "req_") }

// bufferSink buffers the whole response.
type bufferSink struct {
	body   bytes.Buffer
	tokens uint32
}

// WriteFrames implements dispatch.Sink.
func (s *bufferSink) WriteFrames(batch []*msg.Frame) error {
	for _, f := range batch {
		s.body.Write(f.Data)
		s.tokens += f.Tokens
	}
	return nil
}

func (a *API) bufferChat(w http.ResponseWriter, r *http.Request, c requestInfo, request ChatRequest, call *dispatch.Call) uint32 {
	var sink bufferSink
	result := a.deps.Dispatcher.Run(r.Context(), call, &sink)
	if result.Problem != nil {
		a.writeProblem(w, r, result.Problem)
		return sink.tokens
	}
	reason := result.End.FinishReason
	completion := ChatCompletion{
		ID:      chatID(c),
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   request.Model,
		Choices: []ChatChoice{{
			Message:      &ChatMessage{Role: "assistant", Content: sink.body.String()},
			FinishReason: &reason,
		}},
		Usage: usage(result.End),
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.Header, string(result.Outcome))
	a.deps.Metrics.countAnswered(result.Outcome)
	_ = json.NewEncoder(w).Encode(completion)
	return sink.tokens
}
