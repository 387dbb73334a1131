package dispatch

import (
	"context"
	"crypto/tls"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func asAttempt(s string) id.Attempt { return id.Attempt(s) }

// responder handles one order of a scriptedAgent. order counts from zero.
type responder func(s *link.Session, o *msg.Order, order int)

type scriptedAgent struct {
	respond responder

	mu     sync.Mutex // leaf lock
	orders []*msg.Order
}

func (a *scriptedAgent) Order(s *link.Session, o *msg.Order) {
	a.mu.Lock()
	n := len(a.orders)
	a.orders = append(a.orders, o)
	a.mu.Unlock()
	a.respond(s, o, n)
}

func (a *scriptedAgent) Closed(*link.Session) {}

func (a *scriptedAgent) Incarnation() id.Incarnation { return "inc" }

func (a *scriptedAgent) dispatches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, o := range a.orders {
		if o.Dispatch != nil {
			n++
		}
	}
	return n
}

// orderedPicker picks the endpoints in the order of the slice.
type orderedPicker struct{ endpoints []id.Endpoint }

func (p orderedPicker) Pick(r route.Request) (route.Choice, error) {
	for _, e := range p.endpoints {
		excluded := false
		for _, x := range r.Exclude {
			excluded = excluded || x == e
		}
		if !excluded {
			return route.Choice{Endpoint: e, Incarnation: "inc"}, nil
		}
	}
	return route.Choice{}, &route.NoEndpointError{}
}

type addressMap map[id.Endpoint]string

func (a addressMap) Address(e id.Endpoint) (string, bool) {
	address, ok := a[e]
	return address, ok
}

type discardTable struct{}

func (discardTable) RecordStart(route.Choice, time.Time)            {}
func (discardTable) RecordFinish(route.Choice, time.Time)           {}
func (discardTable) Observe(route.Choice, time.Duration, time.Time) {}

func (discardTable) RecordFailure(route.Choice, time.Time) {}

type textSink struct{ body []byte }

func (s *textSink) WriteFrames(batch []*msg.Frame) error {
	for _, f := range batch {
		s.body = append(s.body, f.Data...)
	}
	return nil
}

func newKeyRing(t *testing.T, a *keys.Authority, role keys.Role) *keys.Credentials {
	t.Helper()
	material, err := a.Issue(role, "host", time.Hour)
	assert.NilError(t, err)
	r, err := keys.New(material)
	assert.NilError(t, err)
	return r
}

// newFixture returns a dispatcher with one agent for each script, named e0, e1 and so on.
func newFixture(t *testing.T, scripts ...responder) (*Dispatcher, []*scriptedAgent) {
	t.Helper()
	authority, err := keys.NewAuthority(time.Hour)
	assert.NilError(t, err)
	agentKeys, entryKeys := newKeyRing(t, authority, keys.RoleAgent), newKeyRing(t, authority, keys.RoleEntry)
	directory := addressMap{"nowhere": "127.0.0.1:1"}
	var picker orderedPicker
	var agents []*scriptedAgent
	for i, script := range scripts {
		agent := &scriptedAgent{respond: script}
		server, err := link.Listen("127.0.0.1:0", agentKeys.ServerConfig(keys.RoleEntry), link.DefaultConfig(), agent)
		assert.NilError(t, err)
		t.Cleanup(server.Close)
		name := id.Endpoint([]string{"e0", "e1", "e2"}[i])
		directory[name] = server.Address()
		picker.endpoints = append(picker.endpoints, name)
		agents = append(agents, agent)
	}
	linkConfig := link.DefaultConfig()
	linkConfig.DialTimeout = 10 * time.Second
	pool := link.NewPool(linkConfig, func() *tls.Config { return entryKeys.ClientConfig(keys.RoleAgent) })
	t.Cleanup(pool.Close)
	c := DefaultConfig()
	c.RecoveryTimeout = 300 * time.Millisecond
	c.RecoveryInterval = 10 * time.Millisecond
	return New(c, Deps{
		Picker: picker, Table: discardTable{}, Budget: retry.NewBudget(retry.Config{}), Directory: directory,
		Pool: pool, Recorder: timeline.Discard,
	}), agents
}

func refuse(code msg.Code) responder {
	return func(s *link.Session, o *msg.Order, _ int) {
		if o.Dispatch != nil {
			s.Reply(&msg.Reply{ID: o.ID, Frame: &msg.Frame{Attempt: o.Dispatch.Attempt, Refused: &msg.Refusal{Code: code}}})
		}
	}
}

