package itest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/lab/engine"
	"github.com/siskinford/siskinford/lab/faultproxy"
	"github.com/siskinford/siskinford/lab/procs"
)

// liveStream is a streamed chat in progress.
type liveStream struct {
	mark string
	// begun is closed at the first byte of the answer, or at the end.
	begun chan struct{}
	// done receives the whole answer.
	done chan answer
}

const streamTokens = 150

// stream starts a streamed chat and retries it while it is refused as not run.
func (c *client) stream(ctx context.Context, e *procs.Entry, mark string) *liveStream {
	s := &liveStream{mark: mark, begun: make(chan struct{}), done: make(chan answer, 1)}
	begun := sync.OnceFunc(func() { close(s.begun) })
	go func() {
		defer begun()
		a := c.receive(ctx, e, mark, begun)
		for a.Status == http.StatusServiceUnavailable && a.Outcome == outcome.NotRun && ctx.Err() == nil {
			<-time.After(pollInterval) // load reports are late on a busy machine
			a = c.receive(ctx, e, mark, begun)
		}
		s.done <- a
	}()
	return s
}

// receive sends a streamed chat and calls begun after each read of a 200 answer.
func (c *client) receive(ctx context.Context, e *procs.Entry, mark string, begun func()) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/v1/chat/completions",
		strings.NewReader(chatBody(mark, streamTokens, true)))
	if err != nil {
		return answer{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+procs.TeamKey)
	response, err := c.http.Do(request)
	if err != nil {
		return answer{Err: err}
	}
	defer response.Body.Close()
	a := answer{Status: response.StatusCode}
	var body bytes.Buffer
	buffer := make([]byte, 4<<10)
	for err == nil {
		var n int
		n, err = response.Body.Read(buffer)
		body.Write(buffer[:n])
		if a.Status == http.StatusOK {
			begun()
		}
	}
	if err != io.EOF {
		a.Err = err
	}
	a.Body = body.Bytes()
	a.Outcome = outcome.Outcome(response.Header.Get(outcome.Header) + response.Trailer.Get(outcome.Header))
	return a
}

// startStreams starts n streams at the entries in turn and waits until all have begun.
func startStreams(ctx context.Context, c *procs.Cluster, name string, n int) []*liveStream {
	caller := newClient()
	var out []*liveStream
	for i := range n {
		out = append(out, caller.stream(ctx, c.Entries[i%len(c.Entries)], fmt.Sprintf("%s-%d", name, i)))
	}
	for _, s := range out {
		<-s.begun
	}
	return out
}

// assertComplete checks that a stream is complete and answers its own request.
func (s *liveStream) assertComplete(t *testing.T) {
	t.Helper()
	a := <-s.done
	text, complete, err := streamedText(a.Body)
	assert.Check(t, a.Err == nil && err == nil && complete, "%s: status %d, %v, %v: %s", s.mark, a.Status, a.Err, err, tail(a.Body))
	assert.Check(t, text == expectedText(s.mark, streamTokens), "%s got another answer", s.mark)
	assert.Check(t, a.Outcome == outcome.Ran, "%s: outcome %q", s.mark, a.Outcome)
}

// assertCompleteOrBroken checks that a stream is complete, or a prefix that ends with
// a broken connection, and reports whether it broke.
func (s *liveStream) assertCompleteOrBroken(t *testing.T) (broken bool) {
	t.Helper()
	a := <-s.done
	text, complete, _ := streamedText(a.Body)
	want := expectedText(s.mark, streamTokens)
	if complete && a.Err == nil {
		assert.Check(t, text == want, "%s got another answer", s.mark)
		return false
	}
	assert.Check(t, a.Err != nil, "%s ended cleanly and is incomplete: %s", s.mark, tail(a.Body))
	assert.Check(t, !complete, "%s has a last event and a broken connection", s.mark)
	assert.Check(t, strings.HasPrefix(want, text), "%s got another answer", s.mark)
	return true
}

