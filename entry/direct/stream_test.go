package direct

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

func noRetries() *retry.Window { return retry.NewWindow(retry.WindowConfig{Length: time.Second}) }

var stream = routes.Route{Kind: routes.Streaming, MaxAttempts: 2, Resumable: true}

// wantEvents returns the encoded events from..to.
func wantEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString("id: " + itoa(i) + "\ndata: " + itoa(i) + "\n\n")
	}
	return b.String()
}

func itoa(i int) string { return string(rune('0' + i)) }

func TestStreams(t *testing.T) {
	notResumable := stream
	notResumable.Resumable = false
	cases := map[string]struct {
		route        routes.Route
		a, b         script
		last         string
		wantStatus   int
		want         string
		wantBroken   bool
		wantAttempts int
	}{
		"forwarded to its end":                    {stream, events(5, 0, 0), events(5, 0, 0), "", 200, wantEvents(1, 5), false, 1},
		"resumed elsewhere after the last event":  {stream, events(6, 3, 0), events(6, 0, 0), "", 200, wantEvents(1, 6), false, 2},
		"resumed for a reconnecting client":       {stream, events(6, 0, 0), events(6, 0, 0), "4", 200, wantEvents(5, 6), false, 1},
		"aborted if it cannot be resumed":         {stream, events(6, 3, 0), events(6, 4, 0), "", 200, wantEvents(1, 4), true, 2},
		"not resumed unless the route permits it": {notResumable, events(6, 3, 0), events(6, 0, 0), "", 200, wantEvents(1, 3), true, 1},
		"is not a stream":                         {stream, respond(404, "Signed: yes"), respond(404, "Signed: yes"), "", 404, "", false, 1},
		"fails before its first event":            {stream, respond(500, "Signed: yes"), events(2, 0, 0), "", 200, wantEvents(1, 2), false, 2},
		"is refused":                              {stream, respond(503, "Not-Run: 1"), respond(503, "Not-Run: 1"), "", 503, "", false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", c.a), newBackend(t, "b", c.b)
			e := newEntry(t, c.route, a, b)
			e.handler.Service("s").MarkUnreachable("b") // Makes a the first choice.
			header := []string{}
			if c.last != "" {
				header = append(header, "Last-Event: "+c.last)
			}
			got := e.send(http.MethodPost, header...)
			assert.Equal(t, got.status, c.wantStatus)
			if c.want != "" {
				assert.Equal(t, got.body, c.want)
			}
			assert.Equal(t, got.err != nil, c.wantBroken, "%v", got.err)
			assert.Equal(t, len(a.requests())+len(b.requests()), c.wantAttempts)
		})
	}
}

// silent sends two events and then hangs.
func silent(_ int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Signed", "yes")
	w.Header().Set("Request", r.Header.Get("Request"))
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = w.Write([]byte(wantEvents(1, 2)))
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// startAt runs a stream at one of two endpoints, and makes the other one preferred.
func startAt(e *entry, this, other id.Endpoint) <-chan reply {
	s := e.handler.Service("s")
	s.MarkUnreachable(other)
	out := make(chan reply, 1)
	go func() { out <- e.send(http.MethodPost) }()
	time.Sleep(100 * time.Millisecond)
	s.MarkUnreachable(this)
	s.mu.Lock()
	s.scheduler.Suspect(other, 0)
	s.mu.Unlock()
	return out
}

// TestSilentStreamResumesElsewhere checks that the stream of a hung rank is resumed
// elsewhere while other ranks are active.
func TestSilentStreamResumesElsewhere(t *testing.T) {
	a, b := newBackend(t, "a", silent), newBackend(t, "b", events(9, 0, 100*time.Millisecond))
	e := newEntry(t, stream, a, b)
	other := startAt(e, "b", "a") // Keeps the service active.
	got := e.send(http.MethodPost)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, wantEvents(1, 9))
	assert.Equal(t, len(a.requests()), 1)
	assert.Equal(t, (<-other).body, wantEvents(1, 9))
}

