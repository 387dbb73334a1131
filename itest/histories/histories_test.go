package histories

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/lab/faultproxy"
	"github.com/siskinford/siskinford/wire/msg"
)

var (
	cases    = flag.Int("histories.cases", 24, "number of histories")
	seed     = flag.Uint64("histories.seed", 1, "seed of the first history")
	parallel = flag.Int("histories.parallel", 4, "histories at the same time")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	callers        = 6
	callsPerCaller = 8
	tickets        = 3
	ownKeys        = 3
	faults         = 12
	maxIssueTries  = 100
)

// key is an action that callers try again and again.
type key struct {
	text   string
	ticket bool
}

// told is what one request learned.
type told struct {
	request    string
	key        string
	idempotent bool
	outcome    outcome.Outcome
	action     outcome.Outcome
	problem    *problem.Problem
	// wrong is set if a complete answer was not the one to this request.
	wrong string
}

// history is a run of callers and faults.
type history struct {
	seed  uint64
	world *world
	keys  []key

	mu   sync.Mutex // leaf lock
	told []told
}

// text collects an answer.
type text struct{ body []byte }

func (s *text) WriteFrames(batch []*msg.Frame) error {
	for _, f := range batch {
		s.body = append(s.body, f.Data...)
	}
	return nil
}

func (h *history) run(ctx context.Context) error {
	if err := h.makeKeys(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { h.caller(ctx, newChance(h.seed, uint64(i)+10)) })
	}
	var failure error
	wg.Go(func() { failure = h.faults(ctx, newChance(h.seed, 2)) })
	wg.Wait()
	if failure != nil {
		return failure
	}
	h.heal()
	for _, k := range h.keys {
		h.request(ctx, newChance(h.seed, 3), h.world.entries[0], k, time.Second, "payload", true)
	}
	return nil
}

func (h *history) makeKeys(ctx context.Context) error {
	for i := range tickets {
		t, p := h.world.entries[i%len(h.world.entries)].actions.IssueTicket(ctx, team, service)
		for tries := 0; p != nil && tries < maxIssueTries; tries++ {
			t, p = h.world.entries[i%len(h.world.entries)].actions.IssueTicket(ctx, team, service)
		}
		if p != nil {
			return p
		}
		h.keys = append(h.keys, key{text: t.Ticket, ticket: true})
	}
	for range ownKeys {
		k, err := uuid.NewV7()
		if err != nil {
			return err
		}
		h.keys = append(h.keys, key{text: k.String()})
	}
	return nil
}

// caller sends requests, leaves some early and tries others again elsewhere.
func (h *history) caller(ctx context.Context, c *chance) {
	for range callsPerCaller {
		var k key
		if c.percent(75) {
			k = h.keys[c.below(len(h.keys))]
		}
		payload := "payload"
		if c.percent(5) {
			payload = "other payload"
		}
		requestCtx, cancel := context.WithCancel(ctx)
		if c.percent(15) {
			time.AfterFunc(c.millis(30), cancel)
		}
		h.request(requestCtx, c, h.world.entries[c.below(len(h.world.entries))], k, c.millis(300), payload, c.percent(50))
		cancel()
		wait(ctx, c.millis(10))
	}
}

// request sends one request as the caller API does and records what it learned.
func (h *history) request(ctx context.Context, c *chance, e *entry, k key, timeout time.Duration, payload string, idempotent bool) {
	r := told{request: string(id.NewRequest()), key: k.text, idempotent: idempotent && k.text == ""}
	call := &dispatch.Call{
		Request: id.Request(r.request), Team: team, Service: service, Idempotent: r.idempotent,
		Deadline: time.Now().Add(timeout), PayloadHash: uint64(len(payload)),
		Plain: &msg.HTTPRequest{Method: "POST", Path: "/", Body: []byte(payload), Header: []msg.Header{{Name: headRequest, Value: r.request}}},
	}
	if k.text != "" {
		call.Plain.Header = append(call.Plain.Header, msg.Header{Name: headKey, Value: k.text})
	}
	if p := bind(ctx, e, call, k); p != nil {
		r.outcome, r.action, r.problem = p.Outcome, p.ActionOutcome, p
		h.record(r)
		return
	}
	var sink text
	result := e.dispatcher.Run(ctx, call, &sink)
	r.outcome, r.problem = result.Outcome, result.Problem
	if result.Problem != nil {
		r.action = result.Problem.ActionOutcome
	} else if want := answerTo(call.Plain); string(sink.body) != want {
		r.wrong = fmt.Sprintf("got %q instead of %q", sink.body, want)
	}
	h.record(r)
}

