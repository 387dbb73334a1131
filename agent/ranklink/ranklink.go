// Package ranklink connects the ranks of an agent's host with the coordinators
// of their group: it takes orders from the sessions of entries, drives the ranks
// at an interval and sends their status to every entry that has asked.
package ranklink

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/agent/rank"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/wire/codec"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// maxPending bounds the orders of one rank that wait for its engine. The
// coordinator repeats those that are dropped.
const maxPending = 32

// EventRefused tells that an order came from a peer that is not an entry.
const EventRefused timeline.Kind = "rank.refused"

var (
	messagesReceived = metrics.GetOrCreateCounter(`siskinford_group_messages_total{direction="received"}`)
	messagesSent     = metrics.GetOrCreateCounter(`siskinford_group_messages_total{direction="sent"}`)
	bytesReceived    = metrics.GetOrCreateCounter(`siskinford_group_bytes_total{direction="received"}`)
	bytesSent        = metrics.GetOrCreateCounter(`siskinford_group_bytes_total{direction="sent"}`)
	ordersDropped    = metrics.GetOrCreateCounter(`siskinford_rank_orders_dropped_total`)
)

// Runner runs the ranks of one host. It is safe for concurrent use.
type Runner struct {
	config   Config
	recorder timeline.Recorder
	agent    *rank.Controller
	// pending holds the orders that wait, by rank.
	pending map[int]chan groupmsg.Order

	// mu is a leaf lock.
	mu sync.Mutex
	// sessions holds the ID of the first order of each session.
	sessions map[*link.Session]uint64
}

// New returns a runner of the given ranks. Run must be called for it to work.
func New(c Config, ranks rank.Config) *Runner {
	r := &Runner{config: c, recorder: ranks.Recorder, pending: map[int]chan groupmsg.Order{}, sessions: map[*link.Session]uint64{}}
	if r.recorder == nil {
		r.recorder = timeline.Discard
	}
	r.agent = rank.New(ranks, r)
	for _, l := range ranks.Ranks {
		r.pending[l.Index] = make(chan groupmsg.Order, maxPending)
	}
	return r
}

// Run drives the ranks until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, orders := range r.pending {
		wg.Go(func() { r.handle(ctx, orders) })
	}
	ticker := time.NewTicker(r.config.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			r.withTimeout(ctx, r.agent.Tick)
		}
	}
	wg.Wait()
}

func (r *Runner) handle(ctx context.Context, orders <-chan groupmsg.Order) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-orders:
			r.withTimeout(ctx, func(ctx context.Context) { r.agent.Handle(ctx, o) })
		}
	}
}

// withTimeout bounds the time for which an engine that does not answer holds up its rank.
func (r *Runner) withTimeout(ctx context.Context, do func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, r.config.EngineTimeout)
	defer cancel()
	do(ctx)
}

// Order takes an order of a session. It does not block.
func (r *Runner) Order(s *link.Session, o *msg.Order) {
	if s.Role != keys.RoleEntry {
		r.recorder.Record(timeline.Event{Kind: EventRefused, Detail: string(s.Role) + " " + string(s.Host)})
		return
	}
	messagesReceived.Inc()
	bytesReceived.Add(len(o.Group.Payload))
	r.subscribe(s, o.ID)
	var order groupmsg.Order
	if len(o.Group.Payload) == 0 || codec.Unmarshal(o.Group.Payload, &order) != nil {
		return
	}
	orders, ok := r.pending[order.Command.Rank]
	if !ok {
		return
	}
	select {
	case orders <- order:
	default:
		ordersDropped.Inc()
	}
}

func (r *Runner) subscribe(s *link.Session, order uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.sessions[s]; !ok {
		r.sessions[s] = order
	}
}

// Closed forgets a session that has ended.
func (r *Runner) Closed(s *link.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, s)
}

// Send implements rank.Transport.
func (r *Runner) Send(s groupmsg.Status) {
	payload, err := codec.Marshal(s)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for session, order := range r.sessions {
		messagesSent.Inc()
		bytesSent.Add(len(payload))
		session.Reply(&msg.Reply{ID: order, Group: &msg.Group{Payload: payload}})
	}
}