// TestSilentStreamIsNotCutWithoutRetry guards against streams that the entry cuts for their
// silence although it cannot resume them: with no attempt or no retry left they may still go on.
func TestSilentStreamIsNotCutWithoutRetry(t *testing.T) {
	pausing := func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "yes")
		w.Header().Set("Request", r.Header.Get("Request"))
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte(wantEvents(1, 2)))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(1200 * time.Millisecond):
			_, _ = w.Write([]byte(wantEvents(3, 4)))
		case <-r.Context().Done():
		}
	}
	late := func(n int, w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		events(4, 0, 0)(n, w, r)
	}
	oneAttempt := stream
	oneAttempt.MaxAttempts = 1
	for name, c := range map[string]struct {
		route   routes.Route
		script  script
		prepare func(*Service)
	}{
		"no attempt left":                   {oneAttempt, pausing, func(*Service) {}},
		"no attempt left for a late stream": {oneAttempt, late, func(*Service) {}},
		"no retry left":                     {stream, pausing, func(s *Service) { s.window = noRetries() }},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", c.script), newBackend(t, "b", events(9, 0, 200*time.Millisecond))
			e := newEntry(t, c.route, a, b)
			c.prepare(e.handler.Service("s"))
			other := startAt(e, "b", "a") // Keeps the service active.
			got := e.send(http.MethodPost)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, wantEvents(1, 4))
			assert.NilError(t, (<-other).err)
		})
	}
}

// TestSlowStreamIsNotSilent checks that timeouts scale with the route: a late first event
// or a pause that is an outage elsewhere is normal for slow engines.
func TestSlowStreamIsNotSilent(t *testing.T) {
	slow := stream
	slow.TargetLatency, slow.MaxEventGap = 1200*time.Millisecond, 700*time.Millisecond
	late := func(n int, w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		events(3, 0, 900*time.Millisecond)(n, w, r)
	}
	a, b := newBackend(t, "a", late), newBackend(t, "b", events(9, 0, 500*time.Millisecond))
	e := newEntry(t, slow, a, b)
	other := startAt(e, "b", "a") // Keeps the service active.
	got := e.send(http.MethodPost)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, wantEvents(1, 3))
	assert.Equal(t, len(a.requests()), 1)
	assert.Equal(t, len(b.requests()), 1)
	assert.NilError(t, (<-other).err)
}

// TestSilentStreamMakesEndpointSuspect checks that one silent stream makes a busier rank
// preferred: a rank on a frozen host looks idle, as none of its requests end.
func TestSilentStreamMakesEndpointSuspect(t *testing.T) {
	a, b := newBackend(t, "a", silent), newBackend(t, "b", events(9, 0, 100*time.Millisecond))
	e := newEntry(t, stream, a, b)
	other := startAt(e, "b", "a")
	assert.NilError(t, e.send(http.MethodPost).err)
	<-other
	assert.Equal(t, len(a.requests()), 1)
	e.sendTogether(2)
	assert.Equal(t, len(a.requests()), 1, "the silent rank received another stream")
}

func TestDisconnectedClientFreesEndpoint(t *testing.T) {
	left := make(chan struct{})
	a := newBackend(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
		hang(n, w, r)
		close(left)
	})
	e := newEntry(t, stream, a)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, e.sendBody(ctx, http.MethodPost, "x").err != nil)
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the endpoint still works for a disconnected client")
	}
	s := e.handler.Service("s")
	for range 50 {
		if len(s.ownLoads()) == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the slot is still taken")
}

func TestStreamEndsAtRouteTimeout(t *testing.T) {
	route := stream
	route.Timeout = 250 * time.Millisecond
	a := newBackend(t, "a", events(9, 0, 100*time.Millisecond))
	e := newEntry(t, route, a)
	got := e.send(http.MethodPost)
	assert.Assert(t, got.err != nil, "a truncated stream must not look complete")
	assert.Assert(t, got.took < 600*time.Millisecond)
}

// TestInexactResume checks endpoints that do not resume exactly after the
// requested event.
func TestInexactResume(t *testing.T) {
	from := func(first int) script {
		return func(_ int, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Signed", "yes")
			w.Header().Set("Request", r.Header.Get("Request"))
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte(wantEvents(first, 6)))
		}
	}
	for name, c := range map[string]struct {
		second script
		want   string
		broken bool
	}{
		"events come twice":   {from(2), wantEvents(1, 6), false},
		"an event is missing": {from(5), wantEvents(1, 3), true},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", events(6, 3, 0)), newBackend(t, "b", c.second)
			e := newEntry(t, stream, a, b)
			e.handler.Service("s").MarkUnreachable("b")
			got := e.send(http.MethodPost)
			assert.Equal(t, got.body, c.want)
			assert.Equal(t, got.err != nil, c.broken)
		})
	}
}