// failResponse ends the response with a back-end error.
func failResponse(s *link.Session, o *msg.Order, _ int) {
	if o.Dispatch != nil {
		s.Reply(&msg.Reply{ID: o.ID, Frame: &msg.Frame{
			Attempt: o.Dispatch.Attempt, End: &msg.End{Outcome: outcome.Unknown, Error: "back end broke"},
		}})
	}
}

func replyFrames(s *link.Session, id uint64, attempt id.Attempt, from uint32) {
	for _, f := range []*msg.Frame{dataFrame(string(attempt), 0, "x"), dataFrame(string(attempt), 1, "y"), endFrame(string(attempt), 2, "xy")} {
		if f.Seq >= from {
			s.Reply(&msg.Reply{ID: id, Frame: f})
		}
	}
}

func newCall(idempotent bool) *Call {
	return &Call{Request: "req", Team: "puno", Service: "s", Idempotent: idempotent, Deadline: time.Now().Add(20 * time.Second), Plain: &msg.HTTPRequest{}}
}

func newActionCall() *Call {
	c := newCall(false)
	c.Action = "act"
	c.Binding = &Binding{Endpoint: "e0", Incarnation: "inc"}
	return c
}

// TestOutcomeAfterSeveralTries checks that a refused last attempt does not make the
// outcome not-run if an earlier attempt may have run.
func TestOutcomeAfterSeveralTries(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		scripts    []responder
		tries      int
		want       outcome.Outcome
	}{
		{"every try refused", true, []responder{refuse(msg.CodeQueueFull), refuse(msg.CodeDraining)}, 2, outcome.NotRun},
		{"broken, then refused", true, []responder{failResponse, refuse(msg.CodeDraining)}, 2, outcome.Unknown},
		{"broken, then no other endpoint", true, []responder{failResponse}, 1, outcome.Unknown},
		{"refused, then broken", true, []responder{refuse(msg.CodeDraining), failResponse}, 2, outcome.Unknown},
		{"broken and not idempotent", false, []responder{failResponse, refuse(msg.CodeDraining)}, 1, outcome.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d, _ := newFixture(t, tc.scripts...)
			r := d.Run(t.Context(), newCall(tc.idempotent), &textSink{})
			assert.Equal(t, r.Outcome, tc.want, "%v", r.Problem)
			assert.Equal(t, r.Problem.Outcome, tc.want)
			assert.Equal(t, r.Attempts, tc.tries)
		})
	}
}

// TestOutcomeOfRefusal checks the outcome of the request and of its action for each refusal code.
func TestOutcomeOfRefusal(t *testing.T) {
	for _, tc := range []struct {
		code              msg.Code
		request           outcome.Outcome
		actionThenRequest outcome.Outcome
		action            outcome.Outcome
	}{
		{msg.CodeIncarnation, outcome.NotRun, outcome.Unknown, outcome.Unknown},
		{msg.CodeDraining, outcome.NotRun, outcome.NotRun, outcome.NotRun},
		{msg.CodeQueueFull, outcome.NotRun, outcome.NotRun, outcome.NotRun},
		{msg.CodeDeadline, outcome.NotRun, outcome.NotRun, outcome.NotRun},
		{msg.CodeWithdrawn, outcome.NotRun, outcome.NotRun, outcome.NotRun},
		{msg.CodeBackend, outcome.NotRun, outcome.NotRun, outcome.NotRun},
		{msg.CodePayload, outcome.NotRun, outcome.NotRun, outcome.Unknown},
		{msg.CodeTicket, outcome.NotRun, outcome.NotRun, outcome.Unknown},
		{msg.CodeTicketExpired, outcome.Unknown, outcome.Unknown, outcome.Unknown},
		{msg.CodeUnknownAttempt, outcome.NotRun, outcome.NotRun, outcome.Unknown},
		{msg.CodeLedgerFull, outcome.NotRun, outcome.NotRun, outcome.Unknown},
		{msg.CodeBadRequest, outcome.NotRun, outcome.NotRun, outcome.Unknown},
	} {
		t.Run(string(tc.code), func(t *testing.T) {
			d, agents := newFixture(t, refuse(tc.code))
			assert.Equal(t, d.Run(t.Context(), newCall(false), &textSink{}).Outcome, tc.request)
			r := d.Run(t.Context(), newActionCall(), &textSink{})
			assert.Equal(t, r.Outcome, tc.actionThenRequest)
			assert.Equal(t, r.Problem.ActionOutcome, tc.action)
			assert.Equal(t, agents[0].dispatches(), 2, "nothing is dispatched again")
		})
	}
}

