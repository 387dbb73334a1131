package faultproxy_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/lab/faultproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	seed = 7
	// quietPeriod is how long a test checks that no data arrives.
	quietPeriod = 50 * time.Millisecond
	// readTimeout bounds a read that should succeed.
	readTimeout = 10 * time.Second
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

func expectData(t *testing.T, c net.Conn, want string) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(readTimeout)))
	buf := make([]byte, len(want))
	_, err := io.ReadFull(c, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), want)
}

func expectNoData(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(quietPeriod)))
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
	expectData(t, c, "plain")
	for _, f := range []faultproxy.Faults{{CutToTarget: true}, {CutToClient: true}, {Freeze: true}} {
		p.Set(f)
		send(t, c, "held")
		expectNoData(t, c)
		p.Set(faultproxy.Faults{Delay: time.Millisecond})
		expectData(t, c, "held")
	}
	p.BlackholeExisting()
	send(t, c, "lost")
	expectNoData(t, c)
	fresh := dial(t, "tcp", p.Addr())
	send(t, fresh, "new")
	expectData(t, fresh, "new")
	p.CloseExisting()
	assert.NilError(t, fresh.SetReadDeadline(time.Now().Add(readTimeout)))
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
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(readTimeout)))
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
	expectData(t, c, "plain")
	for _, f := range []faultproxy.Faults{{CutToTarget: true}, {CutToClient: true}, {Loss: 1}} {
		p.Set(f)
		send(t, c, "lost")
		expectNoData(t, c)
	}
	p.Set(faultproxy.Faults{Freeze: true})
	send(t, c, "held")
	expectNoData(t, c)
	p.Set(faultproxy.Faults{})
	expectData(t, c, "held")
	p.BlackholeExisting()
	send(t, c, "lost")
	expectNoData(t, c)
	fresh := dial(t, "udp", p.Addr())
	send(t, fresh, "new")
	expectData(t, fresh, "new")
}

func TestUDPDuplicateAndReorder(t *testing.T) {
	p, err := faultproxy.NewUDP(udpEcho(t), seed)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c := dial(t, "udp", p.Addr())
	p.Set(faultproxy.Faults{Duplicate: 1, Delay: time.Millisecond})
	send(t, c, "twice")
	for range 4 { // duplicated in both directions
		expectData(t, c, "twice")
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
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(readTimeout)))
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

func TestFaultsBySource(t *testing.T) {
	p, err := faultproxy.StartTCP(faultproxy.Options{Listen: "127.0.0.8:0", Target: tcpEcho(t), Seed: seed, KeepSource: true})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	dialFrom := func(source string) (net.Conn, error) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		return d.Dial("tcp", p.Addr())
	}
	from := func(source string) net.Conn {
		c, err := dialFrom(source)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	expectReset := func(c net.Conn) {
		t.Helper()
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(readTimeout)))
		_, err := c.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	}
	struck := netip.MustParseAddr("127.0.0.7")
	a, b := from("127.0.0.7"), from("127.0.0.6")
	p.SetBySource(func(source netip.Addr) faultproxy.Faults { return faultproxy.Faults{CutToTarget: source == struck} })
	send(t, a, "held")
	expectNoData(t, a)
	send(t, b, "plain")
	expectData(t, b, "plain")
	p.ResetMatching(func(source netip.Addr) bool { return source == struck })
	expectReset(a)
	send(t, b, "still")
	expectData(t, b, "still")
	p.Set(faultproxy.Faults{Refuse: true})
	// The reset follows the handshake and may arrive before Dial has read the socket's
	// error. Either call must then return it.
	c, err := dialFrom("127.0.0.6")
	if err != nil {
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	expectReset(c)
}

// TestTCPPropagatesReset guards against a reset by the target that reaches the client as a clean close.
func TestTCPPropagatesReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p, err := faultproxy.NewTCP(l.Addr().String(), seed)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	c := dial(t, "tcp", p.Addr())
	behind, err := l.Accept()
	assert.NilError(t, err)
	assert.NilError(t, behind.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, behind.Close())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(readTimeout)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

func TestUDPKeepsSourceAddress(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	p, err := faultproxy.StartUDP(faultproxy.Options{Target: target.LocalAddr().String(), Seed: seed, KeepSource: true})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	d := net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 0, 0, 7)}}
	c, err := d.Dial("udp", p.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	send(t, c, "x")
	_, from, err := target.ReadFrom(make([]byte, 8))
	assert.NilError(t, err)
	assert.Equal(t, from.(*net.UDPAddr).IP.String(), "127.0.0.7")
}
