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
	callerCount    = 6
	callsPerCaller = 8
	ticketCount    = 3
	callerKeyCount = 3
	faultCount     = 12
	maxIssueTries  = 100
)

// key is the ticket or idempotency key of an action that several callers repeat.
type key struct {
	text   string
	ticket bool
}

// callResult is the outcome that the caller of one request received.
type callResult struct {
	request    string
	key        string
	idempotent bool
	outcome    outcome.Outcome
	action     outcome.Outcome
	problem    *problem.Problem
	// mismatch describes a complete answer that belongs to another request or payload.
	mismatch string
}

// history is one seeded run of concurrent callers under injected faults.
type history struct {
	seed  uint64
	world *world
	keys  []key

	mu      sync.Mutex // leaf lock
	results []callResult
}

// bodySink implements dispatch.Sink and collects the answer's body.
type bodySink struct{ body []byte }

func (s *bodySink) WriteFrames(batch []*msg.Frame) error {
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
	for i := range callerCount {
		wg.Go(func() { h.runCaller(ctx, newLockedRand(h.seed, uint64(i)+10)) })
	}
	var failure error
	wg.Go(func() { failure = h.injectFaults(ctx, newLockedRand(h.seed, 2)) })
	wg.Wait()
	if failure != nil {
		return failure
	}
	h.clearFaults()
	for _, k := range h.keys {
		h.request(ctx, newLockedRand(h.seed, 3), h.world.entries[0], k, time.Second, "payload", true)
	}
	return nil
}

func (h *history) makeKeys(ctx context.Context) error {
	for i := range ticketCount {
		t, p := h.world.entries[i%len(h.world.entries)].actions.IssueTicket(ctx, team, service)
		for tries := 0; p != nil && tries < maxIssueTries; tries++ {
			t, p = h.world.entries[i%len(h.world.entries)].actions.IssueTicket(ctx, team, service)
		}
		if p != nil {
			return p
		}
		h.keys = append(h.keys, key{text: t.Ticket, ticket: true})
	}
	for range callerKeyCount {
		k, err := uuid.NewV7()
		if err != nil {
			return err
		}
		h.keys = append(h.keys, key{text: k.String()})
	}
	return nil
}

// runCaller sends requests through random entries, cancels some and repeats shared keys.
func (h *history) runCaller(ctx context.Context, c *lockedRand) {
	for range callsPerCaller {
		var k key
		if c.percent(75) {
			k = h.keys[c.intN(len(h.keys))]
		}
		payload := "payload"
		if c.percent(5) {
			payload = "other payload"
		}
		requestCtx, cancel := context.WithCancel(ctx)
		if c.percent(15) {
			time.AfterFunc(c.upToMillis(30), cancel)
		}
		h.request(requestCtx, c, h.world.entries[c.intN(len(h.world.entries))], k, c.upToMillis(300), payload, c.percent(50))
		cancel()
		wait(ctx, c.upToMillis(10))
	}
}

