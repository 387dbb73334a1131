package direct

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// pauseAfter streams the events after the client's last one up to end. Before the event that follows the given one
// it waits until pause returns.
func pauseAfter(after, end int, pause func(r *http.Request)) script {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Signed", "yes")
		w.Header().Set("Request", r.Header.Get("Request"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first + 1; i <= end; i++ {
			if i == after+1 {
				pause(r)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// sleep returns a pause of a duration, which ends with the request.
func sleep(d time.Duration) func(*http.Request) {
	return func(r *http.Request) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
		}
	}
}

// keepActive keeps the service active for the time of a test, as other streams would.
func keepActive(t *testing.T, s *Service) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				s.lastEvent.Store(int64(s.now()))
			}
		}
	})
	t.Cleanup(func() {
		close(done)
		wg.Wait()
	})
}

// TestSilentStreamGoesOnUnlessTaken guards against streams that are cut for their silence although no other endpoint
// goes on with them: there is none, the only other one is full, refuses, fails, is silent too or cannot be reached.
func TestSilentStreamGoesOnUnlessTaken(t *testing.T) {
	const pause = 1600 * time.Millisecond
	for place, after := range map[string]int{"before its first event": 0, "between its events": 2} {
		for name, other := range map[string]script{
			"no other":         nil,
			"other is full":    events(3, 0, 0),
			"other refuses":    respond(503, "Not-Run: 1"),
			"other fails":      respond(500, "Signed: yes"),
			"other breaks off": cutOff(""),
			"other is silent":  hang,
			"other is gone":    events(3, 0, 0),
			"other skips":      func(_ int, w http.ResponseWriter, _ *http.Request) { writeStream(w, 4, 5) },
			"other has a text": respond(200, "Signed: yes", "Content-Type: text/plain"),
		} {
			if after == 0 && (name == "other skips" || name == "other has a text") {
				continue // Without an event before it, any answer is the stream.
			}
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				a := newBackend(t, "a", pauseAfter(after, 3, sleep(pause)))
				backends := []*backend{a}
				if other != nil {
					backends = append(backends, newBackend(t, "b", other))
				}
				e := newEntry(t, stream, backends...)
				s := e.handler.Service("s")
				keepActive(t, s)
				if other != nil {
					s.MarkUnreachable("b") // Makes a the first choice.
				}
				result := make(chan reply, 1)
				go func() { result <- e.send(http.MethodPost) }()
				time.Sleep(100 * time.Millisecond)
				switch name {
				case "other is full":
					s.mu.Lock()
					s.scheduler.SetPeerLoad("b", scheduler.Load{Running: 4})
					s.mu.Unlock()
				case "other is gone":
					backends[1].crash()
				}
				got := <-result
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Equal(t, got.body, wantEvents(1, 3))
				assert.Equal(t, len(a.requests()), 1)
			})
		}
	}
}

// writeStream writes a whole stream of the events from..to.
func writeStream(w http.ResponseWriter, from, to int) {
	w.Header().Set("Signed", "yes")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, wantEvents(from, to))
}

// TestLateAnswerIsNotGivenUp guards against answers that are given up after a multiple of the target latency
// although no other endpoint gives one.
func TestLateAnswerIsNotGivenUp(t *testing.T) {
	late := func(n int, w http.ResponseWriter, r *http.Request) {
		sleep(1200 * time.Millisecond)(r)
		respondOK("late")(n, w, r)
	}
	for name, other := range map[string]script{
		"no other":         nil,
		"other refuses":    respond(503, "Not-Run: 1"),
		"other fails":      respond(500, "Signed: yes"),
		"other breaks off": cutOff(""),
		"other hangs":      hang,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backends := []*backend{newBackend(t, "a", late)}
			if other != nil {
				backends = append(backends, newBackend(t, "b", other))
			}
			e := newEntry(t, routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}, backends...)
			e.handler.Service("s").MarkUnreachable("b")
			got := e.send(http.MethodGet)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, "late")
		})
	}
}

// TestSilentEndpointIsLeft guards against requests that stay at an endpoint that is truly silent while another one
// is free, or becomes free.
func TestSilentEndpointIsLeft(t *testing.T) {
	timeouts := silenceTimeoutsOf(&stream)
	const slack = 400 * time.Millisecond
	silentAt := func(after int) script { return pauseAfter(after, 9, sleep(time.Hour)) }
	for name, c := range map[string]struct {
		route  routes.Route
		silent script
		after  time.Duration
	}{
		"before the first event": {stream, silentAt(0), timeouts.first},
		"between events":         {stream, silentAt(2), timeouts.next},
		"buffered":               {routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}, hang, hedgeTargets * 500 * time.Millisecond},
	} {
		for _, full := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, full %v", name, full), func(t *testing.T) {
				t.Parallel()
				answer := respondOK("ok")
				want := "ok"
				if c.route.Kind == routes.Streaming {
					answer, want = events(3, 0, 0), wantEvents(1, 3)
				}
				a, b := newBackend(t, "a", c.silent), newBackend(t, "b", answer)
				e := newEntry(t, c.route, a, b)
				s := e.handler.Service("s")
				keepActive(t, s)
				s.MarkUnreachable("b")
				setLoad := func(n int) {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.scheduler.SetPeerLoad("b", scheduler.Load{Running: n})
					s.dispatch()
				}
				expected := c.after
				if full {
					expected += 200 * time.Millisecond
					time.AfterFunc(100*time.Millisecond, func() { setLoad(8) })
					time.AfterFunc(expected, func() { setLoad(0) })
				}
				got := e.send(http.MethodPost)
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, want)
				assert.Assert(t, got.took >= c.after && got.took < expected+slack, "%v", got.took)
				assert.Equal(t, len(a.requests()), 1)
			})
		}
	}
}

