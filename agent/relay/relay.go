// Package relay implements the server that runs on the host of a rank of a group. It
// polls the rank's engine on behalf of entries and forwards their orders to it, over
// loopback instead of the network.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/wire/relay"
)

const (
	// callTimeout bounds the calls of one poll or order, most of which stay on the host.
	callTimeout = 500 * time.Millisecond
	// minPollInterval bounds the rate at which an entry may have the engine polled.
	minPollInterval = 5 * time.Millisecond
	// minLayoutInterval bounds the rate at which an entry may have an unchanged layout read again.
	minLayoutInterval = 200 * time.Millisecond
	// resendPolls is the number of polls after which an unchanged state is sent again,
	// within minResendInterval and maxResendInterval.
	resendPolls       = 3
	minResendInterval = 200 * time.Millisecond
	maxResendInterval = time.Second
	// changeWindow is the time after an order during which the rank is polled at the
	// change interval. Changes of maps take 150 ms, most of it to copy weights.
	changeWindow = 500 * time.Millisecond
	// maxLineBytes bounds a message from an entry. A map of 72 ranks with 12 sets takes 20 KB.
	maxLineBytes = 1 << 20
	// writeTimeout closes a connection whose peer no longer reads.
	writeTimeout = 2 * time.Second
	// keepAliveInterval is the time between TCP keep-alive probes of an idle connection.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Server serves entries. It must be created by New.
type Server struct {
	engine relay.Engine
	// newClient returns a client for the rank at an address.
	newClient func(address string) relay.Engine
	// Report logs an event for operators. It must not block.
	Report func(event string, err error)
	intake *intake

	mu      sync.Mutex // leaf lock
	clients map[string]relay.Engine
}

// maxClients bounds the cached clients for other ranks. Few are in use at a time: each
// lease has one rank that holds steps.
const maxClients = 8

// New returns a server for an engine. Orders with an address are sent through the client
// that newClient returns for it.
func New(e relay.Engine, newClient func(address string) relay.Engine, report func(event string, err error)) *Server {
	return &Server{engine: e, newClient: newClient, clients: make(map[string]relay.Engine), intake: newIntake(Limits{}), Report: report}
}

// SetLimits bounds what the server holds for its connections. It must be called before Listen. Default: no bounds.
func (s *Server) SetLimits(l Limits) { s.intake = newIntake(l) }

// Listen accepts connections at an address until ctx ends. Then it reads no more orders, and returns
// once the entries have the results of those that it has read.
func (s *Server) Listen(ctx context.Context, address string) error {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if victim := s.intake.add(c, time.Now()); victim != nil {
			_ = victim.Close()
			s.Report("entry.displaced", nil)
			time.Sleep(acceptInterval)
		}
		sessions.Go(func() { s.serve(ctx, c) })
	}
}

// session is the connection of one entry.
type session struct {
	server *Server
	conn   net.Conn

	mu sync.Mutex // guards writes

	watches chan relay.Watch
	// ordered signals the sampler that an order was received.
	ordered chan struct{}
	// switchedAt is when the last order to hold or switch a step was received, in nanoseconds since
	// the Unix epoch.
	switchedAt atomic.Int64
	// orders counts the orders whose result has not been sent, places bounds them.
	orders sync.WaitGroup
	places chan struct{}
}

func (s *Server) serve(stop context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	defer s.intake.remove(c)
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(stop, func() { _ = c.SetReadDeadline(time.Now()) })() // Fails if closed.
	s.Report("entry.connected", nil)
	x := &session{server: s, conn: c, watches: make(chan relay.Watch, 1), ordered: make(chan struct{}, 1), places: make(chan struct{}, maxOrders)}
	go x.runSampler(ctx)
	err := x.readMessages(ctx)
	if stop.Err() != nil {
		x.orders.Wait() // Each is bounded by callTimeout.
	}
	s.Report("entry.disconnected", err)
}

// readMessages handles messages until the connection ends.
func (x *session) readMessages(ctx context.Context) error {
	lines := newLineReader(x.conn, x.server.intake)
	defer lines.release()
	for {
		line, err := lines.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var m relay.ToRelay
		if err := json.Unmarshal(line, &m); err != nil {
			return err
		}
		x.server.intake.note(x.conn, time.Now())
		switch {
		case m.Order != nil:
			if m.Order.Op != relay.Prepare {
				x.switchedAt.Store(time.Now().UnixNano())
			}
			select {
			case x.ordered <- struct{}{}:
			default: // A signal is already pending.
			}
			x.places <- struct{}{} // Orders are bounded by callTimeout.
			x.orders.Go(func() {
				defer func() { <-x.places }()
				x.handleOrder(ctx, *m.Order)
			})
		case m.Watch != nil:
			select {
			case <-x.watches: // Replace an earlier watch that the sampler has not received.
			default:
			}
			x.watches <- *m.Watch
		}
	}
}

func (x *session) handleOrder(ctx context.Context, o relay.Order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := x.server.execute(ctx, o)
	r.ID = o.ID
	x.send(relay.FromRelay{Result: &r})
}

func (s *Server) execute(ctx context.Context, o relay.Order) relay.Result {
	switch {
	case o.Op == relay.Ping:
		return relay.Result{Outcome: relay.Done}
	case o.Address != "":
		return s.clientFor(o.Address).Order(ctx, o)
	}
	return s.engine.Order(ctx, o)
}

// clientFor returns the cached client for an address, or a new one.
func (s *Server) clientFor(address string) relay.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.clients[address]; e != nil {
		return e
	}
	if len(s.clients) >= maxClients {
		clear(s.clients)
	}
	e := s.newClient(address)
	s.clients[address] = e
	return e
}

// send writes a message as one line, and closes the connection if that fails.
func (x *session) send(m relay.FromRelay) {
	line, err := json.Marshal(m)
	if err != nil {
		x.server.Report("message.not_encoded", err)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	err = errors.Join(
		x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)),
		writeAll(x.conn, append(line, '\n')),
	)
	if err != nil {
		_ = x.conn.Close()
	}
}

func writeAll(c net.Conn, b []byte) error {
	_, err := c.Write(b)
	return err
}
