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

// Deps are the parts that a Dispatcher works with.
type Deps struct {
	Zone      id.Zone
	Picker    route.Picker
	Table     Table
	Budget    *retry.Budget
	Directory Directory
	Pool      *link.Pool
	Recorder  timeline.Recorder
	// OnChoice receives each choice of an endpoint with the candidates that were
	// compared, or why there is none. It must not block. It may be nil.
	OnChoice func(c *Call, choice route.Choice, err error)
}

// Dispatcher runs calls. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	deps   Deps
}

// New returns a Dispatcher.
func New(c Config, d Deps) *Dispatcher {
	return &Dispatcher{config: c, deps: d}
}

// Run runs a call and blocks until its answer has ended or its outcome is as
// certain as it can become. When ctx ends the caller has left, and the attempt
// is withdrawn.
func (d *Dispatcher) Run(ctx context.Context, c *Call, sink Sink) Result {
	d.deps.Budget.RecordFirstTry()
	var exclude []id.Endpoint
	mayHaveRun := false
	for try := 1; ; try++ {
		choice, err := d.choose(c, exclude)
		if d.deps.OnChoice != nil {
			d.deps.OnChoice(c, choice, err)
		}
		if err != nil {
			r := Result{Outcome: outcome.NotRun, Problem: noEndpoint(err), Attempts: try - 1}
			return r.after(mayHaveRun)
		}
		r := d.try(ctx, c, choice, sink).after(mayHaveRun)
		r.Attempts = try
		if r.End != nil && r.Problem == nil {
			return r
		}
		mayHaveRun = r.Outcome != outcome.NotRun
		delay, again := d.mayRetry(ctx, c, r)
		if !again {
			return r
		}
		exclude = append(exclude, choice.Endpoint)
		d.record(c, "request.retried", r.Attempt, choice.Endpoint, r.Problem.Detail)
		if !sleep(ctx, delay) {
			return r
		}
	}
}

// choose returns the bound endpoint of an action, or picks one.
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

func noEndpoint(err error) *problem.Problem {
	p := problem.Newf(problem.NoEndpoint, "%v", err)
	p.RetryAfter = time.Second
	return p
}

func (d *Dispatcher) try(ctx context.Context, c *Call, choice route.Choice, sink Sink) Result {
	t := &try{
		Dispatcher: d,
		call:       c,
		choice:     choice,
		attempt:    id.NewAttempt(),
		sink:       sink,
		begun:      time.Now(),
	}
	t.assembler = newAssembler(t.attempt, c.Action != "")
	d.record(c, "request.dispatched", t.attempt, choice.Endpoint, string(choice.Incarnation))
	if c.Binding == nil {
		d.deps.Table.Started(choice, t.begun)
		defer func() { d.deps.Table.Finished(choice, time.Now()) }()
	}
	r := t.run(ctx)
	r.Endpoint = choice.Endpoint
	r.Attempt = t.attempt
	r.Delivered = t.delivered
	return r
}

// mayRetry decides whether another attempt is permitted and sensible.
func (d *Dispatcher) mayRetry(ctx context.Context, c *Call, r Result) (time.Duration, bool) {
	if c.Binding != nil || r.Delivered || ctx.Err() != nil || !retryable(r.Problem) {
		return 0, false
	}
	return d.deps.Budget.Decide(retry.Attempt{
		Outcome: r.Outcome, Idempotent: c.Idempotent, Tries: r.Attempts,
		RetryAfter: r.Problem.RetryAfter, Deadline: c.Deadline, Now: time.Now(),
	})
}

// retryable reports whether another endpoint may answer differently.
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

// errAbandoned is the cause of attempts withdrawn because nobody waits for their answer.
var errAbandoned = errors.New("the caller left or the entry shuts down")