// TestSilentAttemptAndHedgeTogether guards against events that come twice or out of order if a silent stream goes on
// at the moment at which another endpoint takes it over.
func TestSilentAttemptAndHedgeTogether(t *testing.T) {
	for name, first := range map[string]bool{"silent one goes on as the hedge arrives": true, "both go on": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hedged, goesOn := make(chan struct{}), make(chan struct{})
			a := newBackend(t, "a", pauseAfter(2, 6, func(r *http.Request) {
				select {
				case <-hedged:
				case <-r.Context().Done():
				}
				close(goesOn)
			}))
			b := newBackend(t, "b", pauseAfter(2, 6, func(r *http.Request) {
				close(hedged)
				<-goesOn
				if first {
					<-r.Context().Done()
				}
			}))
			e := newEntry(t, stream, a, b)
			s := e.handler.Service("s")
			keepActive(t, s)
			s.MarkUnreachable("b")
			got := e.send(http.MethodPost)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, wantEvents(1, 6))
			assert.Equal(t, len(a.requests()), 1)
			assert.Equal(t, len(b.requests()), 1)
			assert.Equal(t, len(s.ownLoads()), 0)
		})
	}
}

// TestSilentHedgeIsLeft guards against requests that stay at the second endpoint, which is as silent as the first one,
// although the route allows further attempts and another endpoint is free.
func TestSilentHedgeIsLeft(t *testing.T) {
	timeouts := silenceTimeoutsOf(&stream)
	const (
		slack    = 500 * time.Millisecond
		buffered = hedgeTargets * 500 * time.Millisecond
	)
	for name, c := range map[string]struct {
		route  routes.Route
		silent script
		// after is the time until the first endpoint is left, next until each further one is.
		after, next time.Duration
		// most is the number of silent endpoints that can be left before clients leave.
		most int
	}{
		"between events": {stream, pauseAfter(2, 9, sleep(time.Hour)), timeouts.next, timeouts.next, 2},
		"buffered":       {routes.Route{Kind: routes.Idempotent}, hang, buffered, buffered, 3},
	} {
		for silent := 2; silent <= c.most; silent++ {
			t.Run(fmt.Sprintf("%s, %d silent", name, silent), func(t *testing.T) {
				t.Parallel()
				answer, want := respondOK("ok"), "ok"
				if c.route.Kind == routes.Streaming {
					answer, want = events(3, 0, 0), wantEvents(1, 3)
				}
				route := c.route
				route.MaxAttempts = silent + 1
				backends := []*backend{newBackend(t, "a", c.silent)}
				for i := 1; i < silent; i++ {
					backends = append(backends, newBackend(t, fmt.Sprintf("b%d", i), hang))
				}
				backends = append(backends, newBackend(t, "c", answer))
				e := newEntry(t, route, backends...)
				s := e.handler.Service("s")
				keepActive(t, s)
				s.mu.Lock()
				for i, b := range backends { // The first one is the first choice, and so on.
					s.scheduler.SetPeerLoad(id.Endpoint(b.name), scheduler.Load{Running: i})
				}
				s.mu.Unlock()
				got := e.send(http.MethodPost)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Equal(t, got.body, want)
				expected := c.after + time.Duration(silent-1)*c.next
				assert.Assert(t, got.took >= expected-slack && got.took < expected+slack, "%v, expected %v", got.took, expected)
				for _, b := range backends {
					assert.Equal(t, len(b.requests()), 1, b.name)
				}
				assert.Equal(t, len(s.ownLoads()), 0)
			})
		}
	}
}

