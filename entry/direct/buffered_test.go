package direct

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/entry/routes"
)

var (
	idempotent    = routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}
	nonIdempotent = routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 2}
)

func TestBufferedResponses(t *testing.T) {
	refusal := respond(503, "Not-Run: 1")
	cases := map[string]struct {
		route         routes.Route
		first, second script
		wantStatus    int
		wantBody      string
		// wantAttempts counts the requests at both endpoints.
		wantAttempts int
	}{
		"answered":                     {idempotent, respondOK("a"), respondOK("a"), 200, "a", 1},
		"a refusal is tried elsewhere": {nonIdempotent, refusal, refusal, 503, "", 2},
		"a failure of an idempotent request is tried elsewhere":     {idempotent, respond(500, "Signed: yes"), respond(500, "Signed: yes"), 500, "", 2},
		"a failure of a non-idempotent request is passed on":        {nonIdempotent, respond(500, "Signed: yes"), respond(500, "Signed: yes"), 500, "", 1},
		"a cut answer of an idempotent request is tried elsewhere":  {idempotent, cutOff(""), cutOff(""), 502, "", 2},
		"a cut answer of a non-idempotent request promises nothing": {nonIdempotent, cutOff(""), cutOff(""), 502, "", 1},
		"an unmarked 503 promises nothing":                          {nonIdempotent, respond(503), respond(503), 502, "", 1},
		"an unmarked 429 promises nothing":                          {nonIdempotent, respond(429), respond(429), 502, "", 1},
		"another instance does not run the request":                 {nonIdempotent, respond(421), respond(421), 503, "", 2},
		"an unsigned response is not forwarded":                     {nonIdempotent, respond(200), respond(200), 502, "", 1},
		"a response to another request is not forwarded":            {nonIdempotent, respond(200, "Signed: yes", "Request: other"), respond(200, "Signed: yes", "Request: other"), 502, "", 1},
		"an encoded response is not forwarded":                      {nonIdempotent, respond(200, "Signed: yes", "Content-Encoding: gzip"), respond(200, "Signed: yes", "Content-Encoding: gzip"), 502, "", 1},
		"a client error is forwarded":                               {idempotent, respond(404, "Signed: yes"), respond(404, "Signed: yes"), 404, "", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", c.first), newBackend(t, "b", c.second)
			e := newEntry(t, c.route, a, b)
			got := e.send(http.MethodPost)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.wantStatus, got.body)
			if c.wantBody != "" {
				assert.Equal(t, got.body, c.wantBody)
			}
			assert.Equal(t, len(a.requests())+len(b.requests()), c.wantAttempts)
			if c.wantStatus == http.StatusServiceUnavailable {
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after > 0)
			}
			if c.wantStatus == http.StatusBadGateway {
				assert.Equal(t, got.header.Get("Signed"), "", "the entry's own errors are not signed")
			}
		})
	}
}

func TestMaxAttemptsOne(t *testing.T) {
	a, b := newBackend(t, "a", respond(503, "Not-Run: 1")), newBackend(t, "b", respond(503, "Not-Run: 1"))
	e := newEntry(t, routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1}, a, b)
	got := e.send(http.MethodPost)
	assert.Equal(t, got.status, 503)
	assert.Equal(t, len(a.requests())+len(b.requests()), 1)
}

// TestGETIsNotRetriedByItsMethod checks that the kind of the route decides, not the
// method.
func TestGETIsNotRetriedByItsMethod(t *testing.T) {
	a, b := newBackend(t, "a", cutOff("")), newBackend(t, "b", cutOff(""))
	e := newEntry(t, nonIdempotent, a, b)
	got := e.sendBody(t.Context(), http.MethodGet, "")
	assert.Equal(t, got.status, 502)
	assert.Equal(t, len(a.requests())+len(b.requests()), 1)
}

func TestForwardedHeaders(t *testing.T) {
	a := newBackend(t, "a", respondOK("x"))
	e := newEntry(t, idempotent, a)
	got := e.send(http.MethodPost, "Patience: 1000", "Connection: X-Hop", "X-Hop: 1", "X-Kept: 2", "Team: forged")
	assert.Equal(t, got.status, 200)
	h := a.requests()[0]
	assert.Equal(t, h.Get("Only"), "a")
	assert.Equal(t, h.Get("Team"), "team-a")
	assert.Equal(t, h.Get("Key"), "")
	assert.Equal(t, h.Get("X-Hop"), "")
	assert.Equal(t, h.Get("X-Kept"), "2")
	left, err := strconv.Atoi(h.Get("Patience"))
	assert.NilError(t, err)
	assert.Assert(t, left > 500 && left <= 1000, "left %d ms", left)
}

