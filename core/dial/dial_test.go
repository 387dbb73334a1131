package dial

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDialerBindsSourceAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	for source, want := range map[netip.Addr]string{
		netip.MustParseAddr("127.0.0.9"): "127.0.0.9",
		{}:                               "127.0.0.1",
	} {
		c, err := Config{Source: source, Timeout: time.Second, KeepAliveInterval: time.Second, KeepAliveProbes: 3}.Dialer().Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		host, _, err := net.SplitHostPort(c.LocalAddr().String())
		assert.NilError(t, err)
		assert.Equal(t, host, want)
		assert.NilError(t, c.Close())
	}
}
