package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/wire/link"
)

// Deps are the dependencies of a Dispatcher.
type Deps struct {
	Zone      id.Zone
	Picker    route.Picker
	Table     Table
	Budget    *retry.Budget
	Directory Directory
	Pool      *link.Pool
	Recorder  timeline.Recorder
	// OnChoice is called for each choice of an endpoint with the candidates compared,
	// or with the error if there is none. It must not block. It may be nil.
	OnChoice func(c *Call, choice route.Choice, err error)
}

// Dispatcher dispatches calls. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	deps   Deps
}

func New(c Config, d Deps) *Dispatcher {
	return &Dispatcher{config: c, deps: d}
}

// Run dispatches a call and blocks until its response has ended or its outcome is as
// certain as it can become. If ctx ends, because the caller disconnected or the
// entry shuts down, the attempt is withdrawn.
func (d *Dispatcher) Run(ctx context.Context, c *Call, sink Sink) Result {
	d.deps.Budget.RecordRequest()
	var exclude []id.Endpoint
	mayHaveRun := false
	for number := 1; ; number++ {
		choice, err := d.choose(c, exclude)
		if d.deps.OnChoice != nil {
			d.deps.OnChoice(c, choice, err)
		}
		if err != nil {
			r := Result{Outcome: outcome.NotRun, Problem: noEndpointProblem(err), Attempts: number - 1}
			return r.withEarlierAttempts(mayHaveRun)
		}
		r := d.runAttempt(ctx, c, choice, sink).withEarlierAttempts(mayHaveRun)
		r.Attempts = number
		if r.End != nil && r.Problem == nil {
			return r
		}
		mayHaveRun = r.Outcome != outcome.NotRun
		delay, ok := d.retryDelay(ctx, c, r)
		if !ok {
			return r
		}
		exclude = append(exclude, choice.Endpoint)
		d.record(c, "request.retried", r.Attempt, choice.Endpoint, r.Problem.Detail)
		if !sleep(ctx, delay) {
			return r
		}
	}
}

// choose returns the endpoint that an action is bound to, or picks one.
func (d *Dispatcher) choose(c *Call, exclude []id.Endpoint) (route.Choice, error) {
	if c.Binding != nil {
		return route.Choice{Endpoint: c.Binding.Endpoint, Incarnation: c.Binding.Incarnation, Work: c.Work}, nil
	}
	request := route.Request{
		Service: c.Service, Zone: d.deps.Zone, Work: c.Work, PromptBlocks: c.PromptBlocks,
		Exclude: exclude, Now: time.Now(), Explain: d.deps.OnChoice != nil,
	}
	return d.deps.Picker.Pick(request)
}

func noEndpointProblem(err error) *problem.Problem {
	p := problem.Newf(problem.NoEndpoint, "%v", err)
	p.RetryAfter = time.Second
	return p
}

func (d *Dispatcher) runAttempt(ctx context.Context, c *Call, choice route.Choice, sink Sink) Result {
	a := &attempt{
		Dispatcher: d,
		call:       c,
		choice:     choice,
		id:         id.NewAttempt(),
		sink:       sink,
		startedAt:  time.Now(),
	}
	a.assembler = newAssembler(a.id, c.Action != "")
	d.record(c, "request.dispatched", a.id, choice.Endpoint, string(choice.Incarnation))
	if c.Binding == nil {
		d.deps.Table.RecordStart(choice, a.startedAt)
		defer func() { d.deps.Table.RecordFinish(choice, time.Now()) }()
	}
	r := a.run(ctx)
	r.Endpoint = choice.Endpoint
	r.Attempt = a.id
	r.Delivered = a.delivered
	return r
}

// retryDelay returns the delay before another attempt, or false if none is permitted.
func (d *Dispatcher) retryDelay(ctx context.Context, c *Call, r Result) (time.Duration, bool) {
	if c.Binding != nil || r.Delivered || ctx.Err() != nil || !retryable(r.Problem) {
		return 0, false
	}
	return d.deps.Budget.Decide(retry.Attempt{
		Outcome: r.Outcome, Idempotent: c.Idempotent, Number: r.Attempts,
		RetryAfter: r.Problem.RetryAfter, Deadline: c.Deadline, Now: time.Now(),
	})
}

// retryable reports whether another endpoint may succeed.
func retryable(p *problem.Problem) bool {
	switch p.Code {
	case problem.EndpointRefused, problem.Overloaded, problem.OutcomeUnknown, problem.AnswerIncomplete:
		return true
	}
	return false
}

func (d *Dispatcher) record(c *Call, kind timeline.Kind, attempt id.Attempt, e id.Endpoint, detail string) {
	d.deps.Recorder.Record(timeline.Event{
		Kind: kind, Request: c.Request, Attempt: attempt, Endpoint: e, Detail: detail,
	})
}

// sleep waits for a delay and reports false if ctx ended first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// errAbandoned is the cause of withdrawing attempts whose response has no receiver.
var errAbandoned = errors.New("the caller left or the entry shuts down")
