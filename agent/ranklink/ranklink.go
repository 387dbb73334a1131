// Package ranklink connects the ranks of an agent's host with the coordinators of their
// group: it queues the orders that entries send over their links, reconciles the ranks
// periodically and sends their status to all subscribed entries.
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

// maxPendingOrders bounds the orders of one rank that wait for its engine. The
// coordinator repeats those that are dropped.
const maxPendingOrders = 32

// EventRefused is recorded when an order comes from a peer that is not an entry.
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
	config     Config
	recorder   timeline.Recorder
	controller *rank.Controller
	// pendingOrders holds the queued orders by rank index. It is not changed after New.
	pendingOrders map[int]chan groupmsg.Order

	// mu is a leaf lock.
	mu sync.Mutex
	// subscribers holds the ID of each session's first order, used to send statuses.
	subscribers map[*link.Session]uint64
}

// New returns a runner of the given ranks. Orders are processed while Run runs.
func New(c Config, ranks rank.Config) *Runner {
	r := &Runner{config: c, recorder: ranks.Recorder, pendingOrders: map[int]chan groupmsg.Order{}, subscribers: map[*link.Session]uint64{}}
	if r.recorder == nil {
		r.recorder = timeline.Discard
	}
	r.controller = rank.New(ranks, r)
	for _, l := range ranks.Ranks {
		r.pendingOrders[l.Index] = make(chan groupmsg.Order, maxPendingOrders)
	}
	return r
}

// Run processes orders and reconciles the ranks until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, orders := range r.pendingOrders {
		wg.Go(func() { r.processOrders(ctx, orders) })
	}
	ticker := time.NewTicker(r.config.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			r.withTimeout(ctx, r.controller.Tick)
		}
	}
	wg.Wait()
}

func (r *Runner) processOrders(ctx context.Context, orders <-chan groupmsg.Order) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-orders:
			r.withTimeout(ctx, func(ctx context.Context) { r.controller.Handle(ctx, o) })
		}
	}
}

// withTimeout bounds the time for which an unresponsive engine blocks the caller.
func (r *Runner) withTimeout(ctx context.Context, do func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, r.config.EngineTimeout)
	defer cancel()
	do(ctx)
}

// Order subscribes the session and queues its order. It does not block.
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
	orders, ok := r.pendingOrders[order.Command.Rank]
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
	if _, ok := r.subscribers[s]; !ok {
		r.subscribers[s] = order
	}
}

// Closed unsubscribes a session that has ended.
func (r *Runner) Closed(s *link.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, s)
}

// Send implements rank.Transport.
func (r *Runner) Send(s groupmsg.Status) {
	payload, err := codec.Marshal(s)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for session, order := range r.subscribers {
		messagesSent.Inc()
		bytesSent.Add(len(payload))
		session.Reply(&msg.Reply{ID: order, Group: &msg.Group{Payload: payload}})
	}
}
