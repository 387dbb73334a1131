package faultproxy_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/lab/faultproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	seed = 7
	// quiet is how long a test waits to see that nothing arrives.
	quiet = 50 * time.Millisecond
	// bound ends a read that should succeed.
	bound = 10 * time.Second
)

func tcpEcho(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func udpEcho(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = c.WriteTo(buf[:n], from)
		}
	}()
	return c.LocalAddr().String()
}

func dial(t *testing.T, network, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial(network, addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	assert.NilError(t, err)
}

func receives(t *testing.T, c net.Conn, want string) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(bound)))
	buf := make([]byte, len(want))
	_, err := io.ReadFull(c, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), want)
}

func receivesNothing(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(quiet)))
	n, err := c.Read(make([]byte, 1))
	assert.Equal(t, n, 0)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

func TestTCP(t *testing.T) {
	p, err := faultproxy.NewTCP(tcpEcho(t), seed)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c := dial(t, "tcp", p.Addr())
	send(t, c, "plain")
	receives(t, c, "plain")
	for _, f := range []faultproxy.Faults{{CutToTarget: true}, {CutToClient: true}, {Freeze: true}} {
		p.Set(f)
		send(t, c, "held")
		receivesNothing(t, c)
		p.Set(faultproxy.Faults{Delay: time.Millisecond})
		receives(t, c, "held")
	}
	p.SilenceExisting()
	send(t, c, "lost")
	receivesNothing(t, c)
	fresh := dial(t, "tcp", p.Addr())
	send(t, fresh, "new")
	receives(t, fresh, "new")
	p.CutExisting()
	assert.NilError(t, fresh.SetReadDeadline(time.Now().Add(bound)))
	_, err = fresh.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

func TestTCPPassesHalfClose(t *testing.T) {
	p, err := faultproxy.NewTCP(tcpEcho(t), seed)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c := dial(t, "tcp", p.Addr())
	send(t, c, "all")
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(bound)))
	b, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "all")
}

func TestUDP(t *testing.T) {
	p, err := faultproxy.NewUDP(udpEcho(t), seed)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c := dial(t, "udp", p.Addr())
	send(t, c, "plain")
	receives(t, c, "plain")
	for _, f := range []faultproxy.Faults{{CutToTarget: true}, {CutToClient: true}, {Loss: 1}} {
		p.Set(f)
		send(t, c, "lost")
		receivesNothing(t, c)
	}
	p.Set(faultproxy.Faults{Freeze: true})
	send(t, c, "held")
	receivesNothing(t, c)
	p.Set(faultproxy.Faults{})
	receives(t, c, "held")
	p.SilenceExisting()
	send(t, c, "lost")
	receivesNothing(t, c)
	fresh := dial(t, "udp", p.Addr())
	send(t, fresh, "new")
	receives(t, fresh, "new")
}

func TestUDPDuplicateAndReorder(t *testing.T) {
	p, err := faultproxy.NewUDP(udpEcho(t), seed)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c := dial(t, "udp", p.Addr())
	p.Set(faultproxy.Faults{Duplicate: 1, Delay: time.Millisecond})
	send(t, c, "twice")
	for range 4 { // once more in each direction
		receives(t, c, "twice")
	}
	const packets = 50
	p.Set(faultproxy.Faults{Reorder: 0.3})
	inOrder := true
	got := map[string]bool{}
	for i := range packets {
		send(t, c, fmt.Sprintf("%02d", i))
	}
	last := ""
	for range packets {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(bound)))
		buf := make([]byte, 2)
		_, err := c.Read(buf)
		assert.NilError(t, err)
		inOrder = inOrder && string(buf) > last
		last = string(buf)
		got[last] = true
	}
	assert.Assert(t, !inOrder)
	assert.Equal(t, len(got), packets)
}
