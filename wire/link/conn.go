package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/siskinford/siskinford/wire/codec"
	"github.com/siskinford/siskinford/wire/msg"
)

// ReplyHandler receives the replies to an order. Its methods must not block, as Reply is
// called on the reader goroutine of the connection.
type ReplyHandler interface {
	// Reply is called for each reply to the order.
	Reply(r *msg.Reply)
	// Lost is called once if the connection ends before the call is released.
	// Sent is false only if no byte of the order can have been sent.
	Lost(sent bool, cause error)
}

// ErrClosed reports a connection that was closed locally.
var ErrClosed = errors.New("connection was closed")

// SilentError reports a connection on which probes were not answered.
type SilentError struct {
	Address string
	Silence time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("connection to %s was silent for %v", e.Address, e.Silence)
}

// Conn is the client side of a connection. It is safe for concurrent use.
type Conn struct {
	address string
	config  Config
	quic    *quic.Conn
	out     *outbox

	lastReceived atomic.Int64 // nanoseconds since started
	started      time.Time
	done         chan struct{}

	// mu is locked before outbox.mu. No ReplyHandler is called while it is held.
	mu     sync.Mutex
	nextID uint64
	calls  map[uint64]*Call
	// openCalls counts the calls but subscriptions; openSince is when the first of them
	// was sent.
	openCalls int
	openSince time.Time
	cause     error
}

// Call is an order whose replies are delivered until Release.
type Call struct {
	conn     *Conn
	id       uint64
	position uint64
	handler  ReplyHandler
	// subscription is true for a call that stays open without a reply being due.
	subscription bool
}

// dial connects to address from a new local port, to avoid the network path of an
// earlier connection that went silent.
func dial(ctx context.Context, address string, t *tls.Config, c Config) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	socket, err := listenUDP(net.JoinHostPort(c.LocalIP, "0"))
	if err != nil {
		return nil, errors.Wrapf(err, "open a socket for %s", address)
	}
	transport := &quic.Transport{Conn: socket}
	release := func() {
		_ = transport.Close()
		_ = socket.Close()
	}
	q, stream, err := openStream(ctx, transport, address, t, c)
	if err != nil {
		release()
		return nil, err
	}
	context.AfterFunc(q.Context(), release)
	conn := &Conn{
		address: address,
		config:  c,
		quic:    q,
		out:     newOutbox(c),
		started: time.Now(),
		done:    make(chan struct{}),
		calls:   make(map[uint64]*Call),
	}
	go func() { conn.end(conn.out.run(stream)) }()
	go func() { conn.end(conn.read(stream)) }()
	go conn.probeWhileSilent()
	return conn, nil
}

// openStream connects and opens the stream that carries all messages.
func openStream(ctx context.Context, transport *quic.Transport, address string, t *tls.Config, c Config) (*quic.Conn, *quic.Stream, error) {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "address %s", address)
	}
	q, err := transport.Dial(ctx, remote, t, c.quic())
	if err != nil {
		return nil, nil, errors.Wrapf(err, "connect to %s", address)
	}
	stream, err := q.OpenStreamSync(ctx)
	if err != nil {
		_ = q.CloseWithError(0, "")
		return nil, nil, errors.Wrapf(err, "open stream to %s", address)
	}
	return q, stream, nil
}

// Address returns the address that was dialed.
func (c *Conn) Address() string { return c.address }

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send queues an order and sets its ID. It does not wait for the peer. After an error
// no byte of the order was sent and h is not called.
func (c *Conn) Send(o *msg.Order, h ReplyHandler) (*Call, error) {
	call := &Call{conn: c, handler: h, subscription: o.Reports != nil}
	o.Stamp = c.config.stamp()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return nil, c.cause
	}
	c.nextID++
	o.ID = c.nextID
	call.id = o.ID
	position, err := c.out.enqueue(o)
	if err != nil {
		return nil, err
	}
	call.position = position
	c.registerCall(call)
	return call, nil
}