// TestRefusalOfAnotherAttempt checks that refusals of other attempts are ignored.
func TestRefusalOfAnotherAttempt(t *testing.T) {
	d, _ := newFixture(t, func(s *link.Session, o *msg.Order, _ int) {
		s.Reply(&msg.Reply{ID: o.ID, Frame: &msg.Frame{Attempt: "other", Refused: &msg.Refusal{Code: msg.CodeDraining}}})
		replyFrames(s, o.ID, o.Dispatch.Attempt, 0)
	})
	var sink textSink
	r := d.Run(t.Context(), newCall(false), &sink)
	assert.Equal(t, r.Outcome, outcome.Ran, "%v", r.Problem)
	assert.Equal(t, string(sink.body), "xy")
}

// TestMissingFrameIsRequested checks that a missing frame is requested by an attach
// order, without a second dispatch.
func TestMissingFrameIsRequested(t *testing.T) {
	d, agents := newFixture(t, func(s *link.Session, o *msg.Order, _ int) {
		if o.Attach != nil {
			replyFrames(s, o.ID, o.Attach.Attempt, o.Attach.From)
			return
		}
		s.Reply(&msg.Reply{ID: o.ID, Frame: dataFrame(string(o.Dispatch.Attempt), 0, "x")})
		s.Reply(&msg.Reply{ID: o.ID, Frame: endFrame(string(o.Dispatch.Attempt), 2, "xy")})
	})
	var sink textSink
	r := d.Run(t.Context(), newCall(false), &sink)
	assert.Equal(t, r.Outcome, outcome.Ran, "%v", r.Problem)
	assert.Equal(t, string(sink.body), "xy")
	assert.Equal(t, agents[0].dispatches(), 1)
	assert.Equal(t, agents[0].orders[1].Attach.From, uint32(1))
}

// TestCorruptResponseHasUnknownOutcome checks that a checksum mismatch makes the outcome unknown.
func TestCorruptResponseHasUnknownOutcome(t *testing.T) {
	d, _ := newFixture(t, func(s *link.Session, o *msg.Order, _ int) {
		s.Reply(&msg.Reply{ID: o.ID, Frame: dataFrame(string(o.Dispatch.Attempt), 0, "q")})
		s.Reply(&msg.Reply{ID: o.ID, Frame: endFrame(string(o.Dispatch.Attempt), 1, "x")})
	})
	r := d.Run(t.Context(), newCall(true), &textSink{})
	assert.Equal(t, r.Problem.Code, problem.AnswerIncomplete)
	assert.Equal(t, r.Outcome, outcome.Unknown)
}

// TestDialFailureIsNotRun checks that the outcome is not-run if the agent cannot be
// reached or its endpoint is not configured.
func TestDialFailureIsNotRun(t *testing.T) {
	d, _ := newFixture(t)
	c := newActionCall()
	c.Binding.Endpoint = "nowhere"
	c.Deadline = time.Now().Add(100 * time.Millisecond)
	r := d.Run(t.Context(), c, &textSink{})
	assert.Equal(t, r.Outcome, outcome.NotRun)
	c.Binding.Endpoint = "unconfigured"
	assert.Equal(t, d.Run(t.Context(), c, &textSink{}).Outcome, outcome.NotRun)
}

// TestWithdrawal checks the outcome for each status reply after the caller disconnects.
func TestWithdrawal(t *testing.T) {
	for _, tc := range []struct {
		name            string
		status          *msg.AttemptStatus
		request, action outcome.Outcome
	}{
		{"attempt and action tombstoned", &msg.AttemptStatus{Incarnation: "inc", State: msg.StateTombstoned, Outcome: outcome.NotRun}, outcome.NotRun, outcome.NotRun},
		{"only the attempt tombstoned", &msg.AttemptStatus{Incarnation: "inc", State: msg.StateTombstoned, Outcome: outcome.Unknown}, outcome.NotRun, outcome.Unknown},
		{"tombstoned by another incarnation", &msg.AttemptStatus{Incarnation: "new", State: msg.StateTombstoned, Outcome: outcome.NotRun}, outcome.Unknown, ""},
		{"started", &msg.AttemptStatus{Incarnation: "inc", State: msg.StateStarted, Outcome: outcome.Unknown}, outcome.Unknown, ""},
		{"no reply", nil, outcome.Unknown, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			d, _ := newFixture(t, func(s *link.Session, o *msg.Order, _ int) {
				switch {
				case o.Dispatch != nil:
					cancel()
				case o.Withdraw != nil && tc.status != nil:
					s.Reply(&msg.Reply{ID: o.ID, Status: tc.status})
				}
			})
			d.config.WithdrawTimeout = 100 * time.Millisecond
			if tc.status != nil {
				d.config.WithdrawTimeout = time.Minute
			}
			r := d.Run(ctx, newActionCall(), &textSink{})
			assert.Equal(t, r.Outcome, tc.request)
			assert.Equal(t, r.Problem.ActionOutcome, tc.action)
		})
	}
}
