package intake

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptInterval is the time between searches for a connection to close while a listener is full.
	acceptInterval = 20 * time.Millisecond
	// acceptStallTime is the time without progress after which a connection may be closed for one that waits in the
	// backlog. It is short because ordinary callers wait there behind a crowd.
	acceptStallTime = 100 * time.Millisecond
	// reserveDivisor is the part of the connections that is kept free, or about to be, by closing stalled ones. A
	// connection whose body is refused takes some 300 ms to end, so this part of them ends in that time.
	reserveDivisor = 8
	// progressBytes is the number of bytes that counts as progress.
	progressBytes = 512
	// connBytes is what a connection without a request counts in the choice of the one to close: its goroutine
	// and its buffers.
	connBytes = 8 << 10
	// unreadAnswerTime is the time after which an answer of which nothing is read ends with its connection, also in
	// calm. It is twice the idle timeout that the operators configure.
	unreadAnswerTime = 30 * time.Second
)

// Listener bounds the connections of a listener and accounts for what they hold.
type Listener struct {
	net.Listener
	account *Account
	limit   int
	// maxHead is the limit on the bytes of a head, zero for none.
	maxHead atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// freed has a value after a connection ended.
	freed  chan struct{}
	closed chan struct{}
	once   sync.Once

	// lastSearch is the time of the last search for stalled connections; used by Accept only.
	lastSearch time.Time
}

// Listen bounds a listener by the account's share for its kind.
func (a *Account) Listen(inner net.Listener, k Kind) *Listener {
	l := &Listener{
		Listener: inner, account: a, limit: a.connections(k), conns: make(map[*Conn]struct{}),
		freed: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	a.mu.Lock()
	a.listeners = append(a.listeners, l)
	a.mu.Unlock()
	a.cfg.Metrics.GetOrCreateGauge(`siskinford_intake_connections{kind="`+string(k)+`"}`, func() float64 { return float64(l.count()) })
	a.cfg.Metrics.GetOrCreateGauge(`siskinford_intake_connections_limit{kind="`+string(k)+`"}`, func() float64 { return float64(l.limit) })
	return l
}

// full reports whether new connections have to wait.
func (l *Listener) full() bool { return l.limit > 0 && l.count() >= l.limit }

// SetMaxHead limits the bytes of a request's head. Zero means no limit.
func (l *Listener) SetMaxHead(n int64) { l.maxHead.Store(n) }

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Accept implements net.Listener. While few places are free, it closes stalled connections. While the listener is full,
// new ones wait in the backlog of the operating system.
func (l *Listener) Accept() (net.Conn, error) {
	if now := time.Now(); l.limit > 0 && l.count() >= l.limit-l.reserve() && now.Sub(l.lastSearch) >= acceptInterval {
		l.makeRoom(now)
	}
	for l.full() {
		l.makeRoom(time.Now())
		select {
		case <-l.freed:
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptInterval):
		}
	}
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, listener: l, since: time.Now()}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// reserve returns the number of places that are kept free by closing stalled connections.
func (l *Listener) reserve() int { return l.limit / reserveDivisor }

// makeRoom closes the connections that hold most for longest, until the reserve is free or about to be. It closes one
// that is idle after a request only if the listener is full and no other is about to end.
func (l *Listener) makeRoom(now time.Time) {
	l.lastSearch = now
	found, _ := l.candidates(nil, now, acceptStallTime)
	l.mu.Lock()
	open, ending := len(l.conns), 0
	for c := range l.conns {
		if c.evicted.Load() {
			ending++
		}
	}
	l.mu.Unlock()
	slices.SortFunc(found, candidate.compare)
	for _, c := range found {
		if c.idle && (open < l.limit || ending > 0) {
			return
		}
		if ending > 0 && open-ending <= l.limit-l.reserve() {
			return
		}
		c.conn.evict()
		l.account.closedDescriptors.Inc()
		ending++
	}
}

// candidates appends the connections that may be closed for others, without progress for a time. ending are the bytes held by those that were
// closed and have not ended.
func (l *Listener) candidates(found []candidate, now time.Time, stall time.Duration) (out []candidate, ending int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.evicted.Load() {
			ending += c.held.Load()
			continue
		}
		c.noteProgress(now)
		stalled := now.Sub(c.since)
		p := phase(c.phase.Load())
		if p == running && !c.writing.Load() || stalled < stall {
			continue
		}
		found = append(found, candidate{conn: c, idle: p == idle, score: float64(connBytes+c.held.Load()) * stalled.Seconds()})
	}
	return found, ending
}

// sweep notes which connections progressed and returns the number of those that it closed.
func (l *Listener) sweep(now time.Time) (closed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.noteProgress(now)
		if bytes := c.bytes.Load(); bytes != c.movedBytes || !c.writing.Load() || c.movedAt.IsZero() {
			c.movedBytes, c.movedAt = bytes, now
		}
		if now.Sub(c.movedAt) > unreadAnswerTime && !c.evicted.Load() {
			c.evict()
			closed++
		}
	}
	return closed
}

// noteProgress moves the time of the last progress if there was any since. The caller must hold Listener.mu.
func (c *Conn) noteProgress(now time.Time) {
	bytes, phases := c.bytes.Load(), c.phases.Load()
	if bytes-c.markBytes >= progressBytes || phases != c.markPhases {
		c.since, c.markBytes, c.markPhases = now, bytes, phases
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default: // A value is already there.
	}
}