func tail(body []byte) []byte { return body[max(0, len(body)-300):] }

// attemptsStarted returns the number of attempts that all engines started.
func attemptsStarted(ctx context.Context, t *testing.T, c *procs.Cluster) int {
	t.Helper()
	total := 0
	for _, e := range c.Endpoints {
		if e.Config.Service == procs.ModelService {
			total += attemptsStartedAt(ctx, t, e.BackendURL)
		}
	}
	return total
}

// attemptsStartedAt returns the number of attempts that the engine at a URL started.
func attemptsStartedAt(ctx context.Context, t *testing.T, url string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/lab/runs", nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	var runs map[string]engine.AttemptStats
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&runs))
	total := 0
	for _, run := range runs {
		total += run.Started
	}
	return total
}

// startStreamsAndFindBusiest starts n streams and returns the endpoint that got most.
// Routing prefers recently faster endpoints, so a given endpoint may receive none.
func startStreamsAndFindBusiest(ctx context.Context, t *testing.T, c *procs.Cluster, name string, n int) ([]*liveStream, *procs.Endpoint) {
	t.Helper()
	before := make(map[*procs.Endpoint]int)
	for _, e := range c.Endpoints {
		if e.Config.Service == procs.ModelService {
			before[e] = attemptsStartedAt(ctx, t, e.BackendURL)
		}
	}
	running := startStreams(ctx, c, name, n)
	var best *procs.Endpoint
	most := 0
	for e, was := range before {
		if got := attemptsStartedAt(ctx, t, e.BackendURL) - was; got > most {
			best, most = e, got
		}
	}
	assert.Assert(t, best != nil, "no engine got a stream")
	return running, best
}

// TestStreamsAreWholeOrVisiblyBroken injects faults while streams run. After a lost
// connection the entry reattaches to the attempt and the stream completes; a killed
// engine or entry breaks its streams visibly.
func TestStreamsAreWholeOrVisiblyBroken(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, ModelEndpoints: 2, PlainEndpoints: 1, EngineArgs: []string{"--step-time=10ms"}})
	set := func(f faultproxy.Faults) {
		for _, e := range c.Endpoints {
			e.Proxy.Set(f)
		}
	}
	for _, tc := range []struct {
		name   string
		inject func()
	}{
		{"connections go silent", func() {
			for _, e := range c.Endpoints {
				e.Proxy.BlackholeExisting()
			}
		}},
		{"packets are lost, doubled and reordered", func() { set(faultproxy.Faults{Loss: 0.05, Duplicate: 0.2, Reorder: 0.2}) }},
		{"answers are cut off, then healed", func() {
			set(faultproxy.Faults{CutToClient: true})
			time.AfterFunc(2*time.Second, func() { set(faultproxy.Faults{}) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := attemptsStarted(ctx, t, c)
			running := startStreams(ctx, c, strings.ReplaceAll(tc.name, " ", "-"), 16)
			tc.inject()
			for _, s := range running {
				s.assertComplete(t)
			}
			set(faultproxy.Faults{})
			assert.Equal(t, attemptsStarted(ctx, t, c)-before, len(running), "each request ran once")
		})
	}
	t.Run("engine dies", func(t *testing.T) {
		running, victim := startStreamsAndFindBusiest(ctx, t, c, "engine", 16)
		victim.Backend.Kill()
		broken := 0
		for _, s := range running {
			if s.assertCompleteOrBroken(t) {
				broken++
			}
		}
		assert.Assert(t, broken > 0, "no stream ran at the engine that died")
	})
	t.Run("entry dies", func(t *testing.T) {
		running := startStreams(ctx, c, "entry", 8)
		c.Entries[0].Process.Kill()
		for i, s := range running {
			if i%2 == 0 {
				s.assertCompleteOrBroken(t)
			} else {
				s.assertComplete(t)
			}
		}
	})
}