func bind(ctx context.Context, e *entry, call *dispatch.Call, k key) *problem.Problem {
	switch {
	case k.text == "":
		return nil
	case k.ticket:
		return e.actions.BindTicket(call, k.text)
	}
	return e.actions.BindKey(ctx, call, k.text)
}

func (h *history) record(r told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = append(h.told, r)
}

// faults strikes endpoints and the platform by chance.
func (h *history) faults(ctx context.Context, c *chance) error {
	w := h.world
	for range faults {
		wait(ctx, c.millis(40))
		e := w.endpoints[c.below(len(w.endpoints))]
		switch c.below(14) {
		case 0, 1:
			e.proxy.BlackholeExisting()
		case 2:
			e.proxy.Set(faultproxy.Faults{CutToClient: true})
		case 3:
			e.proxy.Set(faultproxy.Faults{CutToTarget: true})
		case 4:
			e.proxy.Set(faultproxy.Faults{Loss: 0.1, Duplicate: 0.2, Reorder: 0.3})
		case 5:
			e.proxy.Set(faultproxy.Faults{Delay: 100 * time.Millisecond})
		case 6:
			e.proxy.Set(faultproxy.Faults{Freeze: true})
		case 7, 8:
			if err := w.restart(e); err != nil {
				return err
			}
		case 9:
			w.store.SetDown(c.percent(50))
		case 10:
			w.store.LoseResponses(1 + c.below(4))
			w.store.SetReadLag(c.below(3))
		case 11:
			w.drain(e, c.percent(60))
		case 12, 13:
			// Dispatches arrive after their connection was given up.
			e.proxy.Set(faultproxy.Faults{Delay: 120 * time.Millisecond})
			wait(ctx, 80*time.Millisecond)
			e.proxy.Set(faultproxy.Faults{})
		}
		if c.percent(40) {
			h.heal()
		}
	}
	return nil
}

// heal ends all faults.
func (h *history) heal() {
	h.world.store.SetDown(false)
	h.world.store.SetReadLag(0)
	for _, e := range h.world.endpoints {
		e.proxy.Set(faultproxy.Faults{})
	}
}

// violations returns what was said and is not so. All back ends have ended.
func (h *history) violations() []string {
	var out []string
	w := h.world.witness
	for k, n := range w.keys {
		if n > 1 {
			out = append(out, fmt.Sprintf("action %.20s ran %d times", k, n))
		}
	}
	for _, r := range h.told {
		runs := w.requests[r.request]
		name := fmt.Sprintf("request %s (key %.20s, idempotent %t, %v): ", r.request, r.key, r.idempotent, r.problem)
		if r.wrong != "" {
			out = append(out, name+r.wrong)
		}
		if runs > 1 && !r.idempotent {
			out = append(out, fmt.Sprintf("%sran %d times", name, runs))
		}
		if r.outcome == outcome.NotRun && runs > 0 {
			out = append(out, name+"was told not-run and ran")
		}
		if r.outcome == outcome.Ran && r.key == "" && runs == 0 {
			out = append(out, name+"was told ran and did not run")
		}
		if r.outcome == outcome.Ran && r.key != "" && w.keys[r.key] != 1 {
			out = append(out, fmt.Sprintf("%swas told ran and its action ran %d times", name, w.keys[r.key]))
		}
		if r.action == outcome.NotRun && w.keys[r.key] > 0 {
			out = append(out, name+"was told that the action never runs and it ran")
		}
	}
	return out
}

// TestAtMostOnceAndHonestOutcomes runs seeded histories. The witness in the back
// ends decides whether what callers were told is true.
func TestAtMostOnceAndHonestOutcomes(t *testing.T) {
	rings, err := newKeyRings()
	assert.NilError(t, err)
	var mu sync.Mutex
	outcomes := map[outcome.Outcome]int{}
	slots := make(chan struct{}, *parallel)
	var wg sync.WaitGroup
	for i := range *cases {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			h := &history{seed: *seed + uint64(i)}
			var err error
			if h.world, err = newWorld(h.seed, rings); err == nil {
				err = h.run(context.Background())
				h.world.close()
			}
			mu.Lock()
			defer mu.Unlock()
			assert.Check(t, err == nil, "seed %d: %v", h.seed, err)
			for _, v := range h.violations() {
				t.Errorf("seed %d: %s", h.seed, v)
			}
			for _, r := range h.told {
				outcomes[r.outcome]++
			}
		})
	}
	wg.Wait()
	t.Logf("%d histories from seed %d: %v", *cases, *seed, outcomes)
	for _, o := range []outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.Unknown} {
		assert.Check(t, outcomes[o] > 0, "no request learned %q", o)
	}
}
