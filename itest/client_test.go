package itest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/caller"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/lab/procs"
)

// answer is the response to a request.
type answer struct {
	Status  int
	Outcome outcome.Outcome
	Request string
	Body    []byte
	// Err is set if the response was not received whole.
	Err error
}

func (a answer) problem(t *testing.T) problem.Problem {
	t.Helper()
	var p problem.Problem
	assert.NilError(t, json.Unmarshal(a.Body, &p), "%s", a.Body)
	return p
}

// client sends requests with the API key of the cluster's team.
type client struct{ http *http.Client }

// newClient returns a client without keep-alive, so that net/http retries no request.
func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 60 * time.Second}}
}

func (c *client) do(ctx context.Context, method, url, key, body string) answer {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+procs.TeamKey)
	if key != "" {
		request.Header.Set(caller.HeaderIdempotencyKey, key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{Err: err}
	}
	defer response.Body.Close()
	a := answer{Status: response.StatusCode, Request: response.Header.Get(problem.HeaderRequestID)}
	a.Body, a.Err = io.ReadAll(response.Body)
	a.Outcome = outcome.Outcome(response.Header.Get(outcome.Header))
	if a.Outcome == "" {
		a.Outcome = outcome.Outcome(response.Trailer.Get(outcome.Header))
	}
	return a
}

// prompt returns a user message with a mark that makes its answer unique.
func prompt(mark string) string { return "mark=" + mark + " a chest for Candelaria" }

func chatBody(mark string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		procs.Model, stream, tokens, prompt(mark))
}

func (c *client) chat(ctx context.Context, e *procs.Entry, mark string, tokens int, stream bool) answer {
	return c.do(ctx, http.MethodPost, e.URL+"/v1/chat/completions", "", chatBody(mark, tokens, stream))
}

func (c *client) plain(ctx context.Context, e *procs.Entry, method, path, key, body string) answer {
	return c.do(ctx, method, e.URL+"/v1/services/"+procs.PlainService+path, key, body)
}

func (c *client) ticket(ctx context.Context, t *testing.T, e *procs.Entry) string {
	t.Helper()
	a := c.plain(ctx, e, http.MethodPost, "/tickets", "", "")
	assert.NilError(t, a.Err)
	assert.Equal(t, a.Status, http.StatusCreated, "%s", a.Body)
	var ticket caller.Ticket
	assert.NilError(t, json.Unmarshal(a.Body, &ticket))
	return ticket.Ticket
}

// completionText returns the text of a chat completion that was not streamed.
func completionText(body []byte) (string, error) {
	var chat caller.ChatCompletion
	if err := json.Unmarshal(body, &chat); err != nil {
		return "", err
	}
	if len(chat.Choices) != 1 || chat.Choices[0].Message == nil {
		return "", fmt.Errorf("answer has no message: %s", body)
	}
	return chat.Choices[0].Message.Content, nil
}

// streamedText returns the text of a streamed chat completion. Complete is true
// only if the stream ended with [DONE].
func streamedText(body []byte) (text string, complete bool, err error) {
	var b strings.Builder
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true, nil
		}
		var chunk caller.ChatCompletion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return b.String(), false, err
		}
		if len(chunk.Choices) == 1 && chunk.Choices[0].Delta != nil {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String(), false, scanner.Err()
}

// runs returns the number of executions of each key at all plain services.
func runs(ctx context.Context, t *testing.T, c *procs.Cluster) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, e := range c.Endpoints {
		if e.Config.Service != procs.PlainService {
			continue
		}
		for key, n := range runsOf(ctx, t, e) {
			total[key] += n
		}
	}
	return total
}

// runsOf returns the number of executions of each key at one plain service.
func runsOf(ctx context.Context, t *testing.T, e *procs.Endpoint) map[string]int {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.BackendURL+"/lab/runs", nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	var counted map[string]int
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&counted))
	return counted
}
