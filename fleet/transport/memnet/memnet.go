// Package memnet is an in-memory transport for tests and measurements that simulates
// seeded loss, delay, partitions, paused nodes and black-holed connections.
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

// Config holds the properties that all links of a network share.
type Config struct {
	// Seed determines which messages are lost.
	Seed uint64
	// Loss is the probability that a message is lost. Range: 0 to 1.
	Loss float64
	// Delay is the one-way delay of each message.
	Delay time.Duration
}

// link is an ordered pair of addresses.
type link struct{ from, to string }

// conn is the state of the current connection of a link.
type conn struct {
	messages   uint64 // messages on the link so far, on all its connections
	blackholed bool
}

// Network connects nodes by address. It is safe for concurrent use.
type Network struct {
	seed  uint64
	delay time.Duration

	mu        sync.Mutex // guards all fields below; never held while a handler runs
	loss      float64
	nodes     map[string]*Node
	conns     map[link]*conn
	partition func(from, to string) bool
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

// Node is a simulated process. It implements transport.Caller.
type Node struct {
	net     *Network
	address string

	sent, received, calls atomic.Uint64

	mu      sync.Mutex // guards the fields below; taken after Network.mu
	handler transport.Handler
	killed  bool
	resume  chan struct{} // not nil while the node is paused; closed at the end of the pause
}

// Traffic counts the calls and payload bytes of a node.
type Traffic struct {
	// Calls is the number of calls that the node made.
	Calls uint64
	// Sent and Received are the payload bytes of requests and answers.
	Sent, Received uint64
}

// Join adds a node and replaces a previous node with the same address.
func (n *Network) Join(address string) *Node {
	node := &Node{net: n, address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
	return node
}

// SetLoss changes Config.Loss.
func (n *Network) SetLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

// Partition drops all messages for which cut returns true. Nil heals the network.
func (n *Network) Partition(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = cut
}

// Blackhole drops all messages on the current connections between two addresses,
// until the calling side of each abandons it.
func (n *Network) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conn(link{a, b}).blackholed = true
	n.conn(link{b, a}).blackholed = true
}

func (n *Network) conn(l link) *conn {
	c := n.conns[l]
	if c == nil {
		c = &conn{}
		n.conns[l] = c
	}
	return c
}

// delivers reports whether the network delivers the next message, a request or its
// answer, on the connection from caller to callee. Loss depends only on the seed,
// the link and the number of the message on the link.
func (n *Network) delivers(caller, callee string, answer bool) bool {
	l := link{caller, callee}
	if answer {
		l = link{callee, caller}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conn(l)
	c.messages++
	if n.partition != nil && n.partition(l.from, l.to) {
		return false
	}
	if n.conn(link{caller, callee}).blackholed {
		return false
	}
	h := xxhash.Sum64String(fmt.Sprintf("%d %s %s %d", n.seed, l.from, l.to, c.messages))
	return float64(h>>11)/(1<<53) >= n.loss
}

// Serve sets the handler of the node. Earlier calls to the node are lost.
func (d *Node) Serve(h transport.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = h
}

// Kill stops the node permanently: calls to it are lost and its own fail.
func (d *Node) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = true
}

// Pause stops the node until Resume. Messages are held meanwhile.
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

// Paused reports whether the node is paused or killed. Loops that drive its process
// must stop while it returns true.
func (d *Node) Paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killed || d.resume != nil
}

// Traffic returns the node's counters.
func (d *Node) Traffic() Traffic {
	return Traffic{Calls: d.calls.Load(), Sent: d.sent.Load(), Received: d.received.Load()}
}

// errKilled is returned by calls of a killed node.
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
	callee, handler, err := d.deliverRequest(ctx, address)
	if err != nil {
		return nil, err
	}
	callee.received.Add(uint64(len(payload)))
	answer, handlerErr := handler(context.WithoutCancel(ctx), payload)
	callee.sent.Add(uint64(len(answer)))
	if !d.net.delivers(d.address, address, true) {
		return nil, awaitTimeout(ctx)
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

// deliverRequest simulates the delivery of a request and returns the callee and its
// handler.
func (d *Node) deliverRequest(ctx context.Context, address string) (*Node, transport.Handler, error) {
	if !d.net.delivers(d.address, address, false) {
		return nil, nil, awaitTimeout(ctx)
	}
	if err := d.net.wait(ctx); err != nil {
		return nil, nil, err
	}
	d.net.mu.Lock()
	callee := d.net.nodes[address]
	d.net.mu.Unlock()
	if callee == nil {
		return nil, nil, awaitTimeout(ctx)
	}
	handler, err := callee.awaitRunning(ctx)
	if errors.Is(err, errKilled) || (err == nil && handler == nil) {
		return nil, nil, awaitTimeout(ctx)
	}
	return callee, handler, err
}

// Abandon implements transport.Caller.
func (d *Node) Abandon(address string) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	d.net.conn(link{d.address, address}).blackholed = false
}

func awaitTimeout(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (n *Network) wait(ctx context.Context) error {
	if n.delay == 0 {
		return nil
	}
	return timer.Sleep(ctx, n.delay)
}