// registerCall requires c.mu.
func (c *Conn) registerCall(call *Call) {
	c.calls[call.id] = call
	if call.subscription {
		return
	}
	if c.openCalls == 0 {
		c.openSince = time.Now()
	}
	c.openCalls++
}

// Release ends the delivery of replies. It is idempotent.
func (c *Call) Release() {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	if _, ok := c.conn.calls[c.id]; !ok {
		return
	}
	delete(c.conn.calls, c.id)
	if !c.subscription {
		c.conn.openCalls--
	}
}

// Call sends an order and waits for its first reply.
func (c *Conn) Call(ctx context.Context, o *msg.Order) (*msg.Reply, error) {
	w := &singleReply{done: make(chan struct{})}
	call, err := c.Send(o, w)
	if err != nil {
		return nil, err
	}
	defer call.Release()
	select {
	case <-w.done:
		return w.reply, w.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close ends the connection. Handlers of open calls receive Lost.
func (c *Conn) Close() { c.end(ErrClosed) }

// end closes the connection once and notifies the handlers of open calls.
func (c *Conn) end(cause error) {
	if cause == nil {
		cause = ErrClosed
	}
	c.mu.Lock()
	if c.cause != nil {
		c.mu.Unlock()
		return
	}
	c.cause = cause
	calls := c.calls
	c.calls = make(map[uint64]*Call)
	c.mu.Unlock()

	c.out.close(cause)
	_ = c.quic.CloseWithError(0, "")
	close(c.done)
	for _, call := range calls {
		call.handler.Lost(c.out.maybeSent(call.position), cause)
	}
}

func (c *Conn) read(stream *quic.Stream) error {
	r := codec.NewReader(stream)
	for {
		reply := new(msg.Reply)
		if err := r.Next(reply); err != nil {
			return err
		}
		c.lastReceived.Store(int64(time.Since(c.started)))
		c.config.observe(reply.Stamp)
		if h := c.handlerOf(reply.ID); h != nil {
			h.Reply(reply)
		}
	}
}

func (c *Conn) handlerOf(id uint64) ReplyHandler {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.calls[id]; ok {
		return call.handler
	}
	return nil
}

// probeWhileSilent probes a silent connection and closes it if the silence lasts.
func (c *Conn) probeWhileSilent() {
	ticker := time.NewTicker(c.config.ProbeInterval)
	defer ticker.Stop()
	var lastProbe time.Time
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		interval, timeout, silence := c.liveness(now)
		if silence > timeout {
			c.end(&SilentError{Address: c.address, Silence: silence})
			return
		}
		if silence > interval && now.Sub(lastProbe) >= interval {
			lastProbe = now
			_, _ = c.out.enqueue(&msg.Order{Probe: &msg.Probe{}})
		}
	}
}

// liveness returns the applicable bounds and the time without any message, which
// while calls are open does not count from before the first of them.
func (c *Conn) liveness(now time.Time) (interval, timeout, silence time.Duration) {
	silence = now.Sub(c.started) - time.Duration(c.lastReceived.Load())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCalls == 0 {
		return c.config.IdleProbeInterval, c.config.IdleSilenceTimeout, silence
	}
	return c.config.ProbeInterval, c.config.SilenceTimeout, min(silence, now.Sub(c.openSince))
}

// singleReply is a ReplyHandler that keeps the first reply.
type singleReply struct {
	once  sync.Once
	done  chan struct{}
	reply *msg.Reply
	err   error
}

func (w *singleReply) Reply(r *msg.Reply) { w.resolve(r, nil) }

func (w *singleReply) Lost(_ bool, cause error) { w.resolve(nil, cause) }

func (w *singleReply) resolve(r *msg.Reply, err error) {
	w.once.Do(func() {
		w.reply, w.err = r, err
		close(w.done)
	})
}
