package engine_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	client "github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/prefixhash"
	"github.com/siskinford/siskinford/lab/engine"
)

const testTimeout = 60 * time.Second

// fixture is an engine served over HTTP and its client.
type fixture struct {
	engine *engine.Engine
	client *client.Client
	ctx    context.Context
}

func start(t *testing.T, c engine.Config) fixture {
	t.Helper()
	return serve(t, engine.New(c))
}

func serve(t testing.TB, e *engine.Engine) fixture {
	t.Helper()
	e.Start()
	server := httptest.NewServer(e.Handler())
	h, err := client.NewClient(client.Config{URL: server.URL})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		e.Close()
		h.Close()
		server.Close()
	})
	return fixture{engine: e, client: h, ctx: ctx}
}

// result is the outcome of a completion.
type result struct {
	text  string
	usage client.Usage
	err   error
}

func (s fixture) run(r client.Request) result {
	var text strings.Builder
	usage, err := s.client.Run(s.ctx, r, func(token client.Token) error {
		text.WriteString(token.Text)
		return nil
	})
	return result{text: text.String(), usage: usage, err: err}
}

func (s fixture) background(r client.Request) <-chan result {
	done := make(chan result, 1)
	go func() { done <- s.run(r) }()
	return done
}

// await polls a condition until it holds or the test times out.
func (s fixture) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-s.ctx.Done():
			t.Fatalf("timed out waiting for %s", what)
		case <-ticker.C:
		}
	}
}

func (s fixture) awaitTokens(t *testing.T, attempt id.Attempt, n int) {
	t.Helper()
	s.await(t, "progress", func() bool { return s.engine.Stats(attempt).Tokens >= n })
}

func TestRunReturnsTheWholeAnswer(t *testing.T) {
	s := start(t, engine.Config{BlockWords: 2})
	prompt := `fit the mark="q\1 chest for the school`
	for i, cached := range []int{0, 6} {
		attempt := id.NewAttempt()
		got := s.run(client.Request{Attempt: attempt, Prompt: prompt, MaxTokens: 40})
		assert.NilError(t, got.err)
		assert.Equal(t, got.text, engine.Answer(prompt, 40))
		assert.Assert(t, strings.HasPrefix(got.text, `mark="q\1 `))
		assert.DeepEqual(t, got.usage, client.Usage{
			PromptTokens: 7, CachedTokens: cached, AnswerTokens: 40, FinishReason: engine.FinishLength,
		})
		run := s.engine.Stats(attempt)
		assert.Equal(t, run, engine.AttemptStats{Accepted: 1, Started: 1, Finished: 1, Tokens: 40}, "call %d", i)
	}
	got := s.run(client.Request{Attempt: "att_stop", Prompt: "mark=a tokens=3", MaxTokens: 40})
	assert.NilError(t, got.err)
	assert.Equal(t, got.usage.AnswerTokens, 3)
	assert.Equal(t, got.usage.FinishReason, engine.FinishStop)
}

func TestRunFaults(t *testing.T) {
	tests := []struct {
		name       string
		config     engine.Config
		faults     engine.Faults
		epochs     []uint64
		model      string
		notStarted bool
		incomplete bool
		runs       int
	}{
		{name: "none", runs: 1},
		{name: "refused", faults: engine.Faults{FailNext: 1}, notStarted: true},
		{name: "cut before the first token", faults: engine.Faults{CutNext: 1}, runs: 1},
		{name: "cut in the stream", faults: engine.Faults{CutNext: 1, CutAfter: 3}, incomplete: true, runs: 1},
		{name: "cut after the last token", faults: engine.Faults{CutNext: 1, CutAfter: 8}, incomplete: true, runs: 1},
		{name: "old epoch refused", config: engine.Config{Fencing: true}, epochs: []uint64{5, 4}, notStarted: true},
		{name: "old epoch ignored", epochs: []uint64{5, 4}, runs: 1},
		{name: "unknown model", config: engine.Config{Model: "asistente"}, model: "other", notStarted: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, test.config)
			s.engine.SetFaults(test.faults)
			r := client.Request{Attempt: "att_1", Model: test.model, Prompt: "mark=m", MaxTokens: 8}
			if len(test.epochs) > 0 {
				assert.NilError(t, s.client.Order(s.ctx, client.Order{Kind: client.OrderRole, Epoch: test.epochs[0]}))
				r.Epoch = test.epochs[1]
			}
			got := s.run(r)
			var notStarted *client.NotStartedError
			assert.Equal(t, errors.As(got.err, &notStarted), test.notStarted, "%v", got.err)
			assert.Equal(t, errors.Is(got.err, client.ErrIncomplete), test.incomplete, "%v", got.err)
			assert.Equal(t, got.err == nil, test.runs == 1 && test.faults.CutNext == 0, "%v", got.err)
			assert.Equal(t, s.engine.Stats("att_1").Accepted, test.runs)
		})
	}
}

