package link

import (
	"context"
	"crypto/tls"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/msg"
)

// echo replies to each ticket order with the name of the team.
type echo struct{}

func (echo) Order(s *Session, o *msg.Order) {
	if o.Ticket != nil {
		s.Reply(&msg.Reply{ID: o.ID, Ticket: &msg.Ticket{Ticket: string(o.Ticket.Team)}})
	}
}

func (echo) Closed(*Session) {}

func (echo) Incarnation() id.Incarnation { return "inc" }

// fixture is a server with a pool that dials it.
type fixture struct {
	server *Server
	pool   *Pool
	keys   *keys.Credentials
	tls    func() *tls.Config
}

func newFixture(t *testing.T, dialerRole keys.Role) *fixture {
	t.Helper()
	authority, err := keys.NewAuthority(time.Hour)
	assert.NilError(t, err)
	agent := issueCredentials(t, authority, keys.RoleAgent)
	dialer := issueCredentials(t, authority, dialerRole)
	server, err := Listen("127.0.0.1:0", agent.ServerConfig(keys.RoleEntry), DefaultConfig(), echo{})
	assert.NilError(t, err)
	f := &fixture{server: server, keys: agent, tls: func() *tls.Config { return dialer.ClientConfig(keys.RoleAgent) }}
	f.pool = NewPool(DefaultConfig(), f.tls)
	t.Cleanup(func() {
		f.pool.Close()
		f.server.Close()
	})
	return f
}

func issueCredentials(t *testing.T, a *keys.Authority, role keys.Role) *keys.Credentials {
	t.Helper()
	material, err := a.Issue(role, "host", time.Hour)
	assert.NilError(t, err)
	r, err := keys.New(material)
	assert.NilError(t, err)
	return r
}

