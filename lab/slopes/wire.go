package slopes

import (
	"context"
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timer"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/lab/faultproxy"
	"github.com/siskinford/siskinford/wire/codec"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// packetHeaders is the size of the IPv4 and UDP headers in bytes.
const packetHeaders = 28

// wireInterval is the interval between heartbeats and between reports.
const wireInterval = 100 * time.Millisecond

// benchHost is the identity in the certificate of both ends.
const benchHost id.Host = "entry-001"

// responder replies to peer orders with their payload and streams sample reports.
type responder struct{}

// Order implements link.Handler.
func (*responder) Order(s *link.Session, o *msg.Order) {
	switch {
	case o.Peer != nil:
		s.Reply(&msg.Reply{ID: o.ID, Peer: &msg.Peer{Payload: o.Peer.Payload}})
	case o.Reports != nil:
		go sendReports(s, o.ID, time.Duration(o.Reports.IntervalMicros)*time.Microsecond)
	}
}

// sendReports sends load reports at an interval until the session ends.
func sendReports(s *link.Session, order uint64, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.Done():
			return
		}
		r := sampleReport(0)
		s.Reply(&msg.Reply{ID: order, Report: &r})
	}
}

// Closed implements link.Handler.
func (*responder) Closed(*link.Session) {}

// Incarnation implements link.Handler.
func (*responder) Incarnation() id.Incarnation { return "inc_0123456789abcdef0123456789abcdef" }

// wireBench is a connection through a proxy that counts its packets.
type wireBench struct {
	server *link.Server
	proxy  *faultproxy.UDP
	pool   *link.Pool
	conn   *link.Conn
}

func newWireBench(ctx context.Context, c Config, l link.Config) (*wireBench, error) {
	authority, err := keys.NewAuthority(time.Hour)
	if err != nil {
		return nil, err
	}
	issued, err := authority.Issue(keys.RoleEntry, benchHost, time.Hour)
	if err != nil {
		return nil, err
	}
	credentials, err := keys.New(issued)
	if err != nil {
		return nil, err
	}
	b := &wireBench{}
	b.server, err = link.Listen("127.0.0.1:0", credentials.ServerConfig(keys.RoleEntry), l, &responder{})
	if err != nil {
		return nil, err
	}
	b.proxy, err = faultproxy.NewUDP(b.server.Address(), c.Seed)
	if err != nil {
		b.server.Close()
		return nil, err
	}
	b.pool = link.NewPool(l, func() *tls.Config { return credentials.ClientConfig(keys.RoleEntry) })
	b.conn, err = b.pool.Conn(ctx, b.proxy.Addr())
	if err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *wireBench) close() {
	b.pool.Close()
	b.server.Close()
	b.proxy.Close()
}

// wireLoad uses a connection for a duration and returns the number of operations.
type wireLoad func(context.Context, *wireBench, time.Duration) (int, error)

// measureWire measures calls, reports, and idle and new connections.
func measureWire(ctx context.Context, c Config, r *Result) error {
	quiet := link.DefaultConfig()
	quiet.ProbeInterval = time.Hour
	quiet.SilenceTimeout = 2 * time.Hour
	quiet.IdleTimeout = time.Hour
	rows := []struct {
		what string
		link link.Config
		load wireLoad
	}{
		{"call with a heartbeat each way", quiet, wireHeartbeats},
		{"load report", quiet, wireReports},
		{"second of an idle connection with probes", link.DefaultConfig(), wireIdle},
		{"second of an idle connection without probes", quiet, wireIdle},
		{"new connection with its first call", quiet, wireDial},
	}
	for _, row := range rows {
		w, err := wireRow(ctx, c, row.link, row.load)
		if err != nil {
			return err
		}
		w.Operation = row.what
		r.Wire = append(r.Wire, w)
	}
	return nil
}

func wireRow(ctx context.Context, c Config, l link.Config, load wireLoad) (WireCost, error) {
	b, err := newWireBench(ctx, c, l)
	if err != nil {
		return WireCost{}, err
	}
	defer b.close()
	if err := b.warmUp(ctx); err != nil {
		return WireCost{}, err
	}
	packets, bytes := b.proxy.Traffic()
	cpu := processorTime()
	n, err := load(ctx, b, c.Window)
	if err != nil {
		return WireCost{}, err
	}
	packetsAfter, bytesAfter := b.proxy.Traffic()
	w := WireCost{Count: n}
	w.Packets = float64(packetsAfter-packets) / float64(n)
	w.Bytes = float64(bytesAfter-bytes)/float64(n) + w.Packets*packetHeaders
	w.CPU = millis((processorTime() - cpu) / time.Duration(n))
	return w, nil
}

// warmUp waits until the handshake's packets have been exchanged.
func (b *wireBench) warmUp(ctx context.Context) error {
	if _, err := b.conn.Call(ctx, &msg.Order{Peer: &msg.Peer{}}); err != nil {
		return err
	}
	return timer.Sleep(ctx, handshakeTime)
}

// handshakeTime covers the trailing packets of a handshake.
const handshakeTime = 300 * time.Millisecond

func wireHeartbeats(ctx context.Context, b *wireBench, window time.Duration) (int, error) {
	payload, err := codec.Marshal([]member.Message{sampleHeartbeat()})
	if err != nil {
		return 0, err
	}
	n := 0
	for end := time.Now().Add(window); time.Now().Before(end); n++ {
		if _, err := b.conn.Call(ctx, &msg.Order{Peer: &msg.Peer{Payload: payload}}); err != nil {
			return 0, err
		}
		if err := timer.Sleep(ctx, wireInterval); err != nil {
			return 0, err
		}
	}
	return n, nil
}

// replyCounter counts the replies to an order.
type replyCounter struct{ replies atomic.Int64 }

// Reply implements link.ReplyHandler.
func (c *replyCounter) Reply(*msg.Reply) { c.replies.Add(1) }

// Lost implements link.ReplyHandler.
func (*replyCounter) Lost(bool, error) {}

func wireReports(ctx context.Context, b *wireBench, window time.Duration) (int, error) {
	var received replyCounter
	call, err := b.conn.Send(&msg.Order{Reports: &msg.ReportsOrder{IntervalMicros: wireInterval.Microseconds()}}, &received)
	if err != nil {
		return 0, err
	}
	defer call.Release()
	err = timer.Sleep(ctx, window)
	return max(1, int(received.replies.Load())), err
}

// wireDials is the number of connections that wireDial opens in sequence.
const wireDials = 20

func wireDial(ctx context.Context, b *wireBench, _ time.Duration) (int, error) {
	for range wireDials {
		b.pool.Abandon(b.proxy.Addr())
		conn, err := b.pool.Conn(ctx, b.proxy.Addr())
		if err != nil {
			return 0, err
		}
		b.conn = conn
		if err := b.warmUp(ctx); err != nil {
			return 0, err
		}
	}
	return wireDials, nil
}

func wireIdle(ctx context.Context, _ *wireBench, window time.Duration) (int, error) {
	return max(1, int(window/time.Second)), timer.Sleep(ctx, window)
}
