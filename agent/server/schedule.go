package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/agent/queue"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/wire/msg"
)

// QueuePolicy names the order in which waiting attempts start.
type QueuePolicy string

const (
	// ShortFirst starts short work first; see queue.ShortFirst.
	ShortFirst QueuePolicy = "short-first"
	// FirstInFirstOut starts attempts in order of arrival.
	FirstInFirstOut QueuePolicy = "fifo"
)

// newQueue returns a queue with the configured policy.
func newQueue(c Config) queue.Queue {
	settings := queue.Config{Slots: c.Slots, MaxItems: max(c.MaxQueue, 1)}
	if c.QueuePolicy == FirstInFirstOut {
		return queue.NewFIFO(settings)
	}
	return queue.NewShortFirst(settings)
}

// pauseTimeout bounds a call of the engine to pause or resume an attempt.
const pauseTimeout = 2 * time.Second

// enqueue adds an admitted attempt to the queue. The caller holds a.mu.
func (a *Agent) enqueue(d *msg.Dispatch) *msg.Refusal {
	now := a.now()
	item := queue.Item{
		Attempt: d.Attempt, Team: d.Team, Class: d.Class, Work: d.Work,
		Deadline: now.Add(time.Duration(d.QueueTimeoutMicros) * time.Microsecond),
	}
	if err := a.queue.Push(item, now); err != nil {
		refusal := msg.Refusal{Code: msg.CodeQueueFull, Detail: err.Error()}
		a.ledger.Refuse(d.Attempt, refusal)
		return nil // the ledger has sent the refusal to the sinks
	}
	a.waiting[d.Attempt] = d
	a.schedule()
	return nil
}

// reschedule is schedule for callers that do not hold a.mu.
func (a *Agent) reschedule() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedule()
}

// schedule applies the decision of the queue. The caller holds a.mu.
func (a *Agent) schedule() {
	decision := a.queue.Next(a.now(), a.activeAttempts())
	for _, item := range decision.Expired {
		a.refuseWaiting(item.Attempt, msg.CodeDeadline, "the attempt did not start in time")
	}
	for _, attempt := range decision.Pause {
		a.setPaused(attempt, true)
	}
	for _, attempt := range decision.Resume {
		a.setPaused(attempt, false)
	}
	for _, item := range decision.Start {
		d := a.waiting[item.Attempt]
		delete(a.waiting, item.Attempt)
		if d != nil && a.ledger.Start(item.Attempt) {
			a.launch(d)
		}
	}
}

// activeAttempts returns the started attempts for the queue. The caller holds a.mu.
func (a *Agent) activeAttempts() []queue.Active {
	out := make([]queue.Active, 0, len(a.running))
	for attempt, r := range a.running {
		out = append(out, queue.Active{Attempt: attempt, Remaining: r.remaining(), Paused: r.paused})
	}
	return out
}

func (a *Agent) refuseWaiting(attempt id.Attempt, code msg.Code, detail string) {
	d := a.waiting[attempt]
	delete(a.waiting, attempt)
	if d != nil && a.ledger.Refuse(attempt, msg.Refusal{Code: code, Detail: detail}) {
		a.record(timeline.Event{Kind: "attempt.refused", Request: d.Request, Attempt: attempt, Detail: string(code)})
	}
}

// setPaused takes a running attempt out of the engine's batch or puts it back. It calls
// the engine on a new goroutine, after earlier calls for the attempt. The caller holds a.mu.
func (a *Agent) setPaused(attempt id.Attempt, paused bool) {
	r, ok := a.running[attempt]
	if !ok || a.deps.Engine == nil {
		return
	}
	r.paused = paused
	kind, call := timeline.Kind("attempt.resumed"), a.deps.Engine.Resume
	if paused {
		kind, call = "attempt.paused", a.deps.Engine.Pause
	}
	a.record(timeline.Event{Kind: kind, Request: r.dispatch.Request, Attempt: attempt})
	previous := r.lastPauseDone
	done := make(chan struct{})
	r.lastPauseDone = done
	a.wg.Go(func() {
		defer close(done)
		if previous != nil {
			<-previous
		}
		a.callEngine(attempt, paused, call)
	})
}

// callEngine pauses or resumes an attempt. After a failed pause it counts as running.
func (a *Agent) callEngine(attempt id.Attempt, paused bool, call func(context.Context, id.Attempt) error) {
	ctx, cancel := context.WithTimeout(a.ctx, pauseTimeout)
	defer cancel()
	err := call(ctx, attempt)
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	a.deps.Log.Warn().Err(err).Str("event", "engine.order_failed").Str("attempt", string(attempt)).Msg("pause or resume failed")
	if !paused {
		a.cancelRunning(attempt) // otherwise it would stay paused and never end
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.running[attempt]; ok {
		r.paused = false
	}
}
