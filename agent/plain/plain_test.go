package plain_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/agent/plain"
	"github.com/siskinford/siskinford/wire/msg"
)

// recorder is a plain.Writer that records the response.
type recorder struct {
	head msg.ResponseHead
	body bytes.Buffer
}

func (r *recorder) Head(head msg.ResponseHead) error { r.head = head; return nil }
func (r *recorder) Write(data []byte) (int, error)   { return r.body.Write(data) }
func (r *recorder) has(name string) bool             { return r.get(name) != "" }

func newClient(t *testing.T, c plain.Config) *plain.Client {
	t.Helper()
	client, err := plain.New(c)
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return client
}

func (r *recorder) get(name string) string {
	for _, field := range r.head.Header {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

func TestForwardsWithoutHopByHopFields(t *testing.T) {
	var got *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("Connection", "X-Answer-Hop")
		w.Header().Set("X-Answer-Hop", "1")
		w.Header().Set("X-Mark", "m1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "made")
	}))
	defer server.Close()
	client := newClient(t, plain.Config{URL: server.URL})
	var out recorder
	err := client.Do(context.Background(), &msg.HTTPRequest{
		Method: http.MethodPost,
		Path:   "/tags?bay=3%2F4",
		Body:   []byte("order"),
		Header: []msg.Header{
			{Name: "idempotency-key", Value: "k1"},
			{Name: "Connection", Value: "X-Hop, close"},
			{Name: "x-hop", Value: "1"},
			{Name: "Te", Value: "trailers"},
			{Name: "Transfer-Encoding", Value: "chunked"},
			{Name: "Content-Length", Value: "99"},
			{Name: "Expect", Value: "100-continue"},
		},
	}, &out)
	assert.NilError(t, err)
	assert.Equal(t, got.RequestURI, "/tags?bay=3%2F4")
	assert.Equal(t, string(body), "order")
	assert.Equal(t, got.ContentLength, int64(5))
	assert.Equal(t, got.Header.Get("Idempotency-Key"), "k1")
	for _, name := range []string{"X-Hop", "Te", "Expect", "Connection", "User-Agent", "Accept-Encoding"} {
		assert.Equal(t, got.Header.Get(name), "", "%s", name)
	}
	assert.Equal(t, out.head.Status, http.StatusCreated)
	assert.Equal(t, out.get("X-Mark"), "m1")
	assert.Assert(t, !out.has("X-Answer-Hop") && !out.has("Connection"))
	assert.Equal(t, out.body.String(), "made")
}

func TestRefusesBeforeTheRequestIsSent(t *testing.T) {
	runs := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
	defer server.Close()
	tests := []struct {
		name  string
		plain msg.HTTPRequest
	}{
		{"body too large", msg.HTTPRequest{Method: "POST", Path: "/tags", Body: make([]byte, 11)}},
		{"header too large", msg.HTTPRequest{Method: "GET", Path: "/tags", Header: []msg.Header{{Name: "X", Value: strings.Repeat("v", 100)}}}},
		{"relative path", msg.HTTPRequest{Method: "GET", Path: "tags"}},
		{"absolute URL", msg.HTTPRequest{Method: "GET", Path: "http://example.org/"}},
		{"bad method", msg.HTTPRequest{Method: "GET /x", Path: "/tags"}},
		{"bad header", msg.HTTPRequest{Method: "GET", Path: "/tags", Header: []msg.Header{{Name: "X", Value: "a\r\nY: b"}}}},
	}
	client := newClient(t, plain.Config{URL: server.URL, MaxBodyBytes: 10, MaxHeaderBytes: 50})
	for _, test := range tests {
		err := client.Do(context.Background(), &test.plain, &recorder{})
		var notStarted *plain.NotStartedError
		assert.Assert(t, errors.As(err, &notStarted), "%s: %v", test.name, err)
	}
	assert.Equal(t, runs, 0)
}

func TestResponseAboveItsLimitIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Long", r.URL.Query().Get("header"))
		_, _ = w.Write(make([]byte, 10+len(r.URL.Query().Get("more"))))
	}))
	defer server.Close()
	client := newClient(t, plain.Config{URL: server.URL, MaxAnswerBytes: 10})
	assert.NilError(t, client.Do(context.Background(), &msg.HTTPRequest{Method: "GET", Path: "/"}, &recorder{}))
	long := "/?header=" + strings.Repeat("x", 70<<10)
	assert.ErrorContains(t, client.Do(context.Background(), &msg.HTTPRequest{Method: "GET", Path: long}, &recorder{}), "header")
	err := client.Do(context.Background(), &msg.HTTPRequest{Method: "GET", Path: "/?more=x"}, &recorder{})
	var limit *plain.LimitError
	assert.Assert(t, errors.As(err, &limit), "%v", err)
	var notStarted *plain.NotStartedError
	assert.Assert(t, !errors.As(err, &notStarted))
}
