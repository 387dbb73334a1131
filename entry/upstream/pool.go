package upstream

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/siskinford/siskinford/core/dial"
)

// Config holds the settings of a Pool.
type Config struct {
	// Address is the endpoint's "ip:port". Required.
	Address string
	// DialTimeout bounds the time to connect. Default: 200 ms, several times
	// the latency between regions.
	DialTimeout time.Duration
	// MaxConns limits the open connections. Zero means no limit.
	MaxConns int
	// Dial connects to an address. Default: TCP with keep-alive probes each second.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	defaultDialTimeout = 200 * time.Millisecond
	// defaultIdleTimeout applies if the endpoint announces no idle timeout. It is short
	// because Keep-Alive cannot announce timeouts below a second.
	defaultIdleTimeout = 400 * time.Millisecond
	// idleMargin is subtracted from the announced idle timeout for the time that a
	// request is in flight.
	idleMargin = 300 * time.Millisecond
	// probeInterval is the time between keep-alive probes. A connection is closed
	// after probeCount probes without an answer.
	probeInterval = time.Second
	probeCount    = 3
)

// ErrTooManyConns reports that Config.MaxConns is reached.
var ErrTooManyConns = errors.New("too many connections to the endpoint")

// Pool holds the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu     sync.Mutex // leaf lock
	idle   []*conn    // least recently used first
	open   int
	dials  uint64
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = TCPDialer(netip.Addr{})
	}
	return &Pool{cfg: cfg}
}

// TCPDialer returns a Config.Dial that opens TCP connections from a local address, or
// from the operating system's choice if source is invalid.
func TCPDialer(source netip.Addr) func(ctx context.Context, address string) (net.Conn, error) {
	d := dial.Config{Source: source, KeepAliveInterval: probeInterval, KeepAliveProbes: probeCount}.Dialer()
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// Do sends r over a pooled connection, or over a new one if fresh is true or none is
// idle, and returns the response head. The error is a *NotSentError if no byte of r
// was sent, and otherwise the cause of ctx's end or a fault of the connection or the
// response.
func (p *Pool) Do(ctx context.Context, r *Request, fresh bool) (*Exchange, error) {
	c, err := p.get(ctx, fresh)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	return c.do(ctx, r)
}

// Probe opens and closes a connection. The error tells why there was none.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.cfg.Dial(ctx, p.cfg.Address)
	if err != nil {
		return err
	}
	return c.Close()
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes the idle connections and those that become idle later. Exchanges in
// progress continue.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections, which may be broken if another one failed.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Conn.Close()
	}
}

func (p *Pool) get(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(time.Now()); c != nil {
			return c, nil
		}
	}
	if err := p.reserve(); err != nil {
		return nil, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(dialCtx, p.cfg.Address)
	if err != nil {
		p.release()
		return nil, errors.Wrapf(err, "connect to %s", p.cfg.Address)
	}
	data := dial.NewEndConn(nc)
	head := &headLimiter{Reader: data}
	return &conn{Conn: nc, data: data, pool: p, br: bufio.NewReaderSize(head, readBufferBytes), head: head}, nil
}

// takeIdle returns the most recently used idle connection that is usable and closes
// those that are not.
func (p *Pool) takeIdle(now time.Time) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleTimeout && dial.IsIdle(c.Conn) {
			return c
		}
		p.discard(c)
	}
}

func (p *Pool) reserve() error {
	p.mu.Lock()
	if p.cfg.MaxConns > 0 && p.open >= p.cfg.MaxConns && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		defer func() { _ = oldest.Conn.Close() }()
	}
	defer p.mu.Unlock()
	if p.cfg.MaxConns > 0 && p.open >= p.cfg.MaxConns {
		return ErrTooManyConns
	}
	p.open++
	p.dials++
	return nil
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) put(c *conn, announced time.Duration) {
	c.idleSince, c.idleTimeout, c.used = time.Now(), defaultIdleTimeout, true
	if announced > 0 {
		c.idleTimeout = announced - idleMargin
	}
	p.mu.Lock()
	keep := !p.closed && c.idleTimeout > 0
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

func (p *Pool) discard(c *conn) {
	_ = c.Conn.Close()
	p.release()
}

// Sweep closes connections that exceeded their idle timeout. A timer calls it.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= c.idleTimeout {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}