// numbered streams events with the given IDs after the client's last one, and breaks off after one of them.
func numbered(ids []int, brk int) script {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		last, err := strconv.Atoi(r.Header.Get("Last-Event"))
		if err != nil {
			last = -1
		}
		w.Header().Set("Signed", "yes")
		w.Header().Set("Request", r.Header.Get("Request"))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, n := range ids {
			if n > last {
				_, _ = fmt.Fprintf(w, "id: %d\n\n", n)
			}
			if brk > 0 && n == brk {
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// TestEventIDsIncrease guards against sound streams that are cut because their IDs increase by more than one, and
// against events that are left out where another endpoint goes on, or sent in a wrong order.
func TestEventIDsIncrease(t *testing.T) {
	byTokens := []int{4, 8, 11, 15, 19, 20}
	for name, c := range map[string]struct {
		first, second []int
		brk           int
		last          string
		want          []int
		broken        bool
	}{
		"by tokens":                       {byTokens, nil, 0, "", byTokens, false},
		"by tokens, resumed":              {byTokens, byTokens, 11, "", byTokens, false},
		"by tokens, resumed after one":    {byTokens, byTokens, 4, "", byTokens, false},
		"by tokens, resumed by client":    {byTokens, nil, 0, "8", byTokens[2:], false},
		"by tokens, one left out":         {byTokens, []int{4, 8, 19, 20}, 11, "", []int{4, 8, 11}, true},
		"by one, one left out":            {[]int{1, 2, 3, 4}, []int{1, 2, 4}, 2, "", []int{1, 2}, true},
		"by one, second one left out":     {[]int{1, 2, 3, 4}, []int{1, 3, 4}, 1, "", []int{1}, true},
		"by one, then by more":            {[]int{1, 2, 5, 6}, nil, 0, "", []int{1, 2, 5, 6}, false},
		"one wrong":                       {[]int{1, 2, 900, 4, 5}, []int{1, 2, 3, 4, 5}, 0, "", []int{1, 2, 900}, true},
		"one twice":                       {[]int{1, 2, 2, 3}, nil, 0, "", []int{1, 2, 3}, false},
		"from zero":                       {[]int{0, 1, 2}, []int{0, 1, 2}, 1, "", []int{0, 1, 2}, false},
		"by tokens, overlap at the other": {byTokens, append([]int{0}, byTokens...), 8, "", byTokens, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", numbered(c.first, c.brk)), newBackend(t, "b", numbered(c.second, 0))
			e := newEntry(t, stream, a, b)
			e.handler.Service("s").MarkUnreachable("b")
			var header []string
			if c.last != "" {
				header = append(header, "Last-Event: "+c.last)
			}
			got := e.send(http.MethodPost, header...)
			var want strings.Builder
			for _, n := range c.want {
				fmt.Fprintf(&want, "id: %d\n\n", n)
			}
			assert.Equal(t, got.body, want.String())
			assert.Equal(t, got.err != nil, c.broken, "%v", got.err)
		})
	}
}

func TestEventReader(t *testing.T) {
	cases := map[string]struct {
		in     string
		events []string
		ids    []string
		whole  bool
	}{
		"empty":            {"", nil, nil, true},
		"two events":       {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"1", "2"}, true},
		"carriage returns": {"id:7\r\ndata: a\r\n\r\n", []string{"id:7\r\ndata: a\r\n\r\n"}, []string{"7"}, true},
		"partial event":    {"id: 1\n\nid: 2\ndata: b\n", []string{"id: 1\n\n"}, []string{"1"}, false},
		"partial line":     {"id: 1\n\nid", []string{"id: 1\n\n"}, []string{"1"}, false},
		"long line":        {"data: " + strings.Repeat("x", 9000) + "\n\n", []string{"data: " + strings.Repeat("x", 9000) + "\n\n"}, []string{""}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newEventReader(strings.NewReader(c.in), nil)
			for i, want := range c.events {
				got, eventID, err := r.next()
				assert.NilError(t, err)
				assert.Equal(t, string(got), want)
				assert.Equal(t, eventID, c.ids[i])
			}
			_, _, err := r.next()
			assert.Equal(t, err != errPartialEvent, c.whole, "%v", err)
		})
	}
}