func ticketOrder(team id.Team) *msg.Order {
	return &msg.Order{Ticket: &msg.TicketOrder{Team: team}}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRepliesMatchTheirOrder(t *testing.T) {
	f := newFixture(t, keys.RoleEntry)
	conn, err := f.pool.Conn(context.Background(), f.server.Address())
	assert.NilError(t, err)
	var wg sync.WaitGroup
	for _, team := range []id.Team{"a", "b", "c", "d"} {
		for range 50 {
			wg.Go(func() {
				reply, err := conn.Call(context.Background(), ticketOrder(team))
				assert.Check(t, err == nil, err)
				if err == nil {
					assert.Check(t, reply.Ticket.Ticket == string(team))
				}
			})
		}
	}
	wg.Wait()
}

func TestPeerWithAnotherRoleIsRefused(t *testing.T) {
	f := newFixture(t, keys.RoleAgent)
	conn, err := f.pool.Conn(context.Background(), f.server.Address())
	if err == nil {
		_, err = conn.Call(context.Background(), ticketOrder("a"))
	}
	assert.Assert(t, err != nil, "a peer with the role of an agent must not send orders to an agent")
}

func TestPoolKeepsOneConnectionPerAddress(t *testing.T) {
	f := newFixture(t, keys.RoleEntry)
	first, err := f.pool.Conn(context.Background(), f.server.Address())
	assert.NilError(t, err)
	second, err := f.pool.Conn(context.Background(), f.server.Address())
	assert.NilError(t, err)
	assert.Assert(t, first == second)
	first.Close()
	third, err := f.pool.Conn(context.Background(), f.server.Address())
	for err == nil && third == first {
		third, err = f.pool.Conn(context.Background(), f.server.Address())
	}
	assert.NilError(t, err)
}

// lossRecorder records the calls of Lost.
type lossRecorder struct {
	lost chan bool
}

func (l *lossRecorder) Reply(*msg.Reply) {}

func (l *lossRecorder) Lost(sent bool, _ error) { l.lost <- sent }

func TestLostConnectionIsReportedOnce(t *testing.T) {
	f := newFixture(t, keys.RoleEntry)
	conn, err := f.pool.Conn(context.Background(), f.server.Address())
	assert.NilError(t, err)
	w := &lossRecorder{lost: make(chan bool, 2)}
	_, err = conn.Send(&msg.Order{Inquire: &msg.Inquire{}}, w)
	assert.NilError(t, err)
	_, err = conn.Call(context.Background(), ticketOrder("a")) // the first order was sent
	assert.NilError(t, err)
	conn.Close()
	assert.Assert(t, <-w.lost, "a sent order must be reported as sent")
	assert.Equal(t, len(w.lost), 0)
	_, err = conn.Send(ticketOrder("a"), w)
	assert.ErrorIs(t, err, ErrClosed)
}

func TestOutboxMaybeSent(t *testing.T) {
	o := newOutbox(DefaultConfig())
	first, err := o.enqueue(ticketOrder("a"))
	assert.NilError(t, err)
	_, err = o.nextBatch()
	assert.NilError(t, err)
	second, err := o.enqueue(ticketOrder("b"))
	assert.NilError(t, err)
	assert.Assert(t, o.maybeSent(first))
	assert.Assert(t, !o.maybeSent(second))
}

func TestOutboxIsBounded(t *testing.T) {
	c := DefaultConfig()
	c.MaxQueuedBytes = 1
	o := newOutbox(c)
	_, err := o.enqueue(ticketOrder("a"))
	assert.NilError(t, err)
	_, err = o.enqueue(ticketOrder("b"))
	var full *QueueFullError
	assert.Assert(t, errors.As(err, &full))
}

func TestAbandonedConnectionIsNotUsedAgain(t *testing.T) {
	f := newFixture(t, keys.RoleEntry)
	address := f.server.Address()
	for range 10 {
		c, err := f.pool.Conn(t.Context(), address)
		assert.NilError(t, err)
		f.pool.Abandon(address)
		fresh, err := f.pool.Conn(t.Context(), address)
		assert.NilError(t, err)
		assert.Assert(t, fresh != c)
		reply, err := fresh.Call(t.Context(), &msg.Order{Ticket: &msg.TicketOrder{Team: "team"}})
		assert.NilError(t, err)
		assert.Equal(t, reply.Ticket.Ticket, "team")
		f.pool.Abandon(address)
	}
}

func TestAddressIsReusableAfterClose(t *testing.T) {
	f := newFixture(t, keys.RoleEntry)
	address := f.server.Address()
	for range 5 {
		_, err := f.pool.Conn(context.Background(), address)
		assert.NilError(t, err)
		f.server.Close()
		server, err := Listen(address, f.keys.ServerConfig(keys.RoleEntry), DefaultConfig(), echo{})
		assert.NilError(t, err, "a restarted agent must be able to reuse its address")
		f.server = server
		f.pool.Close()
		f.pool = NewPool(DefaultConfig(), f.tls)
	}
}

// burst sends many large replies to each order.
type burst struct {
	echo
	queued chan struct{}
}

const burstReplies = 300

func (b burst) Order(s *Session, o *msg.Order) {
	defer close(b.queued)
	text := strings.Repeat("x", 8<<10)
	for range burstReplies {
		s.Reply(&msg.Reply{ID: o.ID, Ticket: &msg.Ticket{Ticket: text}})
	}
}

// slowReplyHandler counts replies, each after a delay.
type slowReplyHandler struct {
	got  atomic.Int64
	lost chan struct{}
}

func (r *slowReplyHandler) Reply(*msg.Reply) {
	time.Sleep(time.Millisecond)
	r.got.Add(1)
}

func (r *slowReplyHandler) Lost(bool, error) { close(r.lost) }

// TestCloseDeliversQueuedReplies guards against the loss of queued replies when an agent
// stops after its last response, while the entry is slow to read.
func TestCloseDeliversQueuedReplies(t *testing.T) {
	authority, err := keys.NewAuthority(time.Hour)
	assert.NilError(t, err)
	agent, dialer := issueCredentials(t, authority, keys.RoleAgent), issueCredentials(t, authority, keys.RoleEntry)
	b := burst{queued: make(chan struct{})}
	server, err := Listen("127.0.0.1:0", agent.ServerConfig(keys.RoleEntry), DefaultConfig(), b)
	assert.NilError(t, err)
	pool := NewPool(DefaultConfig(), func() *tls.Config { return dialer.ClientConfig(keys.RoleAgent) })
	defer pool.Close()
	conn, err := pool.Conn(context.Background(), server.Address())
	assert.NilError(t, err)
	r := &slowReplyHandler{lost: make(chan struct{})}
	_, err = conn.Send(ticketOrder("a"), r)
	assert.NilError(t, err)
	<-b.queued
	server.Close()
	<-r.lost
	assert.Equal(t, r.got.Load(), int64(burstReplies))
}
