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

// ReplyHandler receives what becomes of an order. Its methods are called on the
// reader goroutine of the connection and must not block.
type ReplyHandler interface {
	// Reply is called for each reply to the order.
	Reply(r *msg.Reply)
	// Lost is called once if the connection ends before the call is released.
	// Sent is false only if no byte of the order can have left this process.
	Lost(sent bool, cause error)
}

// ErrClosed is the cause of messages sent on a connection that was closed locally.
var ErrClosed = errors.New("connection was closed")

// SilentError reports a connection on which nothing arrived although it was probed.
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

	// mu is taken before outbox.mu. No Waiter is called while it is held.
	mu     sync.Mutex
	nextID uint64
	calls  map[uint64]*Call
	// open counts the calls that are no subscriptions; openSince is when the
	// first of them was sent.
	open      int
	openSince time.Time
	cause     error
}

// Call is an order that waits for replies.
type Call struct {
	conn     *Conn
	id       uint64
	position uint64
	waiter   ReplyHandler
	// subscription is true for a call that stays open without being waited for.
	subscription bool
}

// dial connects to address from a new local port, so that a path on which an
// older connection went silent is not used again.
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
	q, stream, err := open(ctx, transport, address, t, c)
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
	go conn.probe()
	return conn, nil
}

// open connects and opens the stream that carries all messages.
func open(ctx context.Context, transport *quic.Transport, address string, t *tls.Config, c Config) (*quic.Conn, *quic.Stream, error) {
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

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send queues an order and sets its ID. It does not wait for the peer. An error
// means that no byte of the order left; the waiter is then not called.
func (c *Conn) Send(o *msg.Order, w ReplyHandler) (*Call, error) {
	call := &Call{conn: c, waiter: w, subscription: o.Reports != nil}
	o.Stamp = c.config.stamp()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return nil, c.cause
	}
	c.nextID++
	o.ID = c.nextID
	call.id = o.ID
	position, err := c.out.put(o)
	if err != nil {
		return nil, err
	}
	call.position = position
	c.add(call)
	return call, nil
}

// add registers a call. The caller holds c.mu.
func (c *Conn) add(call *Call) {
	c.calls[call.id] = call
	if call.subscription {
		return
	}
	if c.open == 0 {
		c.openSince = time.Now()
	}
	c.open++
}

// Release stops the delivery of replies. It may be called several times.
func (c *Call) Release() {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	if _, ok := c.conn.calls[c.id]; !ok {
		return
	}
	delete(c.conn.calls, c.id)
	if !c.subscription {
		c.conn.open--
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

// Close ends the connection. Calls in progress are lost.
func (c *Conn) Close() { c.end(ErrClosed) }

// end closes the connection once and tells the waiters.
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
		call.waiter.Lost(c.out.sent(call.position), cause)
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
		if w := c.waiter(reply.ID); w != nil {
			w.Reply(reply)
		}
	}
}

func (c *Conn) waiter(id uint64) ReplyHandler {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.calls[id]; ok {
		return call.waiter
	}
	return nil
}

// probe verifies that messages still arrive and abandons the connection otherwise.
func (c *Conn) probe() {
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
			_, _ = c.out.put(&msg.Order{Probe: &msg.Probe{}})
		}
	}
}

// liveness returns the bounds in force and the time without any message. While
// calls are open the silence counts from the first of them at the earliest.
func (c *Conn) liveness(now time.Time) (interval, timeout, silence time.Duration) {
	silence = now.Sub(c.started) - time.Duration(c.lastReceived.Load())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		return c.config.IdleProbeInterval, c.config.IdleSilenceTimeout, silence
	}
	return c.config.ProbeInterval, c.config.SilenceTimeout, min(silence, now.Sub(c.openSince))
}

// singleReply is a Waiter for one reply.
type singleReply struct {
	once  sync.Once
	done  chan struct{}
	reply *msg.Reply
	err   error
}

func (w *singleReply) Reply(r *msg.Reply) { w.finish(r, nil) }

func (w *singleReply) Lost(_ bool, cause error) { w.finish(nil, cause) }

func (w *singleReply) finish(r *msg.Reply, err error) {
	w.once.Do(func() {
		w.reply, w.err = r, err
		close(w.done)
	})
}