// TestFailedHedgeFreesItsPlace guards against a hedge that has failed and keeps its place at its endpoint for as long as
// a further one goes on.
func TestFailedHedgeFreesItsPlace(t *testing.T) {
	begun, freed := make(chan struct{}), make(chan struct{})
	a := newBackend(t, "a", pauseAfter(2, 3, sleep(time.Hour)))
	b := newBackend(t, "b", func(int, http.ResponseWriter, *http.Request) {
		<-begun
		panic(http.ErrAbortHandler)
	})
	c := newBackend(t, "c", pauseAfter(2, 3, func(r *http.Request) {
		close(begun)
		select {
		case <-freed:
		case <-r.Context().Done():
		}
	}))
	route := stream
	route.MaxAttempts = 3
	e := newEntry(t, route, a, b, c)
	s := e.handler.Service("s")
	keepActive(t, s)
	running := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.scheduler.OwnLoad("b").Running
	}
	s.mu.Lock()
	for i, name := range []id.Endpoint{"a", "b", "c"} { // a is the first choice, and so on.
		s.scheduler.SetPeerLoad(name, scheduler.Load{Running: i})
	}
	s.mu.Unlock()
	result := make(chan reply, 1)
	go func() { result <- e.send(http.MethodPost) }()
	<-begun
	for limit := time.Now().Add(500 * time.Millisecond); running() > 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(limit), "the failed hedge keeps its place")
	}
	close(freed)
	got := <-result
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, wantEvents(1, 3))
}

// TestHedgeIsEitherAcceptedOrAbandoned guards against a request that loses both its attempts if both go on at the same
// moment: each would end the other one.
func TestHedgeIsEitherAcceptedOrAbandoned(t *testing.T) {
	for name, acceptFirst := range map[string]bool{"hedge first": true, "first attempt first": false} {
		t.Run(name, func(t *testing.T) {
			ctx, g := newHedge(t.Context())
			close(g.done)
			if acceptFirst {
				assert.Assert(t, g.accept())
				assert.Assert(t, !g.abandon())
				assert.NilError(t, ctx.Err())
				return
			}
			assert.Assert(t, g.abandon())
			assert.Assert(t, !g.accept())
			assert.Equal(t, context.Cause(ctx), errNotHedged)
		})
	}
}

// countedColdStarts is a limit that lets all requests start at cold endpoint "b" and counts them.
type countedColdStarts struct{ starts atomic.Int64 }

func (*countedColdStarts) Next(name id.Endpoint, now time.Duration) (time.Duration, bool) {
	return now, name == "b"
}

func (c *countedColdStarts) Take(name id.Endpoint, _ time.Duration) bool {
	if name == "b" {
		c.starts.Add(1)
	}
	return true
}

func (*countedColdStarts) Interval(id.Endpoint, time.Duration) (time.Duration, bool) {
	return time.Millisecond, true
}

func (*countedColdStarts) Until(id.Endpoint) time.Duration { return time.Hour }

func (*countedColdStarts) Cold() int { return 1 }

// TestHedgeWithoutRetryTakesNoPlace guards against silent requests that, with the retry budget used up, take places at
// other endpoints and starts at cold ones again and again without sending anything.
func TestHedgeWithoutRetryTakesNoPlace(t *testing.T) {
	for name, c := range map[string]struct {
		route  routes.Route
		answer script
		want   string
	}{
		"stream": {stream, pauseAfter(2, 3, sleep(1600*time.Millisecond)), wantEvents(1, 3)},
		"buffered": {routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}, func(n int, w http.ResponseWriter, r *http.Request) {
			sleep(1600 * time.Millisecond)(r)
			respondOK("late")(n, w, r)
		}, "late"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newBackend(t, "a", c.answer), newBackend(t, "b", hang)
			e := newEntry(t, c.route, a, b)
			s := e.handler.Service("s")
			keepActive(t, s)
			s.MarkUnreachable("b")
			var cold countedColdStarts
			s.mu.Lock()
			s.scheduler.SetColdLimit(&cold)
			s.mu.Unlock()
			for s.AcquireRetry() {
			}
			got := e.send(http.MethodPost)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, c.want)
			assert.Equal(t, len(b.requests()), 0)
			assert.Equal(t, cold.starts.Load(), int64(0))
		})
	}
}

// TestDrainDuringHedge guards against a stream that is lost if its entry is told to stop while a hedge is under way:
// the silent endpoint goes on, or the other one does.
func TestDrainDuringHedge(t *testing.T) {
	for name, silent := range map[string]bool{"silent one goes on": false, "hedge goes on": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hedged, stopped := make(chan struct{}), make(chan struct{})
			awaitStop := func(r *http.Request) {
				select {
				case <-stopped:
				case <-r.Context().Done():
				}
			}
			a := newBackend(t, "a", pauseAfter(2, 6, func(r *http.Request) {
				awaitStop(r)
				if silent {
					<-r.Context().Done()
				}
			}))
			b := newBackend(t, "b", pauseAfter(2, 6, func(r *http.Request) {
				close(hedged)
				awaitStop(r)
				if !silent {
					<-r.Context().Done()
				}
			}))
			e := newEntry(t, stream, a, b)
			s := e.handler.Service("s")
			keepActive(t, s)
			s.MarkUnreachable("b")
			result := make(chan reply, 1)
			go func() { result <- e.send(http.MethodPost) }()
			<-hedged
			e.handler.Drain(t.Context(), time.Now().Add(2*time.Second))
			time.Sleep(100 * time.Millisecond)
			close(stopped)
			got := <-result
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, wantEvents(1, 6))
		})
	}
}
