package server

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// reporter sends load reports to subscribed entries. Reports serve as heartbeats.
type reporter struct {
	agent *Agent
	wake  chan struct{}

	// mu must not be held together with Agent.mu.
	mu          sync.Mutex
	subscribers map[*link.Session]subscriber
	seq         uint64
	load        engine.Load
	loadReadAt  time.Time
	healthy     bool
	// events are the engine's latest cache events, oldest first.
	events []msg.CacheEvent
}

type subscriber struct {
	order    uint64
	interval time.Duration
	next     time.Time
	// cacheSeq is the sequence number of the last cache event sent.
	cacheSeq uint64
	// identified is true once a report with endpoint and incarnation was sent.
	identified bool
}

const (
	// maxCacheEvents bounds the cache events stored for subscribers.
	maxCacheEvents = 4096
	// maxReportEvents bounds the cache events of one report.
	maxReportEvents = 256
)

func (r *reporter) init(a *Agent) {
	r.agent = a
	r.wake = make(chan struct{}, 1)
	r.subscribers = make(map[*link.Session]subscriber)
	r.healthy = true
}

// add subscribes a session, which gets a first report at once.
func (r *reporter) add(s *link.Session, o *msg.Order) {
	interval := time.Duration(o.Reports.IntervalMicros) * time.Microsecond
	r.mu.Lock()
	r.subscribers[s] = subscriber{order: o.ID, interval: max(interval, r.agent.config.ReportInterval)}
	r.mu.Unlock()
	r.reportNow()
}

func (r *reporter) remove(s *link.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, s)
}

// reportNow makes run send a report to every subscriber immediately.
func (r *reporter) reportNow() {
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

// run polls the engine and sends reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
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

// readEngine reads the engine's load and cache events.
func (r *reporter) readEngine(ctx context.Context) {
	e := r.agent.deps.Engine
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.agent.config.EnginePoll*5)
	defer cancel()
	load, err := e.Load(ctx)
	events, eventsErr := e.CacheEvents(ctx, r.lastEventSeq())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healthy = err == nil
	if err == nil {
		r.load = load
		r.loadReadAt = r.agent.now()
	}
	if eventsErr == nil {
		r.storeEvents(events)
	}
}

// lastEventSeq returns the sequence number of the last cache event read.
func (r *reporter) lastEventSeq() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) == 0 {
		return 0
	}
	return r.events[len(r.events)-1].Seq
}

// storeEvents appends cache events and drops the oldest excess. The caller holds r.mu.
func (r *reporter) storeEvents(events []engine.CacheEvent) {
	for _, e := range events {
		r.events = append(r.events, msg.CacheEvent{Seq: e.Seq, Block: e.Block, Evicted: e.Evicted, Cleared: e.Cleared})
	}
	if excess := len(r.events) - maxCacheEvents; excess > 0 {
		r.events = slices.Delete(r.events, 0, excess)
	}
}

// eventsAfter returns the next cache events for a subscriber. The caller holds r.mu.
func (r *reporter) eventsAfter(seq uint64) []msg.CacheEvent {
	first, _ := slices.BinarySearchFunc(r.events, seq+1, func(e msg.CacheEvent, s uint64) int { return cmp.Compare(e.Seq, s) })
	last := min(first+maxReportEvents, len(r.events))
	return slices.Clone(r.events[first:last])
}

// send sends a report to each subscriber that is due.
func (r *reporter) send() {
	report := r.agent.snapshot()
	now := r.agent.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	report.Seq = r.seq
	report.Healthy = r.healthy
	report.StepTimeMicros = r.load.StepTime.Microseconds()
	if !r.loadReadAt.IsZero() {
		report.EngineLagMicros = (now.Sub(r.loadReadAt) + r.load.Age).Microseconds()
	}
	for s, sub := range r.subscribers {
		if now.Before(sub.next) {
			continue
		}
		sub.next = now.Add(sub.interval)
		own := *report
		own.CacheEvents = r.eventsAfter(sub.cacheSeq)
		if n := len(own.CacheEvents); n > 0 {
			sub.cacheSeq = own.CacheEvents[n-1].Seq
		}
		if sub.identified {
			own.Endpoint, own.Incarnation = "", ""
		}
		sub.identified = true
		r.subscribers[s] = sub
		s.Reply(&msg.Reply{ID: sub.order, Report: &own})
	}
}

// snapshot returns a report with the fields that come from the agent's own state.
func (a *Agent) snapshot() *msg.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := &msg.Report{
		Endpoint:    a.config.Endpoint,
		Incarnation: a.incarnation,
		Draining:    a.rejectsNewWork(),
		Queued:      uint32(a.queue.Len()),
		Running:     uint32(len(a.running)),
		Slots:       uint32(a.config.Slots),
	}
	for _, d := range a.waiting {
		report.QueuedTokens += uint64(d.Work)
	}
	for _, r := range a.running {
		report.RunningTokens += uint64(r.remaining())
	}
	return report
}
