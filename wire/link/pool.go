package link

import (
	"context"
	"crypto/tls"
	"sync"

	"golang.org/x/sync/singleflight"
)

// Pool keeps one live connection per address. It is safe for concurrent use.
type Pool struct {
	config Config
	tls    func() *tls.Config
	dials  singleflight.Group
	// ctx cancels dials in progress when the pool is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// mu is a leaf lock.
	mu           sync.Mutex
	conns        map[string]*Conn
	endedTraffic Traffic
	closed       bool
}

// NewPool returns a pool. Each dial uses the configuration that tls returns.
func NewPool(c Config, tls func() *tls.Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{config: c, tls: tls, ctx: ctx, cancel: cancel, conns: make(map[string]*Conn)}
}

// Existing returns the live connection to address, or nil.
func (p *Pool) Existing(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[address]
}

// Conn returns the live connection to address, or dials one. It blocks up to the dial
// timeout.
func (p *Pool) Conn(ctx context.Context, address string) (*Conn, error) {
	if c := p.Existing(address); c != nil {
		return c, nil
	}
	result := p.dials.DoChan(address, func() (any, error) { return p.dial(address) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*Conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Pool) dial(address string) (*Conn, error) {
	if c := p.Existing(address); c != nil {
		return c, nil
	}
	c, err := dial(p.ctx, address, p.tls(), p.config)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		go c.Close()
		return nil, ErrClosed
	}
	p.conns[address] = c
	go p.removeWhenDone(c)
	return c, nil
}

func (p *Pool) removeWhenDone(c *Conn) {
	<-c.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedTraffic.add(c.traffic())
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
}

// Abandon closes the connection to address, if any, so that the next Conn dials. It
// does not block.
func (p *Pool) Abandon(address string) {
	p.mu.Lock()
	c := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if c != nil {
		go c.Close()
	}
}

// Close closes all connections and cancels dials.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = make(map[string]*Conn)
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}
