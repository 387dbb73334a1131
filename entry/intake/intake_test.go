package intake

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pipe accepts one connection of a listener and returns both ends.
func pipe(t *testing.T, l *Listener) (own *Conn, client net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	c, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*Conn), client
}

func listen(t *testing.T, a *Account, k Kind) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := a.Listen(inner, k)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// stall makes connections look as if they had not progressed for a time.
func stall(d time.Duration, conns ...*Conn) {
	for _, c := range conns {
		c.listener.mu.Lock()
		c.noteProgress(time.Now())
		c.since = c.since.Add(-d)
		c.listener.mu.Unlock()
	}
}

// TestStalledBodyMakesRoom guards against a full account that refuses everyone while stalled bodies hold it, and
// against the loss of a request that waits for its endpoint.
func TestStalledBodyMakesRoom(t *testing.T) {
	a := New(Config{MemoryBytes: 64 << 20})
	l := listen(t, a, Clients)
	waiting, _ := pipe(t, l)
	stalled, _ := pipe(t, l)
	newcomer, _ := pipe(t, l)
	for _, c := range []*Conn{waiting, stalled, newcomer} {
		assert.Assert(t, c.Begin(nil))
	}
	assert.Assert(t, waiting.Acquire(4<<20))
	stalled.BeginBody(func() { stalled.Release(stalled.held.Load()) })
	assert.Assert(t, stalled.Acquire(7<<20))
	assert.Assert(t, !newcomer.Acquire(4<<20), "the body is not stalled yet")
	stall(time.Minute, waiting, stalled)
	assert.Assert(t, newcomer.Acquire(4<<20))
	assert.Assert(t, stalled.evicted.Load())
	assert.Assert(t, !waiting.evicted.Load())
	for _, c := range []*Conn{waiting, stalled, newcomer} {
		c.End()
	}
	assert.Equal(t, a.Used(), int64(0))
}

// TestLargeBodiesLeaveRoomForSmallOnes guards against large bodies that run and leave no room for ordinary requests.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	a := New(Config{MemoryBytes: 64 << 20})
	l := listen(t, a, Clients)
	large, _ := pipe(t, l)
	small, _ := pipe(t, l)
	assert.Assert(t, large.Begin(nil) && small.Begin(nil))
	for large.Acquire(1 << 20) {
	}
	assert.Assert(t, small.Acquire(smallHolding))
}

// TestFullListenerClosesStalledFirst guards against a crowd that holds all places of a listener, and against the
// close of connections in use while it does.
func TestFullListenerClosesStalledFirst(t *testing.T) {
	l := listen(t, New(Config{MaxDescriptors: 44}), Clients)
	l.limit = 2
	used, _ := pipe(t, l)
	assert.Assert(t, used.Begin(nil))
	silent, _ := pipe(t, l)
	stall(time.Minute, used, silent)
	go func() { // The server's part: it closes what it cannot read from.
		_, _ = io.Copy(io.Discard, silent)
		_ = silent.Close()
	}()
	pipe(t, l)
	assert.Assert(t, silent.evicted.Load())
	assert.Assert(t, !used.evicted.Load())
}

// TestIdleIsClosedAfterUnfinished guards against the close of an ordinary caller's kept connection while one
// that never finished a request is there.
func TestIdleIsClosedAfterUnfinished(t *testing.T) {
	l := listen(t, New(Config{}), Clients)
	kept, _ := pipe(t, l)
	assert.Assert(t, kept.Begin(nil))
	kept.End()
	kept.Idle()
	unfinished, _ := pipe(t, l)
	stall(time.Hour, kept)
	stall(time.Second, unfinished)
	l.makeRoom(time.Now())
	assert.Assert(t, unfinished.evicted.Load())
	assert.Assert(t, !kept.evicted.Load())
}

// TestHeadOverLimitIsRefused guards against heads whose parsed fields take many times their bytes.
func TestHeadOverLimitIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		cfg     Config
		maxHead int64
		status  string
	}{
		"over the limit":    {Config{}, 1 << 10, "HTTP/1.1 431 "},
		"no room is left":   {Config{MemoryBytes: 64 << 20}, 0, "HTTP/1.1 503 "},
		"within the limits": {Config{MemoryBytes: 512 << 20}, 1 << 20, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(c.cfg)
			l := listen(t, a, Clients)
			l.SetMaxHead(c.maxHead)
			own, client := pipe(t, l)
			go func() {
				_, _ = client.Write([]byte(strings.Repeat("x", 600<<10)))
				_ = client.(*net.TCPConn).CloseWrite()
			}()
			n, err := io.Copy(io.Discard, own)
			assert.NilError(t, err) // A refusal ends in io.EOF, too.
			assert.Equal(t, n == 600<<10, c.status == "")
			_, _ = io.Copy(io.Discard, own.Conn)
			assert.NilError(t, own.Close())
			answer, err := io.ReadAll(client)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(answer), c.status), "%q", answer)
			assert.Equal(t, a.Used(), int64(0))
		})
	}
}

// TestGateBoundsConnections guards against connections to endpoints that take the descriptors of the process.
func TestGateBoundsConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = inner.Close() }()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	asked := 0
	g := New(Config{MaxDescriptors: 40}).NewGate(dial, func() { asked++ })
	g.limit = 1
	c, err := g.Dial(t.Context(), inner.Addr().String())
	assert.NilError(t, err)
	_, err = g.Dial(t.Context(), inner.Addr().String())
	assert.ErrorIs(t, err, ErrDescriptors)
	assert.Equal(t, asked, 1)
	assert.NilError(t, c.Close())
	_ = c.Close()
	c, err = g.Dial(t.Context(), inner.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	assert.Equal(t, g.open.Load(), int64(0))
}

// TestSharesFitLimit guards against shares that exceed the descriptors of the host, also of small ones.
func TestSharesFitLimit(t *testing.T) {
	for _, most := range []int{64, 160, 4100, 10660} {
		a := New(Config{MaxDescriptors: most})
		sum := 0
		for k := range descriptorShares {
			sum += a.connections(k)
		}
		assert.Assert(t, sum+ownDescriptors <= most, "%d of %d", sum, most)
	}
}

// TestOneLargeBodyFits guards against an account so small that a single body inside the limits is refused in calm.
func TestOneLargeBodyFits(t *testing.T) {
	const body = 4 << 20 // maxBodyBytes of today's configuration.
	for _, memory := range []int64{1, 184 << 20} {
		c, _ := pipe(t, listen(t, New(Config{MemoryBytes: memory}), Clients))
		assert.Assert(t, c.Begin(nil))
		held := int64(0)
		for size := int64(4 << 10); size <= body; size *= 2 {
			assert.Assert(t, c.Acquire(size), "%d bytes", size)
			c.Release(held)
			held = size
		}
		c.End()
	}
}
