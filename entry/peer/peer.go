// Package peer carries control messages between entries over QUIC links.
package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// Caller calls other entries over pooled links. It implements transport.Caller.
type Caller struct {
	pool *link.Pool
}

// NewCaller returns a Caller that dials through pool.
func NewCaller(p *link.Pool) *Caller { return &Caller{pool: p} }

var _ transport.Caller = (*Caller)(nil)

// Call implements transport.Caller.
func (c *Caller) Call(ctx context.Context, address string, payload []byte) ([]byte, error) {
	conn, err := c.pool.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := conn.Call(ctx, &msg.Order{Peer: &msg.Peer{Payload: payload}})
	if err != nil {
		return nil, errors.Wrapf(err, "call entry at %s", address)
	}
	if reply.Peer == nil {
		return nil, errors.Newf("entry at %s sent an empty reply", address)
	}
	if reply.Peer.Error != "" {
		return nil, &transport.RemoteError{Address: address, Message: reply.Peer.Error}
	}
	return reply.Peer.Payload, nil
}

// Abandon implements transport.Caller.
func (c *Caller) Abandon(address string) { c.pool.Abandon(address) }

const (
	// handleTimeout bounds the handling of one call.
	handleTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the calls that are handled at the same time.
	maxConcurrentCalls = 256
)

// Server answers the calls of other entries. It implements link.Handler.
type Server struct {
	handle transport.Handler
	events func(*msg.EventsOrder) *msg.Events
	slots  chan struct{}
}

// NewServer returns a Server that passes calls to handle and time line queries
// to events.
func NewServer(handle transport.Handler, events func(*msg.EventsOrder) *msg.Events) *Server {
	return &Server{handle: handle, events: events, slots: make(chan struct{}, maxConcurrentCalls)}
}

// Incarnation implements link.Handler. Entries have none.
func (*Server) Incarnation() id.Incarnation { return "" }

// Closed implements link.Handler.
func (*Server) Closed(*link.Session) {}

// Order implements link.Handler.
func (s *Server) Order(session *link.Session, o *msg.Order) {
	switch {
	case o.Events != nil:
		session.Reply(&msg.Reply{ID: o.ID, Events: s.events(o.Events)})
	case o.Peer != nil:
		s.serve(session, o)
	}
}

// serve handles a call on its own goroutine, or rejects it if too many are in progress.
func (s *Server) serve(session *link.Session, o *msg.Order) {
	select {
	case s.slots <- struct{}{}:
	default:
		session.Reply(&msg.Reply{ID: o.ID, Peer: &msg.Peer{Error: "too many calls"}})
		return
	}
	go func() {
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), handleTimeout)
		defer cancel()
		payload, err := s.handle(ctx, o.Peer.Payload)
		answer := &msg.Peer{Payload: payload}
		if err != nil {
			answer = &msg.Peer{Error: err.Error()}
		}
		session.Reply(&msg.Reply{ID: o.ID, Peer: answer})
	}()
}
