package gate

import (
	"context"
	"sync"
	"time"

	"github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// reporter sends load reports to the entries that subscribed. Reports serve as heartbeats.
type reporter struct {
	agent *Agent
	wake  chan struct{}

	// mu is taken after Agent.mu is released, never while it is held.
	mu          sync.Mutex
	subscribers map[*link.Session]subscriber
	seq         uint64
	load        engine.Load
	loadAt      time.Time
	healthy     bool
	cacheSeq    uint64
}

type subscriber struct {
	order    uint64
	interval time.Duration
	next     time.Time
}

func (r *reporter) init(a *Agent) {
	r.agent = a
	r.wake = make(chan struct{}, 1)
	r.subscribers = make(map[*link.Session]subscriber)
	r.healthy = true
}

// add subscribes a session and sends it a first report.
func (r *reporter) add(s *link.Session, o *msg.Order) {
	interval := time.Duration(o.Reports.Interval) * time.Microsecond
	r.mu.Lock()
	r.subscribers[s] = subscriber{order: o.ID, interval: max(interval, r.agent.config.ReportInterval)}
	r.mu.Unlock()
	r.changed()
}

func (r *reporter) remove(s *link.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, s)
}

// changed makes every subscriber receive a report at once.
func (r *reporter) changed() {
	r.mu.Lock()
	for s, sub := range r.subscribers {
		sub.next = time.Time{}
		r.subscribers[s] = sub
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// poll reads the engine's load and sends reports until ctx ends.
func (r *reporter) poll(ctx context.Context) {
	ticker := time.NewTicker(r.agent.config.EnginePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.C:
			r.readEngine(ctx)
		}
		r.send()
	}
}

// readEngine asks the engine for its load and cache events.
func (r *reporter) readEngine(ctx context.Context) {
	e := r.agent.deps.Engine
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.agent.config.EnginePoll*5)
	defer cancel()
	load, err := e.Load(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healthy = err == nil
	if err == nil {
		r.load = load
		r.loadAt = r.agent.now()
	}
}

// send sends a report to each subscriber whose interval has passed.
func (r *reporter) send() {
	report := r.agent.snapshot()
	now := r.agent.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	report.Seq = r.seq
	report.Healthy = r.healthy
	report.StepTime = r.load.StepTime.Microseconds()
	if !r.loadAt.IsZero() {
		report.EngineLag = (now.Sub(r.loadAt) + r.load.Age).Microseconds()
	}
	for s, sub := range r.subscribers {
		if now.Before(sub.next) {
			continue
		}
		sub.next = now.Add(sub.interval)
		r.subscribers[s] = sub
		s.Reply(&msg.Reply{ID: sub.order, Report: report})
	}
}

// snapshot returns the parts of a report that the agent itself knows.
func (a *Agent) snapshot() *msg.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := &msg.Report{
		Endpoint:    a.config.Endpoint,
		Incarnation: a.incarnation,
		Draining:    a.refusesNew(),
		Queued:      uint32(a.queue.len()),
		Running:     uint32(len(a.running)),
		Slots:       uint32(a.config.Slots),
	}
	for _, it := range a.queue.items {
		report.QueuedTokens += uint64(it.dispatch.Work)
	}
	for _, run := range a.running {
		report.RunningTokens += uint64(run.item.dispatch.Work)
	}
	return report
}
