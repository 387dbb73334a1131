package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxPacketLen is the largest UDP payload. Unit: bytes.
const maxPacketLen = 64 * 1024

// UDP forwards UDP packets to a target. A flow is a client's address and port,
// with a port of the proxy's own towards the target. It is safe for concurrent use.
type UDP struct {
	opt    Options
	target *net.UDPAddr
	conn   *net.UDPConn
	state  *state
	done   chan struct{}
	wg     sync.WaitGroup

	packets, bytes atomic.Uint64 // delivered in both directions

	mu    sync.Mutex // guards the fields below; the state's lock may be taken under it
	flows map[netip.AddrPort]*udpFlow
}

// udpFlow is one client's exchange with the target.
type udpFlow struct {
	client   netip.AddrPort
	upstream *net.UDPConn
	queues   [2]chan packet
	silent   chan struct{}
	silence  sync.Once
}

func (f *udpFlow) source() netip.Addr { return f.client.Addr().Unmap() }

// packet is one payload and the time at which it is due.
type packet struct {
	payload []byte
	due     time.Time
}

// NewUDP listens on a free loopback port and forwards to target.
func NewUDP(target string, seed uint64) (*UDP, error) {
	return StartUDP(Options{Target: target, Seed: seed})
}

// StartUDP starts a proxy.
func StartUDP(o Options) (*UDP, error) {
	target, err := net.ResolveUDPAddr("udp", o.Target)
	if err != nil {
		return nil, errors.Wrapf(err, "target %q of the proxy", o.Target)
	}
	listen, err := net.ResolveUDPAddr("udp", o.listen())
	if err != nil {
		return nil, errors.Wrapf(err, "address %q of the proxy", o.Listen)
	}
	conn, err := net.ListenUDP("udp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "proxy cannot listen")
	}
	p := &UDP{
		opt: o, target: target, conn: conn, state: newState(o.Seed),
		done: make(chan struct{}), flows: make(map[netip.AddrPort]*udpFlow),
	}
	p.wg.Go(p.receive)
	return p, nil
}

// Addr returns the address to send to.
func (p *UDP) Addr() string { return p.conn.LocalAddr().String() }

// Set replaces the faults.
func (p *UDP) Set(f Faults) { p.state.set(f) }

// SetBySource replaces the faults by those of each client's address.
func (p *UDP) SetBySource(f func(source netip.Addr) Faults) { p.state.setFor(f) }

// Traffic returns the packets and payload bytes delivered so far, both
// directions together.
func (p *UDP) Traffic() (packets, bytes uint64) { return p.packets.Load(), p.bytes.Load() }

// BlackholeExisting drops the packets of the present flows for good. A client
// gets through again from another port.
func (p *UDP) BlackholeExisting() { p.BlackholeMatching(func(netip.Addr) bool { return true }) }

// BlackholeMatching is BlackholeExisting for the flows of some clients.
func (p *UDP) BlackholeMatching(of func(source netip.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		if of(f.source()) {
			f.silence.Do(func() { close(f.silent) })
		}
	}
}

// Close ends the proxy and waits for its goroutines.
func (p *UDP) Close() {
	close(p.done)
	_ = p.conn.Close()
	p.mu.Lock()
	for _, f := range p.flows {
		_ = f.upstream.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *UDP) receive() {
	buf := make([]byte, maxPacketLen)
	for {
		n, client, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if p.ended() {
				return
			}
			continue
		}
		if f := p.flow(client); f != nil {
			p.enqueue(f, toTarget, buf[:n])
		}
	}
}

func (p *UDP) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// flow returns the flow of a client and opens it if needed.
func (p *UDP) flow(client netip.AddrPort) *udpFlow {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.flows[client]; f != nil || p.ended() {
		return f
	}
	var from *net.UDPAddr
	if p.opt.KeepSource {
		from = net.UDPAddrFromAddrPort(netip.AddrPortFrom(client.Addr().Unmap(), 0))
	}
	upstream, err := net.DialUDP("udp", from, p.target)
	if err != nil {
		return nil
	}
	f := &udpFlow{client: client, upstream: upstream, silent: make(chan struct{})}
	f.queues = [2]chan packet{make(chan packet, queueLen), make(chan packet, queueLen)}
	p.flows[client] = f
	p.wg.Go(func() { p.receiveUpstream(f) })
	p.wg.Go(func() { p.send(f, toTarget) })
	p.wg.Go(func() { p.send(f, toClient) })
	return f
}

func (p *UDP) receiveUpstream(f *udpFlow) {
	buf := make([]byte, maxPacketLen)
	for {
		n, err := f.upstream.Read(buf)
		if err == nil {
			p.enqueue(f, toClient, buf[:n])
			continue
		}
		// An ICMP refusal is reported here and does not end the flow.
		if p.ended() || errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// enqueue applies the faults that drop, repeat or delay a packet.
func (p *UDP) enqueue(f *udpFlow, d direction, payload []byte) {
	faults, _ := p.state.get(f.source())
	select {
	case <-f.silent:
		return
	default:
	}
	if faults.cut(d) || p.state.hits(faults.Loss) {
		return
	}
	copies := 1
	if p.state.hits(faults.Duplicate) {
		copies = 2
	}
	pkt := packet{payload: append([]byte{}, payload...), due: time.Now().Add(faults.Delay)}
	for range copies {
		if p.state.hits(faults.Reorder) {
			p.sendLate(f, d, pkt)
			continue
		}
		select {
		case f.queues[d] <- pkt:
		default: // the queue is full, as a router's would be
		}
	}
}

// sendLate lets later packets overtake this one.
func (p *UDP) sendLate(f *udpFlow, d direction, pkt packet) {
	p.wg.Go(func() {
		if pause(p.done, time.Until(pkt.due)+reorderDelay) {
			p.deliver(f, d, pkt)
		}
	})
}

// send delivers the packets of one direction in order, each when it is due.
func (p *UDP) send(f *udpFlow, d direction) {
	for {
		select {
		case pkt := <-f.queues[d]:
			if !pause(p.done, time.Until(pkt.due)) {
				return
			}
			p.deliver(f, d, pkt)
		case <-p.done:
			return
		}
	}
}

func (p *UDP) deliver(f *udpFlow, d direction, pkt packet) {
	if !p.state.await(p.done, f.source(), func(faults Faults) bool { return faults.Freeze }) {
		return
	}
	select {
	case <-f.silent:
		return
	default:
	}
	p.packets.Add(1)
	p.bytes.Add(uint64(len(pkt.payload)))
	if d == toTarget {
		_, _ = f.upstream.Write(pkt.payload)
		return
	}
	_, _ = p.conn.WriteToUDPAddrPort(pkt.payload, f.client)
}
