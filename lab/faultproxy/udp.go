package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxPacketLen bounds the UDP payload, in bytes.
const maxPacketLen = 64 * 1024

// UDP is a proxy that forwards UDP packets to a target. Each client address and
// port is a flow with its own socket towards the target. UDP is safe for concurrent use.
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

// udpFlow forwards packets between one client and the target.
type udpFlow struct {
	client        netip.AddrPort
	upstream      *net.UDPConn
	queues        [2]chan packet
	blackholed    chan struct{}
	blackholeOnce sync.Once
}

func (f *udpFlow) source() netip.Addr { return f.client.Addr().Unmap() }

// packet is one payload with the time at which it is sent.
type packet struct {
	payload []byte
	due     time.Time
}

// NewUDP starts a proxy to target on a free loopback port.
func NewUDP(target string, seed uint64) (*UDP, error) {
	return StartUDP(Options{Target: target, Seed: seed})
}

// StartUDP starts a proxy. Close stops it.
func StartUDP(o Options) (*UDP, error) {
	target, err := net.ResolveUDPAddr("udp", o.Target)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve target address %q", o.Target)
	}
	listen, err := net.ResolveUDPAddr("udp", o.listen())
	if err != nil {
		return nil, errors.Wrapf(err, "resolve listen address %q", o.Listen)
	}
	conn, err := net.ListenUDP("udp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for UDP proxy")
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

// Set replaces the faults for all clients.
func (p *UDP) Set(f Faults) { p.state.set(f) }

// SetBySource replaces the faults, which may differ between client addresses.
func (p *UDP) SetBySource(f func(source netip.Addr) Faults) { p.state.setFor(f) }

// Traffic returns the packets and payload bytes delivered so far in both directions.
func (p *UDP) Traffic() (packets, bytes uint64) { return p.packets.Load(), p.bytes.Load() }

// BlackholeExisting drops all further packets of the existing flows. A client can
// open a new flow from another port.
func (p *UDP) BlackholeExisting() { p.BlackholeMatching(func(netip.Addr) bool { return true }) }

// BlackholeMatching is BlackholeExisting for the clients that match.
func (p *UDP) BlackholeMatching(of func(source netip.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		if of(f.source()) {
			f.blackholeOnce.Do(func() { close(f.blackholed) })
		}
	}
}

// Close stops the proxy and waits for its goroutines.
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
			if p.isClosed() {
				return
			}
			continue
		}
		if f := p.flow(client); f != nil {
			p.enqueue(f, toTarget, buf[:n])
		}
	}
}

func (p *UDP) isClosed() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// flow returns the flow of a client, opened if needed, or nil if it cannot be opened.
func (p *UDP) flow(client netip.AddrPort) *udpFlow {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.flows[client]; f != nil || p.isClosed() {
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
	f := &udpFlow{client: client, upstream: upstream, blackholed: make(chan struct{})}
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
		// An ICMP "port unreachable" surfaces as a read error and does not end the flow.
		if p.isClosed() || errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// enqueue applies loss, duplication, reordering and delay to a packet.
func (p *UDP) enqueue(f *udpFlow, d direction, payload []byte) {
	faults, _ := p.state.get(f.source())
	select {
	case <-f.blackholed:
		return
	default:
	}
	if faults.cut(d) || p.state.roll(faults.Loss) {
		return
	}
	copies := 1
	if p.state.roll(faults.Duplicate) {
		copies = 2
	}
	pkt := packet{payload: append([]byte{}, payload...), due: time.Now().Add(faults.Delay)}
	for range copies {
		if p.state.roll(faults.Reorder) {
			p.sendReordered(f, d, pkt)
			continue
		}
		select {
		case f.queues[d] <- pkt:
		default: // drop the packet when the queue is full, as a router does
		}
	}
}

// sendReordered sends a packet late, so that later packets overtake it.
func (p *UDP) sendReordered(f *udpFlow, d direction, pkt packet) {
	p.wg.Go(func() {
		if sleep(p.done, time.Until(pkt.due)+reorderDelay) {
			p.deliver(f, d, pkt)
		}
	})
}

// send delivers the queued packets of one direction in order, each when it is due.
func (p *UDP) send(f *udpFlow, d direction) {
	for {
		select {
		case pkt := <-f.queues[d]:
			if !sleep(p.done, time.Until(pkt.due)) {
				return
			}
			p.deliver(f, d, pkt)
		case <-p.done:
			return
		}
	}
}

func (p *UDP) deliver(f *udpFlow, d direction, pkt packet) {
	if !p.state.waitWhile(p.done, f.source(), func(faults Faults) bool { return faults.Freeze }) {
		return
	}
	select {
	case <-f.blackholed:
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
