package upstream

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/siskinford/siskinford/core/dial"
)

// Config holds the settings of a Pool.
type Config struct {
	// Address is the endpoint's "ip:port". Required.
	Address string
	// DialTimeout bounds the time to connect. Default: 200 ms, several times the
	// way between regions.
	DialTimeout time.Duration
	// MaxConns bounds the open connections. Zero means no bound.
	MaxConns int
	// Dial connects to an address. Default: TCP with keep-alive probes each second.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	defaultDialTimeout = 200 * time.Millisecond
	// silentIdle is the time for which a connection is kept whose endpoint does
	// not announce an idle timeout; those with timeouts below a second cannot.
	silentIdle = 400 * time.Millisecond
	// idleMargin is subtracted from the announced idle timeout for the time that
	// a request is on its way.
	idleMargin = 300 * time.Millisecond
	// probeInterval is the time between keep-alive probes, three of which end a
	// connection that went silent.
	probeInterval = time.Second
	probeCount    = 3
)

// ErrTooManyConns reports that the pool's bound of connections is reached.
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

// TCPDialer returns a Dial for Config that opens connections from an address of this
// host, or from the operating system's choice.
func TCPDialer(source netip.Addr) func(ctx context.Context, address string) (net.Conn, error) {
	d := dial.Config{Source: source, ProbeInterval: probeInterval, ProbeCount: probeCount}.Dialer()
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// Do sends r over a kept or a fresh connection and returns the head of the
// answer. A fresh one is used if fresh is true. The error is a *NotSentError if
// no byte of r has left, and otherwise the cause of ctx's end or what was wrong
// with the connection or the answer.
func (p *Pool) Do(ctx context.Context, r *Request, fresh bool) (*Exchange, error) {
	c, err := p.get(ctx, fresh)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	return c.do(ctx, r)
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes the idle connections and keeps none any more. Exchanges under way
// go on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections, which may share the fate of one that failed.
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
		if c := p.take(time.Now()); c != nil {
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
	return &conn{Conn: nc, pool: p, br: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// take returns the most recently used idle connection that is fit for use and
// closes those that are not.
func (p *Pool) take(now time.Time) *conn {
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
		if now.Sub(c.idleSince) < c.idleFor && quiet(c.Conn) {
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
	c.idleSince, c.idleFor, c.used = time.Now(), silentIdle, true
	if announced > 0 {
		c.idleFor = announced - idleMargin
	}
	p.mu.Lock()
	keep := !p.closed && c.idleFor > 0
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

// Sweep closes connections that have been idle for too long. A timer calls it.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= c.idleFor {
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

// quiet reports whether an idle connection is open and holds no bytes, which
// would belong to no request.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var waiting bool
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && waiting
}
