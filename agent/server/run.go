package server

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/agent/plain"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/wire/msg"
)

// launch runs a started attempt on its own goroutine. The caller holds a.mu.
func (a *Agent) launch(d *msg.Dispatch) {
	ctx, cancel := a.runContext(d)
	r := &run{dispatch: d, cancel: cancel}
	a.running[d.Attempt] = r
	a.wg.Go(func() {
		defer cancel()
		a.execute(ctx, r)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.running, d.Attempt)
		a.schedule()
	})
}

func (a *Agent) runContext(d *msg.Dispatch) (context.Context, context.CancelFunc) {
	if d.RunTimeoutMicros > 0 {
		return context.WithTimeout(a.ctx, time.Duration(d.RunTimeoutMicros)*time.Microsecond)
	}
	return context.WithCancel(a.ctx)
}

func (a *Agent) cancelRunning(attempt id.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.running[attempt]; ok {
		r.cancel()
	}
}

// execute runs an attempt at the back end and records its response.
func (a *Agent) execute(ctx context.Context, r *run) {
	d := r.dispatch
	a.record(timeline.Event{Kind: "attempt.started", Request: d.Request, Attempt: d.Attempt})
	var end msg.End
	var err error
	if d.Chat != nil {
		end, err = a.runChat(ctx, r)
	} else {
		err = a.runPlain(ctx, d)
	}
	if notStarted(err) {
		a.ledger.MarkNotStarted(d.Attempt, msg.Refusal{Code: msg.CodeBackend, Detail: err.Error()})
		a.record(timeline.Event{Kind: "attempt.refused", Request: d.Request, Attempt: d.Attempt, Detail: string(msg.CodeBackend)})
		return
	}
	end.Outcome = outcome.Ran
	if err != nil {
		end.Outcome = outcome.Unknown
		end.Error = err.Error()
	}
	a.ledger.Finish(d.Attempt, end)
	a.record(timeline.Event{Kind: "attempt.done", Request: d.Request, Attempt: d.Attempt, Detail: string(end.Outcome)})
}

func (a *Agent) runChat(ctx context.Context, r *run) (msg.End, error) {
	d := r.dispatch
	request := engine.Request{
		Attempt: d.Attempt, Model: d.Chat.Model, Prompt: d.Chat.Prompt, MaxTokens: d.Chat.MaxTokens,
	}
	if d.Class == msg.ClassShort {
		request.Priority = 1
	}
	usage, err := a.deps.Engine.Run(ctx, request, func(t engine.Token) error {
		r.produced.Add(1)
		a.ledger.Append(d.Attempt, msg.Frame{Data: []byte(t.Text), Tokens: 1})
		return ctx.Err()
	})
	return msg.End{
		FinishReason: usage.FinishReason,
		PromptTokens: uint32(usage.PromptTokens),
		AnswerTokens: uint32(usage.AnswerTokens),
		CachedTokens: uint32(usage.CachedTokens),
	}, err
}

func (a *Agent) runPlain(ctx context.Context, d *msg.Dispatch) error {
	return a.deps.Plain.Do(ctx, d.Plain, &plainResponse{agent: a, attempt: d.Attempt})
}

// plainResponse records the response of a plain service. It implements plain.Writer.
type plainResponse struct {
	agent   *Agent
	attempt id.Attempt
}

func (p *plainResponse) Head(h msg.ResponseHead) error {
	p.agent.ledger.Append(p.attempt, msg.Frame{Head: &h})
	return nil
}

func (p *plainResponse) Write(b []byte) (int, error) {
	p.agent.ledger.Append(p.attempt, msg.Frame{Data: bytes.Clone(b)})
	return len(b), nil
}

// notStarted reports whether err guarantees that the back end received nothing.
func notStarted(err error) bool {
	var byEngine *engine.NotStartedError
	var byPlain *plain.NotStartedError
	return errors.As(err, &byEngine) || errors.As(err, &byPlain)
}
