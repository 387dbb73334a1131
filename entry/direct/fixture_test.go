package direct

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// testCodec uses its own header names.
type testCodec struct{}

func (testCodec) ParseRequest(h http.Header) (RequestInfo, error) {
	ms, _ := strconv.Atoi(h.Get("Patience"))
	prompt, _ := strconv.Atoi(h.Get("Prompt"))
	return RequestInfo{
		ID: id.Request(h.Get("Request")), Key: h.Get("Key"), LastEvent: h.Get("Last-Event"),
		Timeout: time.Duration(ms) * time.Millisecond, PromptTokens: prompt, SharedParts: strings.Fields(h.Get("Parts")),
	}, nil
}

func (testCodec) WriteForward(h http.Header, f ForwardInfo) {
	h.Del("Key")
	h.Set("Only", string(f.Endpoint))
	h.Set("Patience", strconv.FormatInt(f.Remaining.Milliseconds(), 10))
	h.Set("Team", string(f.Team))
	h.Set("Last-Event", f.LastEvent)
}

func (testCodec) ParseResponse(status int, h http.Header) ResponseInfo {
	ms, _ := strconv.Atoi(h.Get("Pause"))
	cold, _ := strconv.Atoi(h.Get("Cold"))
	return ResponseInfo{
		ColdRemaining: time.Duration(cold) * time.Millisecond,
		Leaving:       h.Get("Leaving") != "", RetryAfter: time.Duration(ms) * time.Millisecond,
		NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest, Signed: h.Get("Signed") != "",
		Request: id.Request(h.Get("Request")), AtFault: id.Endpoint(h.Get("At-Fault")),
	}
}

func (testCodec) WriteRefusal(h http.Header, r Refusal) {
	h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
}

// backend is an endpoint that answers each request by a script.
type backend struct {
	name   string
	server *httptest.Server
	// crashed is true after crash.
	crashed atomic.Bool

	mu   sync.Mutex
	seen []http.Header
}

func (b *backend) requests() []http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

// script answers the n-th request of a backend, counted from 1.
type script func(n int, w http.ResponseWriter, r *http.Request)

func newBackend(t *testing.T, name string, s script) *backend {
	t.Helper()
	b := &backend{name: name}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.seen = append(b.seen, r.Header.Clone())
		n := len(b.seen)
		b.mu.Unlock()
		s(n, w, r)
	}))
	b.server.Config.ErrorLog = nil
	t.Cleanup(b.server.Close)
	return b
}

func (b *backend) endpoint(service id.Service) Endpoint {
	return Endpoint{Name: id.Endpoint(b.name), Service: service, Address: strings.TrimPrefix(b.server.URL, "http://"), Slots: 4}
}

func respondOK(body string) script {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "yes")
		w.Header().Set("Request", r.Header.Get("Request"))
		fmt.Fprint(w, body)
	}
}

func respond(code int, header ...string) script {
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		for _, h := range header {
			name, value, _ := strings.Cut(h, ": ")
			w.Header().Set(name, value)
		}
		w.WriteHeader(code)
	}
}

func cutOff(string) script {
	return func(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
}

func hang(_ int, _ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// events sends the events after the client's last one up to end and ends the stream, or
// aborts it after the event brk.
func events(end, brk int, pace time.Duration) script {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		w.Header().Set("Signed", "yes")
		w.Header().Set("Request", r.Header.Get("Request"))
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for i := first + 1; i <= end; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = rc.Flush()
			if i == brk {
				fmt.Fprintf(w, "id: %d\ndata:", i+1) // A part of the next event.
				_ = rc.Flush()
				panic(http.ErrAbortHandler)
			}
			time.Sleep(pace)
		}
	}
}

// crash ends the backend's process: its connections and its listener are closed.
func (b *backend) crash() {
	b.crashed.Store(true)
	_ = b.server.Listener.Close()
	b.server.CloseClientConnections()
}

// newFragileBackend returns a backend that streams three events and crashes when it begins to
// write an answer to a prompt with the part.
func newFragileBackend(t *testing.T, name, part string) *backend {
	var b *backend
	b = newBackend(t, name, func(n int, w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(strings.Fields(r.Header.Get("Parts")), part) {
			events(3, 0, 5*time.Millisecond)(n, w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Signed", "yes")
		_ = http.NewResponseController(w).Flush()
		go b.crash()
		<-r.Context().Done()
	})
	return b
}

// crashedOf returns the number of backends that crashed.
func crashedOf(backends []*backend) int {
	n := 0
	for _, b := range backends {
		if b.crashed.Load() {
			n++
		}
	}
	return n
}

// entry is a handler behind an HTTP server.
type entry struct {
	t       *testing.T
	handler *Handler
	server  *httptest.Server
}

const testPrefix = "/r/"

// testEntries counts the entries, whose hosts differ.
var testEntries atomic.Int64

func newEntry(t *testing.T, route routes.Route, backends ...*backend) *entry {
	t.Helper()
	route.Host, route.Prefix = "h.example", testPrefix
	route.Split = []routes.WeightedService{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	if route.TargetLatency == 0 {
		route.TargetLatency = 500 * time.Millisecond
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	table, err := routes.NewTable(routes.Config{
		Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{{Name: "s"}},
		Teams:  []routes.Team{{Name: "team-a", Keys: []string{"key-a"}}},
		Limits: routes.Limits{MaxBodyBytes: 1000},
	})
	assert.NilError(t, err)
	h := NewHandler(Options{
		Codec: testCodec{}, Host: id.Host(fmt.Sprintf("entry%d", testEntries.Add(1))), Entries: func() int { return 1 }, Log: zerolog.Nop(),
		Retries: retry.WindowConfig{Ratio: 0.2, ExtraRetries: 100, Length: 10 * time.Second},
	})
	h.SetTable(table)
	var list []Endpoint
	for _, b := range backends {
		list = append(list, b.endpoint("s"))
	}
	h.SetEndpoints(list)
	e := &entry{t: t, handler: h, server: httptest.NewServer(h)}
	e.server.Config.ErrorLog = nil
	t.Cleanup(e.server.Close)
	return e
}

// reply is a client's view of the response. Err is set if the response broke off.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (e *entry) send(method string, header ...string) reply {
	return e.sendBody(e.t.Context(), method, "body", header...)
}

// sendTogether sends n requests concurrently and returns all replies.
func (e *entry) sendTogether(n int) []reply {
	out := make([]reply, n)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = e.send(http.MethodPost) })
	}
	wg.Wait()
	return out
}

func (e *entry) sendBody(ctx context.Context, method, body string, header ...string) reply {
	r, err := http.NewRequestWithContext(ctx, method, e.server.URL+testPrefix+"x?q=1", strings.NewReader(body))
	assert.NilError(e.t, err)
	r.Host = "h.example"
	r.Header.Set("Request", "req-1")
	r.Header.Set("Key", "key-a")
	for _, h := range header {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	began := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), err, time.Since(began)}
}
