package groups

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/wire/codec"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

const (
	// maxPendingOrders bounds the orders queued for one agent.
	maxPendingOrders = 256
	// dialTimeout bounds connecting to an agent.
	dialTimeout = time.Second
)

var (
	messagesReceived = metrics.GetOrCreateCounter(`siskinford_group_messages_total{direction="received"}`)
	messagesSent     = metrics.GetOrCreateCounter(`siskinford_group_messages_total{direction="sent"}`)
	bytesReceived    = metrics.GetOrCreateCounter(`siskinford_group_bytes_total{direction="received"}`)
	bytesSent        = metrics.GetOrCreateCounter(`siskinford_group_bytes_total{direction="sent"}`)
)

// transport sends the orders of one group to the agents of its ranks and receives their
// status. It implements coordinator.Transport.
type transport struct {
	ctx     context.Context
	pool    *link.Pool
	receive func(groupmsg.Status)
	wg      sync.WaitGroup

	// mu is a leaf lock.
	mu sync.Mutex
	// agents holds the connections by address, ranks by rank number.
	agents map[string]*agentLink
	ranks  map[int]*agentLink
}

// agentLink sends orders to one agent.
type agentLink struct {
	transport *transport
	address   string
	cancel    context.CancelFunc
	pending   chan groupmsg.Order
	// conn is the connection on which the agent sends status. Only run uses it.
	conn *link.Conn
}

func newTransport(ctx context.Context, p *link.Pool, receive func(groupmsg.Status)) *transport {
	return &transport{ctx: ctx, pool: p, receive: receive, agents: map[string]*agentLink{}, ranks: map[int]*agentLink{}}
}

// setEndpoints replaces the endpoints of the group.
func (t *transport) setEndpoints(endpoints []config.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.ranks)
	used := map[string]bool{}
	for _, e := range endpoints {
		if len(e.Ranks) == 0 {
			continue
		}
		used[e.Address] = true
		for _, rank := range e.Ranks {
			t.ranks[rank] = t.ensureAgent(e.Address)
		}
	}
	for address, a := range t.agents {
		if !used[address] {
			a.cancel()
			delete(t.agents, address)
		}
	}
}

// ensureAgent returns the link to an address, started if needed. The caller holds t.mu.
func (t *transport) ensureAgent(address string) *agentLink {
	if a := t.agents[address]; a != nil {
		return a
	}
	ctx, cancel := context.WithCancel(t.ctx)
	a := &agentLink{transport: t, address: address, cancel: cancel, pending: make(chan groupmsg.Order, maxPendingOrders)}
	t.agents[address] = a
	t.wg.Go(func() { a.run(ctx) })
	return a
}

// Send implements coordinator.Transport. It drops the order if the queue is full; the
// coordinator resends it.
func (t *transport) Send(o groupmsg.Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.ranks[o.Command.Rank]
	if a == nil {
		return
	}
	select {
	case a.pending <- o:
	default:
	}
}

func (a *agentLink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-a.pending:
			a.send(ctx, o)
		}
	}
}

// send sends an order. The first call on a connection stays open to receive the agent's
// status.
func (a *agentLink) send(ctx context.Context, o groupmsg.Order) {
	payload, err := codec.Marshal(o)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := a.transport.pool.Conn(ctx, a.address)
	if err != nil {
		a.dropPending()
		return
	}
	call, err := conn.Send(&msg.Order{Group: &msg.Group{Payload: payload}}, statusReceiver{a.transport})
	if err != nil {
		a.dropPending()
		return
	}
	messagesSent.Inc()
	bytesSent.Add(len(payload))
	if a.conn == conn {
		call.Release()
	}
	a.conn = conn
}

// dropPending empties the queue of an unreachable agent, so that it receives no stale
// orders later.
func (a *agentLink) dropPending() {
	for {
		select {
		case <-a.pending:
		default:
			return
		}
	}
}

// statusReceiver is the link.ReplyHandler for the status of an agent.
type statusReceiver struct{ transport *transport }

// Reply implements link.ReplyHandler.
func (r statusReceiver) Reply(reply *msg.Reply) {
	if reply.Group == nil {
		return
	}
	messagesReceived.Inc()
	bytesReceived.Add(len(reply.Group.Payload))
	var s groupmsg.Status
	if codec.Unmarshal(reply.Group.Payload, &s) == nil {
		r.transport.receive(s)
	}
}

// Lost implements link.ReplyHandler.
func (statusReceiver) Lost(bool, error) {}