// request sends one request the way the caller API does and records its result.
func (h *history) request(ctx context.Context, c *lockedRand, e *entry, k key, timeout time.Duration, payload string, idempotent bool) {
	r := callResult{request: string(id.NewRequest()), key: k.text, idempotent: idempotent && k.text == ""}
	call := &dispatch.Call{
		Request: id.Request(r.request), Team: team, Service: service, Idempotent: r.idempotent,
		Deadline: time.Now().Add(timeout), PayloadHash: uint64(len(payload)),
		Plain: &msg.HTTPRequest{Method: "POST", Path: "/", Body: []byte(payload), Header: []msg.Header{{Name: headerRequest, Value: r.request}}},
	}
	if k.text != "" {
		call.Plain.Header = append(call.Plain.Header, msg.Header{Name: headerKey, Value: k.text})
	}
	if p := bind(ctx, e, call, k); p != nil {
		r.outcome, r.action, r.problem = p.Outcome, p.ActionOutcome, p
		h.record(r)
		return
	}
	var sink bodySink
	result := e.dispatcher.Run(ctx, call, &sink)
	r.outcome, r.problem = result.Outcome, result.Problem
	if result.Problem != nil {
		r.action = result.Problem.ActionOutcome
	} else if want := answerTo(call.Plain); string(sink.body) != want {
		r.mismatch = fmt.Sprintf("got %q instead of %q", sink.body, want)
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

func (h *history) record(r callResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, r)
}

// injectFaults injects random faults into endpoints and the platform.
func (h *history) injectFaults(ctx context.Context, c *lockedRand) error {
	w := h.world
	for range faultCount {
		wait(ctx, c.upToMillis(40))
		e := w.endpoints[c.intN(len(w.endpoints))]
		switch c.intN(14) {
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
			w.store.LoseResponses(1 + c.intN(4))
			w.store.SetReadLag(c.intN(3))
		case 11:
			w.drain(e, c.percent(60))
		case 12, 13:
			// The delay exceeds the silence timeout, so dispatches outlive their connection.
			e.proxy.Set(faultproxy.Faults{Delay: 120 * time.Millisecond})
			wait(ctx, 80*time.Millisecond)
			e.proxy.Set(faultproxy.Faults{})
		}
		if c.percent(40) {
			h.clearFaults()
		}
	}
	return nil
}

func (h *history) clearFaults() {
	h.world.store.SetDown(false)
	h.world.store.SetReadLag(0)
	for _, e := range h.world.endpoints {
		e.proxy.Set(faultproxy.Faults{})
	}
}

// violations compares outcomes with counted executions. The world must be closed.
func (h *history) violations() []string {
	var out []string
	w := h.world.executions
	for k, n := range w.keys {
		if n > 1 {
			out = append(out, fmt.Sprintf("action %.20s ran %d times", k, n))
		}
	}
	for _, r := range h.results {
		runs := w.requests[r.request]
		name := fmt.Sprintf("request %s (key %.20s, idempotent %t, %v): ", r.request, r.key, r.idempotent, r.problem)
		if r.mismatch != "" {
			out = append(out, name+r.mismatch)
		}
		if runs > 1 && !r.idempotent {
			out = append(out, fmt.Sprintf("%sran %d times", name, runs))
		}
		if r.outcome == outcome.NotRun && runs > 0 {
			out = append(out, name+"was reported not-run but ran")
		}
		if r.outcome == outcome.Ran && r.key == "" && runs == 0 {
			out = append(out, name+"was reported ran but did not run")
		}
		if r.outcome == outcome.Ran && r.key != "" && w.keys[r.key] != 1 {
			out = append(out, fmt.Sprintf("%swas reported ran but its action ran %d times", name, w.keys[r.key]))
		}
		if r.action == outcome.NotRun && w.keys[r.key] > 0 {
			out = append(out, name+"had its action reported not-run but the action ran")
		}
	}
	return out
}

// TestAtMostOnceAndHonestOutcomes runs seeded histories and checks every reported
// outcome against the executions that the back ends counted.
func TestAtMostOnceAndHonestOutcomes(t *testing.T) {
	creds, err := newCredentials()
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
			if h.world, err = newWorld(h.seed, creds); err == nil {
				err = h.run(context.Background())
				h.world.close()
			}
			mu.Lock()
			defer mu.Unlock()
			assert.Check(t, err == nil, "seed %d: %v", h.seed, err)
			for _, v := range h.violations() {
				t.Errorf("seed %d: %s", h.seed, v)
			}
			for _, r := range h.results {
				outcomes[r.outcome]++
			}
		})
	}
	wg.Wait()
	t.Logf("%d histories from seed %d: %v", *cases, *seed, outcomes)
	for _, o := range []outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.Unknown} {
		assert.Check(t, outcomes[o] > 0, "no request had outcome %q", o)
	}
}