func TestRunNotStartedOnlyWithoutConnection(t *testing.T) {
	server := httptest.NewServer(engine.New(engine.Config{}).Handler())
	h, err := client.NewClient(client.Config{URL: server.URL})
	assert.NilError(t, err)
	server.Close()
	_, err = h.Run(context.Background(), client.Request{Attempt: "att_1"}, func(client.Token) error { return nil })
	var notStarted *client.NotStartedError
	assert.Assert(t, errors.As(err, &notStarted), "%v", err)
}

func TestConnectionsAreReused(t *testing.T) {
	var opened atomic.Int64
	e := engine.New(engine.Config{Fencing: true})
	e.Start()
	defer e.Close()
	server := httptest.NewUnstartedServer(e.Handler())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	h, err := client.NewClient(client.Config{URL: server.URL})
	assert.NilError(t, err)
	defer h.Close()
	s := fixture{engine: e, client: h, ctx: t.Context()}
	for i := range 20 {
		assert.NilError(t, s.run(client.Request{Attempt: id.NewAttempt(), Prompt: "x", MaxTokens: 100}).err)
		_, err := h.Load(s.ctx)
		assert.NilError(t, err)
		assert.NilError(t, h.Order(s.ctx, client.Order{Kind: client.OrderRole, Epoch: uint64(100 + i)}))
		assert.Assert(t, h.Order(s.ctx, client.Order{Kind: client.OrderRole, Epoch: 1}) != nil)
	}
	assert.Equal(t, opened.Load(), int64(1))
}

func TestClosedEngineCutsStreams(t *testing.T) {
	s := start(t, engine.Config{StepTime: time.Millisecond, Slots: 1})
	for i, attempt := range []id.Attempt{"att_same", "att_same", "att_paused"} {
		done := s.background(client.Request{Attempt: attempt, Prompt: "x", MaxTokens: 1 << 16})
		t.Cleanup(func() { assert.Assert(t, (<-done).err != nil) })
		s.awaitTokens(t, "att_same", 1)
		s.await(t, "the queue", func() bool { return s.engine.Load().Waiting == i })
	}
	assert.NilError(t, s.client.Pause(s.ctx, "att_paused"))
	s.engine.Close()
	got := s.run(client.Request{Attempt: "att_late", Prompt: "x"})
	var notStarted *client.NotStartedError
	assert.Assert(t, errors.As(got.err, &notStarted), "%v", got.err)
}

func TestPauseResumeCancel(t *testing.T) {
	s := start(t, engine.Config{StepTime: time.Millisecond, Slots: 1})
	const tokens = 50
	long := s.background(client.Request{Attempt: "att_long", Prompt: "mark=long", MaxTokens: tokens})
	s.awaitTokens(t, "att_long", 3)
	assert.NilError(t, s.client.Pause(s.ctx, "att_long"))
	paused := s.engine.Stats("att_long").Tokens
	assert.Assert(t, paused < tokens)

	short := s.run(client.Request{Attempt: "att_short", Prompt: "mark=short", MaxTokens: 5})
	assert.NilError(t, short.err)
	assert.Equal(t, s.engine.Stats("att_long").Tokens, paused, "a paused attempt made progress")

	assert.NilError(t, s.client.Resume(s.ctx, "att_long"))
	got := <-long
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, engine.Answer("mark=long", tokens))
	assert.Equal(t, s.engine.Stats("att_long"), engine.AttemptStats{Accepted: 1, Started: 1, Finished: 1, Tokens: tokens, Pauses: 1})

	endless := s.background(client.Request{Attempt: "att_endless", Prompt: "x", MaxTokens: 1 << 16})
	s.awaitTokens(t, "att_endless", 1)
	waiting := s.background(client.Request{Attempt: "att_waiting", Prompt: "x"})
	s.await(t, "the queue", func() bool { return s.engine.Load().Waiting == 1 })
	assert.NilError(t, s.client.Cancel(s.ctx, "att_waiting"))
	var notStarted *client.NotStartedError
	assert.Assert(t, errors.As((<-waiting).err, &notStarted))
	assert.NilError(t, s.client.Cancel(s.ctx, "att_endless"))
	assert.Assert(t, errors.Is((<-endless).err, client.ErrCancelled))

	var status *client.StatusError
	assert.Assert(t, errors.As(s.client.Resume(s.ctx, "att_endless"), &status))
	assert.Equal(t, status.Status, 404)
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	s := start(t, engine.Config{Slots: 1, RequirePermits: true})
	var done []<-chan result
	for _, r := range []client.Request{{Attempt: "att_low"}, {Attempt: "att_high", Priority: 1}} {
		r.Prompt, r.MaxTokens = "x", 2
		done = append(done, s.background(r))
		s.await(t, "the queue", func() bool { return s.engine.Load().Waiting == len(done) })
	}
	assert.NilError(t, s.client.Order(s.ctx, client.Order{Kind: client.OrderSteps, From: 1, Through: 1}))
	s.await(t, "one step", func() bool { return s.engine.State().Step == 2 })
	assert.Equal(t, s.engine.Stats("att_high").Tokens, 1)
	assert.Equal(t, s.engine.Stats("att_low").Started, 0)
	assert.NilError(t, s.client.Order(s.ctx, client.Order{Kind: client.OrderSteps, From: 2, Through: 10}))
	for _, d := range done {
		assert.NilError(t, (<-d).err)
	}
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	s := start(t, engine.Config{StepTime: time.Millisecond})
	stop := errors.New("stop")
	_, err := s.client.Run(s.ctx, client.Request{Attempt: "att_1", Prompt: "x", MaxTokens: 1 << 16}, func(client.Token) error { return stop })
	assert.Assert(t, errors.Is(err, stop))
	s.await(t, "the cancel", func() bool { return s.engine.Load().Running == 0 })
	assert.Equal(t, s.engine.Stats("att_1").Finished, 0)
}

