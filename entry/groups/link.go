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
	// maxPending bounds the orders that wait for a connection to one agent.
	maxPending = 256
	// dialTimeout bounds the wait for a connection.
	dialTimeout = time.Second
)

var (
	messagesReceived = metrics.GetOrCreateCounter(`siskinford_group_messages_total{direction="received"}`)
	messagesSent     = metrics.GetOrCreateCounter(`siskinford_group_messages_total{direction="sent"}`)
	bytesReceived    = metrics.GetOrCreateCounter(`siskinford_group_bytes_total{direction="received"}`)
	bytesSent        = metrics.GetOrCreateCounter(`siskinford_group_bytes_total{direction="sent"}`)
)

// links carries the orders of one group to the agents of its ranks, and their
// status back. It implements coordinator.Transport.
type links struct {
	ctx     context.Context
	pool    *link.Pool
	receive func(groupmsg.Status)
	wg      sync.WaitGroup

	// mu is a leaf lock.
	mu sync.Mutex
	// agents are the connections by address, ranks those by rank.
	agents map[string]*agentLink
	ranks  map[int]*agentLink
}

// agentLink sends orders to one agent.
type agentLink struct {
	links   *links
	address string
	cancel  context.CancelFunc
	pending chan groupmsg.Order
	// conn is the connection on which the agent sends status. It belongs to run.
	conn *link.Conn
}

func newLinks(ctx context.Context, p *link.Pool, receive func(groupmsg.Status)) *links {
	return &links{ctx: ctx, pool: p, receive: receive, agents: map[string]*agentLink{}, ranks: map[int]*agentLink{}}
}

// update follows the configured endpoints of the group.
func (l *links) update(endpoints []config.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.ranks)
	used := map[string]bool{}
	for _, e := range endpoints {
		if len(e.Ranks) == 0 {
			continue
		}
		used[e.Address] = true
		for _, rank := range e.Ranks {
			l.ranks[rank] = l.agent(e.Address)
		}
	}
	for address, a := range l.agents {
		if !used[address] {
			a.cancel()
			delete(l.agents, address)
		}
	}
}

// agent returns the link to an address. The caller holds l.mu.
func (l *links) agent(address string) *agentLink {
	if a := l.agents[address]; a != nil {
		return a
	}
	ctx, cancel := context.WithCancel(l.ctx)
	a := &agentLink{links: l, address: address, cancel: cancel, pending: make(chan groupmsg.Order, maxPending)}
	l.agents[address] = a
	l.wg.Go(func() { a.run(ctx) })
	return a
}

// Send implements coordinator.Transport. Orders that find no room are dropped;
// the coordinator repeats them.
func (l *links) Send(o groupmsg.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.ranks[o.Command.Rank]
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

// send sends an order. The first one on a connection stays open for the agent's status.
func (a *agentLink) send(ctx context.Context, o groupmsg.Order) {
	payload, err := codec.Marshal(o)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := a.links.pool.Conn(ctx, a.address)
	if err != nil {
		a.drop()
		return
	}
	call, err := conn.Send(&msg.Order{Group: &msg.Group{Payload: payload}}, receiver{a.links})
	if err != nil {
		a.drop()
		return
	}
	messagesSent.Inc()
	bytesSent.Add(len(payload))
	if a.conn == conn {
		call.Release()
	}
	a.conn = conn
}

// drop empties the queue of an agent that cannot be reached, so that it gets no
// old orders later.
func (a *agentLink) drop() {
	for {
		select {
		case <-a.pending:
		default:
			return
		}
	}
}

// receiver is the link.Waiter for the status of an agent.
type receiver struct{ links *links }

// Reply implements link.Waiter.
func (r receiver) Reply(reply *msg.Reply) {
	if reply.Group == nil {
		return
	}
	messagesReceived.Inc()
	bytesReceived.Add(len(reply.Group.Payload))
	var s groupmsg.Status
	if codec.Unmarshal(reply.Group.Payload, &s) == nil {
		r.links.receive(s)
	}
}

// Lost implements link.Waiter.
func (receiver) Lost(bool, error) {}
