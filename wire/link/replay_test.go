package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"testing"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/wire/codec"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/msg"
)

// TestNoEarlyData checks that a client cannot send early data on a resumed session, as
// the network could replay it.
func TestNoEarlyData(t *testing.T) {
	assert.Assert(t, !DefaultConfig().quic().Allow0RTT)
	f := newFixture(t, keys.RoleEntry)
	resuming := f.tls().Clone()
	resuming.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	for range 3 {
		c, err := quic.DialAddrEarly(context.Background(), f.server.Address(), resuming, DefaultConfig().quic())
		assert.NilError(t, err)
		<-c.HandshakeComplete()
		stream, err := c.OpenStreamSync(context.Background())
		assert.NilError(t, err)
		var order bytes.Buffer
		assert.NilError(t, codec.Write(&order, ticketOrder("a")))
		_, err = stream.Write(order.Bytes())
		assert.NilError(t, err)
		var reply msg.Reply
		assert.NilError(t, codec.NewReader(stream).Next(&reply))
		assert.Assert(t, !c.ConnectionState().Used0RTT, "early data was accepted")
		_ = c.CloseWithError(0, "")
	}
	assert.Assert(t, f.tls().ClientSessionCache == nil, "the client must not cache sessions")
}
