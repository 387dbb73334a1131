// Package memnet is a transport inside one process with seeded loss, delay,
// cuts, paused nodes and silent connections, for tests and measurements.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/transport"
)

// Config holds the properties of all links of a network.
type Config struct {
	// Seed selects which messages are lost.
	Seed uint64
	// Loss is the share of messages that are lost in each direction. Range: 0 to 1.
	Loss float64
	// Delay is the one-way delay of each message.
	Delay time.Duration
}

// link is a direction between two addresses.
type link struct{ from, to string }

// conn is the state of the current connection of a link.
type conn struct {
	messages uint64 // messages on the link so far, over all connections
	silent   bool
}

// Network connects nodes by address. It is safe for concurrent use.
type Network struct {
	seed  uint64
	delay time.Duration

	mu    sync.Mutex // guards all fields below; never held while a handler runs
	loss  float64
	nodes map[string]*Node
	conns map[link]*conn
	cut   func(from, to string) bool
}

// New returns a network without nodes.
func New(c Config) *Network {
	return &Network{
		seed:  c.Seed,
		delay: c.Delay,
		loss:  c.Loss,
		nodes: make(map[string]*Node),
		conns: make(map[link]*conn),
	}
}

// Node is one process of the network. It implements transport.Caller.
type Node struct {
	net     *Network
	address string

	sent, received, calls atomic.Uint64

	mu      sync.Mutex // guards the fields below; taken after Network.mu
	handler transport.Handler
	killed  bool
	resume  chan struct{} // not nil while the node is paused; closed at the end of the pause
}

// Traffic counts the messages and payload bytes of a node in both directions.
type Traffic struct {
	// Calls is the number of calls that the node made.
	Calls uint64
	// Sent and Received are bytes of requests and answers.
	Sent, Received uint64
}

// Join adds a node, replacing any node that had the address before.
func (n *Network) Join(address string) *Node {
	node := &Node{net: n, address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
	return node
}

// SetLoss changes the share of messages that are lost in each direction.
func (n *Network) SetLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

// Partition drops all messages for which cut returns true. A nil cut heals the network.
func (n *Network) Partition(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Blackhole drops all messages between two addresses in both directions until
// the calling side abandons its connection.
func (n *Network) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conn(link{a, b}).silent = true
	n.conn(link{b, a}).silent = true
}

func (n *Network) conn(l link) *conn {
	c := n.conns[l]
	if c == nil {
		c = &conn{}
		n.conns[l] = c
	}
	return c
}

// delivers decides the fate of the next message of a call made over the
// connection from caller to callee. Loss depends only on the seed, the link and
// the number of the message on the link.
func (n *Network) delivers(caller, callee string, answer bool) bool {
	l := link{caller, callee}
	if answer {
		l = link{callee, caller}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conn(l)
	c.messages++
	if n.cut != nil && n.cut(l.from, l.to) {
		return false
	}
	if n.conn(link{caller, callee}).silent {
		return false
	}
	h := xxhash.Sum64String(fmt.Sprintf("%d %s %s %d", n.seed, l.from, l.to, c.messages))
	return float64(h>>11)/(1<<53) >= n.loss
}

// Serve sets the handler of the node. Calls before it are lost.
func (d *Node) Serve(h transport.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = h
}

// Kill stops the node for good: all calls to it and from it are lost.
func (d *Node) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = true
}

// Pause stops the node until Resume. Messages wait meanwhile.
func (d *Node) Pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resume == nil {
		d.resume = make(chan struct{})
	}
}

// Resume ends a pause.
func (d *Node) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resume != nil {
		close(d.resume)
		d.resume = nil
	}
}

// Paused reports whether the node is paused or was killed. Loops that drive the
// process of the node stop while it returns true.
func (d *Node) Paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killed || d.resume != nil
}

// Traffic returns the node's counts so far.
func (d *Node) Traffic() Traffic {
	return Traffic{Calls: d.calls.Load(), Sent: d.sent.Load(), Received: d.received.Load()}
}

// errKilled ends the calls of a node that was killed.
var errKilled = errors.New("node was killed")

// awaitRunning blocks while the node is paused.
func (d *Node) awaitRunning(ctx context.Context) (transport.Handler, error) {
	for {
		d.mu.Lock()
		handler, killed, resume := d.handler, d.killed, d.resume
		d.mu.Unlock()
		if killed {
			return nil, errKilled
		}
		if resume == nil {
			return handler, nil
		}
		select {
		case <-resume:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Call implements transport.Caller. A lost message blocks until ctx ends.
func (d *Node) Call(ctx context.Context, address string, payload []byte) ([]byte, error) {
	if _, err := d.awaitRunning(ctx); err != nil {
		return nil, err
	}
	d.calls.Add(1)
	d.sent.Add(uint64(len(payload)))
	callee, handler, err := d.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	callee.received.Add(uint64(len(payload)))
	answer, handlerErr := handler(context.WithoutCancel(ctx), payload)
	callee.sent.Add(uint64(len(answer)))
	if !d.net.delivers(d.address, address, true) {
		return nil, lost(ctx)
	}
	if err := d.net.wait(ctx); err != nil {
		return nil, err
	}
	if _, err := d.awaitRunning(ctx); err != nil {
		return nil, err
	}
	if handlerErr != nil {
		return nil, &transport.RemoteError{Address: address, Message: handlerErr.Error()}
	}
	d.received.Add(uint64(len(answer)))
	return answer, nil
}

// reach carries a request to the node at address and returns its handler.
func (d *Node) reach(ctx context.Context, address string) (*Node, transport.Handler, error) {
	if !d.net.delivers(d.address, address, false) {
		return nil, nil, lost(ctx)
	}
	if err := d.net.wait(ctx); err != nil {
		return nil, nil, err
	}
	d.net.mu.Lock()
	callee := d.net.nodes[address]
	d.net.mu.Unlock()
	if callee == nil {
		return nil, nil, lost(ctx)
	}
	handler, err := callee.awaitRunning(ctx)
	if errors.Is(err, errKilled) || (err == nil && handler == nil) {
		return nil, nil, lost(ctx)
	}
	return callee, handler, err
}

// Abandon implements transport.Caller.
func (d *Node) Abandon(address string) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	d.net.conn(link{d.address, address}).silent = false
}

func lost(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (n *Network) wait(ctx context.Context) error {
	if n.delay == 0 {
		return nil
	}
	return timer.Sleep(ctx, n.delay)
}
