package intake

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int32

const (
	// head is the time from the first byte of a request, or the accept, to its handler.
	head phase = iota
	// body is the time in which a handler reads a body.
	body
	// running is the time in which a handler works.
	running
	// after is the time between the handler's return and the next request.
	after
	// idle is the time without a request, after one.
	idle
)

const (
	// headFactor is the memory of a parsed head relative to its bytes: a field of 4 bytes takes more than 100.
	headFactor = 32
	// fieldBytes is the memory of a field in a parsed head, beside its bytes.
	fieldBytes = 120
	// headCopies is the number of copies of a head, one of them for the endpoint.
	headCopies = 2
	// writeStep bounds the bytes of one write, so that a slow reader's progress is seen.
	writeStep = 64 << 10
	// headSlack is what is read with a head beyond its limit: the server's buffer, and what it allows beyond the limit.
	headSlack = 8 << 10
	// refusalRetryAfter is the Retry-After of a head without room, in seconds.
	refusalRetryAfter = "0.300"
	// refusalWriteTime bounds the write of a refusal, which fits the socket's buffer.
	refusalWriteTime = 100 * time.Millisecond
)

// Conn is a connection of a Listener. The methods that account for a request must be called by its handler. A
// nil Conn has no limits.
type Conn struct {
	net.Conn
	listener *Listener
	// bytes counts what was read and written, phases the changes of phase.
	bytes   atomic.Int64
	phases  atomic.Int64
	phase   atomic.Int32
	writing atomic.Bool
	evicted atomic.Bool
	// held are the bytes held by the connection, headHeld those for its head.
	held, headHeld atomic.Int64
	// onEvict replaces the close of the connection while a body is read.
	onEvict atomic.Pointer[func()]
	closed  atomic.Bool

	// The following are guarded by Listener.mu. since is when the last progress was seen, with the counters at that
	// time. movedAt is when a write was last seen to go on or to end.
	since, movedAt        time.Time
	markBytes, markPhases int64
	movedBytes            int64
}

type contextKey struct{}

// WithConn returns a context of the connection's requests.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, own)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Read implements net.Conn. Bytes of a head are accounted for.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n <= 0 {
		return n, err
	}
	c.bytes.Add(int64(n))
	if p := phase(c.phase.Load()); p == head || p == idle {
		c.setPhase(head)
		size := int64(n) * headFactor
		if limit := c.listener.maxHead.Load(); limit > 0 && c.headHeld.Load()+size > (limit+headSlack)*headFactor {
			return 0, c.refuse("431 Request Header Fields Too Large", "")
		}
		if !c.hold(size, false) {
			return 0, c.refuse("503 Service Unavailable", "Retry-After: "+refusalRetryAfter+"\r\n")
		}
		c.headHeld.Add(size)
	}
	return n, err
}

// refuse answers a request whose head is not complete, and returns the error that ends its connection. All earlier
// requests of the connection have their answers.
func (c *Conn) refuse(status, field string) error {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime)) // Fails if the connection is closed.
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\n"+field+"Content-Length: 0\r\nConnection: close\r\n\r\n")
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	for {
		n, err := c.Conn.Write(b[:min(len(b), writeStep)])
		c.bytes.Add(int64(n))
		written += n
		if b = b[n:]; err != nil || len(b) == 0 {
			return written, err
		}
	}
}

// CloseWrite closes the writing side, by which a server ends a connection in good order.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The server calls it when the connection's goroutine ends.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.listener.account.Release(c.held.Swap(0))
		c.listener.remove(c)
	}
	return err
}

// evict ends the request of a stalled connection, or the connection. What it holds is free when its goroutine ends.
func (c *Conn) evict() {
	c.evicted.Store(true)
	if f := c.onEvict.Load(); f != nil {
		(*f)()
		return
	}
	_ = c.Conn.Close()
}

func (c *Conn) setPhase(p phase) {
	if phase(c.phase.Swap(int32(p))) != p {
		c.phases.Add(1)
	}
}

func (c *Conn) hold(n int64, large bool) bool {
	if !c.listener.account.acquire(n, large, c) {
		return false
	}
	c.held.Add(n)
	return true
}

// Begin accounts for a request whose head is parsed, and reports whether there is room for it. End must be called
// when its handler returns.
func (c *Conn) Begin(header map[string][]string) bool {
	if c == nil {
		return true
	}
	c.setPhase(running)
	size := int64(0)
	for name, values := range header {
		size += fieldBytes + int64(len(name))
		for _, v := range values {
			size += int64(len(v))
		}
	}
	size *= headCopies
	// The part for the head is released first: the head is in memory already.
	c.Release(c.headHeld.Swap(0))
	return c.hold(size, false)
}

// End ends what Begin began.
func (c *Conn) End() {
	if c != nil {
		c.setPhase(after)
		c.Release(c.held.Load())
	}
}

// Crowded reports whether others wait for the connection's place. It should end with its request then: requests sent
// ahead would keep it for as long as they last.
func (c *Conn) Crowded() bool { return c != nil && c.listener.full() }

// Idle notes that the connection waits for its next request.
func (c *Conn) Idle() {
	if c != nil {
		c.setPhase(idle)
	}
}

// BeginBody notes that the handler reads a body. If the connection has to make room, evict is called instead of
// closing it; it must not block. End the body with EndBody.
func (c *Conn) BeginBody(evict func()) {
	if c != nil {
		c.onEvict.Store(&evict)
		c.setPhase(body)
	}
}

// EndBody notes that the body was read or given up.
func (c *Conn) EndBody() {
	if c != nil {
		c.setPhase(running)
		c.onEvict.Store(nil)
	}
}

// Acquire holds n bytes more for the request until its end, and reports whether there is room.
func (c *Conn) Acquire(n int64) bool {
	return c == nil || c.hold(n, c.held.Load()+n > smallHolding)
}

// Release ends the holding of n bytes before the request's end.
func (c *Conn) Release(n int64) {
	if c == nil || n == 0 || c.closed.Load() {
		return // Close released everything.
	}
	c.held.Add(-n)
	c.listener.account.Release(n)
}