func TestRejections(t *testing.T) {
	a := newBackend(t, "a", respondOK("x"))
	e := newEntry(t, idempotent, a)
	assert.Equal(t, e.send(http.MethodPost, "Key: unknown").status, http.StatusUnauthorized)
	assert.Equal(t, e.sendBody(t.Context(), http.MethodPost, string(make([]byte, 1001))).status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, len(a.requests()), 0)
	empty := NewHandler(e.handler.opt)
	e.server.Config.Handler = empty
	got := e.send(http.MethodPost)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

func TestDeadlineExceeded(t *testing.T) {
	t.Run("at the endpoint, nothing is promised", func(t *testing.T) {
		a := newBackend(t, "a", hang)
		e := newEntry(t, nonIdempotent, a)
		got := e.send(http.MethodPost, "Patience: 150")
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Assert(t, got.took < time.Second)
	})
	t.Run("the route's time counts as well", func(t *testing.T) {
		a := newBackend(t, "a", hang)
		e := newEntry(t, routes.Route{Kind: routes.NonIdempotent, Timeout: 150 * time.Millisecond}, a)
		got := e.send(http.MethodPost, "Patience: 9000")
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Assert(t, got.took < time.Second)
	})
	t.Run("a silent endpoint leaves time for another", func(t *testing.T) {
		a, b := newBackend(t, "a", hang), newBackend(t, "b", respondOK("b"))
		e := newEntry(t, routes.Route{Kind: routes.Idempotent, MaxAttempts: 2, TargetLatency: 50 * time.Millisecond}, a, b)
		e.handler.Service("s").MarkUnreachable("b") // Makes a the first choice.
		got := e.send(http.MethodPost, "Patience: 2000")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "b")
	})
}

func TestUnreachableEndpointDoesNotCountAsAttempt(t *testing.T) {
	a, b := newBackend(t, "a", respondOK("a")), newBackend(t, "b", respondOK("b"))
	a.server.Close()
	e := newEntry(t, routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1}, a, b)
	for range 5 {
		got := e.send(http.MethodPost)
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "b")
	}
}

func TestRetryBudget(t *testing.T) {
	a, b := newBackend(t, "a", respond(500, "Signed: yes")), newBackend(t, "b", respond(500, "Signed: yes"))
	e := newEntry(t, idempotent, a, b)
	e.handler.Service("s").window = noRetries()
	assert.Equal(t, e.send(http.MethodPost).status, 500)
	assert.Equal(t, len(a.requests())+len(b.requests()), 1)
}

// TestGroupDownGetsTrials checks that after the loss of a rank one request at a time
// probes whether the group is back: each attempt counts, and the other ranks would refuse
// as well.
func TestGroupDownGetsTrials(t *testing.T) {
	t.Run("a group that stays down", func(t *testing.T) {
		down := respond(503, "Not-Run: 1", "At-Fault: c")
		a, b := newBackend(t, "a", down), newBackend(t, "b", down)
		e := newEntry(t, idempotent, a, b)
		const together = 20
		began := time.Now()
		for _, got := range e.sendTogether(together) {
			assert.Equal(t, got.status, 503)
		}
		trials := int(time.Since(began)/(150*time.Millisecond)) + 1
		assert.Assert(t, len(a.requests())+len(b.requests()) <= trials+together, "%d and %d requests", len(a.requests()), len(b.requests()))
		e.send(http.MethodPost)
		assert.Assert(t, len(a.requests())+len(b.requests()) <= trials+together+1+maxGroupDownRetries)
	})
	t.Run("a group that returns", func(t *testing.T) {
		var up atomic.Bool
		a := newBackend(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
			if up.Load() {
				respondOK("a")(n, w, r)
				return
			}
			respond(503, "Not-Run: 1", "At-Fault: c")(n, w, r)
		})
		e := newEntry(t, idempotent, a)
		assert.Equal(t, e.send(http.MethodPost, "Patience: 100").status, 503)
		refused := len(a.requests())
		time.AfterFunc(500*time.Millisecond, func() { up.Store(true) })
		for _, got := range e.sendTogether(4) {
			assert.Equal(t, got.status, 200, got.body)
		}
		assert.Assert(t, len(a.requests()) <= refused+4+5, "%d requests, %d before", len(a.requests()), refused)
	})
}
