package direct

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/entry/routes"
)

const (
	// drainTime is the time from the beginning of a drain to its end.
	drainTime = 600 * time.Millisecond
	// drainTolerance is the time after its end within which all clients have an answer.
	drainTolerance = 500 * time.Millisecond
)

// answerAfter answers after a time with a short body, or a stream of one event.
func answerAfter(d time.Duration) script {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(d):
			events(1, 0, 0)(n, w, r)
		case <-r.Context().Done():
		}
	}
}

func (e *entry) drain() (end time.Time) {
	end = time.Now().Add(drainTime)
	e.handler.Drain(e.t.Context(), end)
	return end
}

// recordDuration records how long an answer took at an endpoint.
func (e *entry) recordDuration(d time.Duration) {
	s := e.handler.Service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations.add(d)
}

// TestDrainAnswersWhatIsLeft guards against requests that are cut off without an answer when the
// grace of a planned stop is over: each client is told whether its request may have run.
func TestDrainAnswersWhatIsLeft(t *testing.T) {
	for kind, route := range kinds {
		route.Timeout = 10 * time.Second
		for name, c := range map[string]struct {
			answer script
			status int
			broken bool
			cut    int
		}{
			"no answer":  {hang, http.StatusGatewayTimeout, false, 1},
			"part of it": {events(9, 0, 200*time.Millisecond), http.StatusOK, true, 1},
		} {
			if buffered := route.Kind != routes.Streaming; buffered && c.broken {
				c.status, c.broken = http.StatusGatewayTimeout, false
			}
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				a := newBackend(t, "a", c.answer)
				e := newEntry(t, route, a)
				replies := make(chan reply, 1)
				go func() { replies <- e.send(http.MethodPost) }()
				awaitRequests(t, a, 1)
				end := e.drain()
				got := <-replies
				assert.Equal(t, got.status, c.status, "%v", got)
				assert.Equal(t, got.err != nil, c.broken, "%v", got)
				assert.Assert(t, time.Now().After(end) && time.Since(end) < drainTolerance, "%v", time.Since(end))
				assert.Equal(t, e.handler.CutOff(), c.cut)
			})
		}
		t.Run(kind+", queued", func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, "a", hang)
			e := newEntry(t, route, a)
			one := a.endpoint("s")
			one.Slots = 1
			e.handler.SetEndpoints([]Endpoint{one})
			replies := make(chan []reply, 1)
			go func() { replies <- e.sendTogether(12) }()
			awaitRequests(t, a, 1)
			e.drain()
			refused := 0
			for _, got := range <-replies {
				assert.NilError(t, got.err)
				if got.status == http.StatusServiceUnavailable {
					refused++
				}
			}
			assert.Assert(t, refused > 0)
			assert.Equal(t, refused+len(a.requests()), 12)
			assert.Equal(t, e.handler.CutOff(), len(a.requests()))
		})
	}
}

func awaitRequests(t *testing.T, b *backend, n int) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); len(b.requests()) < n; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d requests", len(b.requests()))
	}
}

// TestDrainRefusesWhatCannotBeDone guards against requests that are passed on though they cannot be
// done before the entry stops: another entry could have served them.
func TestDrainRefusesWhatCannotBeDone(t *testing.T) {
	const work = 250 * time.Millisecond
	for kind, route := range kinds {
		route.Timeout = 10 * time.Second
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, "a", answerAfter(work))
			e := newEntry(t, route, a)
			assert.Equal(t, e.send(http.MethodPost).status, http.StatusOK)
			end := e.drain()
			assert.Equal(t, e.send(http.MethodPost).status, http.StatusOK)
			time.Sleep(time.Until(end.Add(-work / 2)))
			got := e.send(http.MethodPost)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "%v", got)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Assert(t, time.Now().Before(end), "%v", got.took)
			assert.Equal(t, len(a.requests()), 2)
			assert.Equal(t, e.handler.CutOff(), 0)
		})
		t.Run(kind+" that ends in time by itself", func(t *testing.T) {
			t.Parallel()
			short := route
			short.Timeout = 100 * time.Millisecond
			a := newBackend(t, "a", hang)
			e := newEntry(t, short, a)
			e.recordDuration(time.Minute)
			e.drain()
			assert.Equal(t, e.send(http.MethodPost).status, http.StatusGatewayTimeout)
			assert.Equal(t, len(a.requests()), 1)
			assert.Equal(t, e.handler.CutOff(), 0)
		})
	}
}

// TestDrainEndsBodies guards against a client that is still sending its body when the entry stops,
// and whose connection is closed without an answer.
func TestDrainEndsBodies(t *testing.T) {
	for kind, route := range kinds {
		route.Timeout = 10 * time.Second
		for name, rest := range map[string]string{"never complete": "", "complete too late": "half"} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				a := newBackend(t, "a", respondOK("ok"))
				e := newEntry(t, route, a)
				e.recordDuration(200 * time.Millisecond)
				c := e.openWithPartOfBody()
				time.Sleep(20 * time.Millisecond)
				end := e.drain()
				if rest != "" {
					time.Sleep(time.Until(end.Add(-100 * time.Millisecond)))
					_, err := io.WriteString(c, rest)
					assert.NilError(t, err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				assert.NilError(t, err)
				assert.Assert(t, !time.Now().After(end), "late")
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, resp.Close)
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
				assert.Equal(t, len(a.requests()), 0)
			})
		}
	}
}

// TestSecondSignalEndsDrain checks that a drain ends at once if its context does.
func TestSecondSignalEndsDrain(t *testing.T) {
	a := newBackend(t, "a", hang)
	e := newEntry(t, nonIdempotent, a)
	replies := make(chan reply, 1)
	go func() { replies <- e.send(http.MethodPost) }()
	awaitRequests(t, a, 1)
	ctx, cancel := context.WithCancel(t.Context())
	e.handler.Drain(ctx, time.Now().Add(time.Minute))
	cancel()
	assert.Equal(t, (<-replies).status, http.StatusGatewayTimeout)
	assert.Equal(t, e.send(http.MethodPost).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(a.requests()), 1)
}

// TestDrainAnswersRequestsThatAreJustRead guards against a bound on the time for a body that strikes
// just after the body was read: net/http takes it for a disconnect, and the client gets no answer.
func TestDrainAnswersRequestsThatAreJustRead(t *testing.T) {
	a := newBackend(t, "a", respondOK("ok"))
	route := nonIdempotent
	route.Timeout = time.Minute
	e := newEntry(t, route, a)
	e.recordDuration(time.Minute) // Nothing can be done before the end.
	e.handler.Drain(t.Context(), time.Now().Add(30*time.Second))
	for range 20 {
		for _, got := range e.sendTogether(100) {
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
		}
	}
	assert.Equal(t, len(a.requests()), 0)
}
