package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/dial"
)

// chunkLen is the size of the read buffer of a TCP connection, in bytes.
const chunkLen = 32 * 1024

// TCP is a proxy that forwards TCP connections to a target. It is safe for concurrent use.
type TCP struct {
	opt      Options
	listener net.Listener
	state    *state
	done     chan struct{}
	wg       sync.WaitGroup

	mu    sync.Mutex // guards the fields below
	flows map[*tcpFlow]struct{}
}

// tcpFlow is one forwarded connection.
type tcpFlow struct {
	source         netip.Addr
	client, target net.Conn
	blackholed     chan struct{}
	blackholeOnce  sync.Once
	closed         chan struct{}
	closeOnce      sync.Once
}

// NewTCP starts a proxy to target on a free loopback port.
func NewTCP(target string, seed uint64) (*TCP, error) {
	return StartTCP(Options{Target: target, Seed: seed})
}

// StartTCP starts a proxy. Close stops it.
func StartTCP(o Options) (*TCP, error) {
	l, err := net.Listen("tcp", o.listen())
	if err != nil {
		return nil, errors.Wrap(err, "listen for TCP proxy")
	}
	p := &TCP{
		opt: o, listener: l, state: newState(o.Seed),
		done: make(chan struct{}), flows: make(map[*tcpFlow]struct{}),
	}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr returns the address to connect to.
func (p *TCP) Addr() string { return p.listener.Addr().String() }

// Set replaces the faults for all clients.
func (p *TCP) Set(f Faults) { p.state.set(f) }

// SetBySource replaces the faults, which may differ between client addresses.
func (p *TCP) SetBySource(f func(source netip.Addr) Faults) { p.state.setFor(f) }

// ResetMatching resets the open connections of the clients that match.
func (p *TCP) ResetMatching(of func(source netip.Addr) bool) {
	for _, f := range p.openFlows() {
		if of(f.source) {
			f.reset()
		}
	}
}

// BlackholeExisting drops all further data of the open connections, which stay
// open. New connections work.
func (p *TCP) BlackholeExisting() { p.BlackholeMatching(func(netip.Addr) bool { return true }) }

// BlackholeMatching is BlackholeExisting for the clients that match.
func (p *TCP) BlackholeMatching(of func(source netip.Addr) bool) {
	for _, f := range p.openFlows() {
		if of(f.source) {
			f.blackholeOnce.Do(func() { close(f.blackholed) })
		}
	}
}

// CloseExisting closes the open connections on both sides.
func (p *TCP) CloseExisting() {
	for _, f := range p.openFlows() {
		f.close()
	}
}

// Close stops the proxy, closes its connections and waits for its goroutines.
func (p *TCP) Close() {
	close(p.done)
	_ = p.listener.Close()
	p.CloseExisting()
	p.wg.Wait()
}

func (p *TCP) openFlows() []*tcpFlow {
	p.mu.Lock()
	defer p.mu.Unlock()
	flows := make([]*tcpFlow, 0, len(p.flows))
	for f := range p.flows {
		flows = append(flows, f)
	}
	return flows
}

func (p *TCP) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(conn) })
	}
}

func (p *TCP) serve(client net.Conn) {
	source := sourceOf(client.RemoteAddr())
	if faults, _ := p.state.get(source); faults.Refuse {
		reset(client)
		return
	}
	var d dial.Config
	if p.opt.KeepSource {
		d.Source = source
	}
	target, err := d.Dialer().Dial("tcp", p.opt.Target)
	if err != nil {
		reset(client)
		return
	}
	f := &tcpFlow{source: source, client: client, target: target, blackholed: make(chan struct{}), closed: make(chan struct{})}
	p.mu.Lock()
	p.flows[f] = struct{}{}
	p.mu.Unlock()
	select {
	case <-p.done:
		f.close()
	default:
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copyDirection(f, client, target, toTarget) })
	wg.Go(func() { p.copyDirection(f, target, client, toClient) })
	wg.Wait()
	f.close()
	p.mu.Lock()
	delete(p.flows, f)
	p.mu.Unlock()
}

// copyDirection copies one direction until EOF or an error, which it propagates.
func (p *TCP) copyDirection(f *tcpFlow, from, to net.Conn, d direction) {
	buf := make([]byte, chunkLen)
	for {
		n, err := from.Read(buf)
		if !p.forward(f, to, buf[:n], d, err == io.EOF) {
			return
		}
		if err != nil {
			if err != io.EOF {
				f.reset() // propagates the error to the other side
			}
			return
		}
	}
}

// forward writes one chunk, and EOF after the last. It returns false once the flow is closed.
func (p *TCP) forward(f *tcpFlow, to net.Conn, chunk []byte, d direction, last bool) bool {
	faults, _ := p.state.get(f.source)
	if !sleep(f.closed, faults.Delay) {
		return false
	}
	if !p.state.waitWhile(f.closed, f.source, func(faults Faults) bool { return faults.Freeze || faults.cut(d) }) {
		return false
	}
	select {
	case <-f.blackholed:
		if last {
			<-f.closed
		}
		return true
	default:
	}
	if _, err := to.Write(chunk); err != nil {
		f.close()
		return false
	}
	if last {
		closeWrite(to)
	}
	return true
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (f *tcpFlow) reset() {
	f.closeOnce.Do(func() {
		close(f.closed)
		reset(f.client)
		reset(f.target)
	})
}

func (f *tcpFlow) close() {
	f.closeOnce.Do(func() {
		close(f.closed)
		_ = f.client.Close()
		_ = f.target.Close()
	})
}
