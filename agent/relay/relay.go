// Package relay runs beside an endpoint whose engine is a rank of a group. It
// samples the rank for the entries that ask and passes their orders on, so that
// both cost no way over the network.
package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/siskinford/siskinford/wire/relay"
)

const (
	// callTimeout bounds a question to the engine on the same host.
	callTimeout = 500 * time.Millisecond
	// minInterval bounds the rate at which a client lets the engine be asked.
	minInterval = 5 * time.Millisecond
	// repeatLooks is the number of looks after which a state is sent again, within
	// minRepeat and maxRepeat.
	repeatLooks = 3
	minRepeat   = 200 * time.Millisecond
	maxRepeat   = time.Second
	// changeTime is the time after an order for which the rank is looked at as
	// during a change. Changes of maps take 150 ms, most of it to copy weights.
	changeTime = 500 * time.Millisecond
	// maxLine bounds a message of an entry. A map of 72 ranks with 12 sets takes 20 KB.
	maxLine = 1 << 20
	// writeTimeout ends a connection whose other end no longer reads.
	writeTimeout = 2 * time.Second
	// keepAlive is the time between probes of a silent connection, three of which end it.
	keepAlive       = time.Second
	keepAliveProbes = 3
)

// Server serves entries. Use New.
type Server struct {
	engine relay.Engine
	// other returns a client for another rank.
	other func(address string) relay.Engine
	// Report is told of what an operator should see. It must not block.
	Report func(event string, err error)

	mu     sync.Mutex // leaf lock
	others map[string]relay.Engine
}

// maxOthers bounds the clients that are kept for other ranks. Few are in use: each
// lease has one rank that holds steps.
const maxOthers = 8

// New returns a server for an engine. Other returns a client for another rank, at which
// orders are carried out that name its address.
func New(e relay.Engine, other func(address string) relay.Engine, report func(event string, err error)) *Server {
	return &Server{engine: e, other: other, others: make(map[string]relay.Engine), Report: report}
}

// Listen accepts connections at an address until ctx ends.
func (s *Server) Listen(ctx context.Context, address string) error {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
	}}
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go s.serve(ctx, c)
	}
}

// session is the connection of one entry.
type session struct {
	server *Server
	conn   net.Conn

	mu sync.Mutex // guards writes

	watch chan relay.Watch
	// ordered tells the sampler that an order came.
	ordered chan struct{}
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	s.Report("entry.connected", nil)
	x := &session{server: s, conn: c, watch: make(chan relay.Watch, 1), ordered: make(chan struct{}, 1)}
	go x.sample(ctx)
	s.Report("entry.disconnected", x.read(ctx))
}

// read handles messages until the connection ends.
func (x *session) read(ctx context.Context) error {
	lines := bufio.NewScanner(x.conn)
	lines.Buffer(make([]byte, 0, 2048), maxLine)
	for lines.Scan() {
		var m relay.ToRelay
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return err
		}
		switch {
		case m.Order != nil:
			select {
			case x.ordered <- struct{}{}:
			default: // It was told and has not looked yet.
			}
			go x.order(ctx, *m.Order)
		case m.Watch != nil:
			select {
			case <-x.watch: // An earlier one that was not taken yet is replaced.
			default:
			}
			x.watch <- *m.Watch
		}
	}
	return lines.Err()
}

func (x *session) order(ctx context.Context, o relay.Order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := x.server.carryOut(ctx, o)
	r.ID = o.ID
	x.send(relay.FromRelay{Result: &r})
}

func (s *Server) carryOut(ctx context.Context, o relay.Order) relay.Result {
	switch {
	case o.Op == relay.Ping:
		return relay.Result{Outcome: relay.Done}
	case o.Address != "":
		return s.at(o.Address).Order(ctx, o)
	}
	return s.engine.Order(ctx, o)
}

// at returns the client for another rank.
func (s *Server) at(address string) relay.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.others[address]; e != nil {
		return e
	}
	if len(s.others) >= maxOthers {
		clear(s.others)
	}
	e := s.other(address)
	s.others[address] = e
	return e
}

// send writes one line. A connection that cannot be written to is closed.
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