func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	const blocks = 200
	prompt := strings.Repeat("word ", blocks)
	seen := func(seed uint64) []client.CacheEvent {
		s := start(t, engine.Config{BlockWords: 1, CacheBlocks: 150, EventLoss: 0.2, Seed: seed})
		assert.NilError(t, s.run(client.Request{Attempt: "att_1", Prompt: prompt, MaxTokens: 1}).err)
		s.engine.ClearCache()
		events, err := s.client.CacheEvents(s.ctx, 0)
		assert.NilError(t, err)
		after, err := s.client.CacheEvents(s.ctx, events[3].Seq)
		assert.NilError(t, err)
		assert.DeepEqual(t, after, events[4:])
		return events
	}
	first := seen(1)
	assert.DeepEqual(t, first, seen(1))
	assert.Assert(t, len(first) < blocks+50+1, "no event was lost")
	assert.Equal(t, first[0].Block, prefixhash.Blocks(prompt, 1)[first[0].Seq-1])

	late := start(t, engine.Config{BlockWords: 1, EventDelay: time.Hour})
	assert.NilError(t, late.run(client.Request{Attempt: "att_1", Prompt: prompt, MaxTokens: 1}).err)
	events, err := late.client.CacheEvents(late.ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 0)
}

func TestLoadReportLags(t *testing.T) {
	for _, test := range []struct {
		lag     time.Duration
		waiting int
	}{{0, 1}, {time.Hour, 0}} {
		s := start(t, engine.Config{LoadLag: test.lag})
		s.engine.SetFaults(engine.Faults{Stall: true})
		done := s.background(client.Request{Attempt: "att_1", Prompt: "x"})
		s.await(t, "admission", func() bool { return s.engine.Stats("att_1").Accepted == 1 })
		load, err := s.client.Load(s.ctx)
		assert.NilError(t, err)
		assert.Equal(t, load.Waiting, test.waiting)
		assert.Assert(t, load.Age >= test.lag)
		s.engine.SetFaults(engine.Faults{})
		assert.NilError(t, (<-done).err)
	}
}

func TestOrders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		s := start(t, engine.Config{Fencing: fencing})
		for _, o := range []client.Order{
			{Kind: client.OrderLoad, Epoch: 7, Model: "asistente", Version: "v2"},
			{Kind: client.OrderRole, Epoch: 7, Role: "decode"},
			{Kind: client.OrderMap, Epoch: 8, MapVersion: 3},
		} {
			assert.NilError(t, s.client.Order(s.ctx, o))
		}
		old := s.client.Order(s.ctx, client.Order{Kind: client.OrderMap, Epoch: 7, MapVersion: 2})
		assert.Equal(t, old != nil, fencing)
		want := client.State{Epoch: 8, Models: map[string]string{"asistente": "v2"}, Role: "decode", MapVersion: 2, Step: 1}
		if fencing {
			want.MapVersion = 3
		}
		got, err := s.client.State(s.ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}
