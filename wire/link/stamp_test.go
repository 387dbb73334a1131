package link

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/msg"
)

// configAt returns a configuration whose clock is fixed at the given second.
func configAt(second int64) Config {
	c := DefaultConfig()
	c.Clock = timeline.NewClock(func() time.Time { return time.Unix(second, 0) })
	return c
}

func TestOrdersAndRepliesCarryStamps(t *testing.T) {
	authority, err := keys.NewAuthority(time.Hour)
	assert.NilError(t, err)
	agent, dialer := issueCredentials(t, authority, keys.RoleAgent), issueCredentials(t, authority, keys.RoleEntry)
	for _, wall := range []struct{ server, client int64 }{{130, 100}, {100, 130}} {
		server, client := configAt(wall.server), configAt(wall.client)
		s, err := Listen("127.0.0.1:0", agent.ServerConfig(keys.RoleEntry), server, echo{})
		assert.NilError(t, err)
		pool := NewPool(client, func() *tls.Config { return dialer.ClientConfig(keys.RoleAgent) })
		conn, err := pool.Conn(context.Background(), s.Address())
		assert.NilError(t, err)
		before := client.Clock.Now()
		reply, err := conn.Call(context.Background(), &msg.Order{Ticket: &msg.TicketOrder{Team: "puno"}})
		assert.NilError(t, err)
		assert.Assert(t, before.Before(*reply.Stamp))
		assert.Assert(t, reply.Stamp.Before(client.Clock.Now()))
		pool.Close()
		s.Close()
	}
}

func TestBulkRepliesCarryNoStamp(t *testing.T) {
	assert.Assert(t, !(&msg.Reply{Frame: &msg.Frame{Data: []byte("x")}}).CarriesStamp())
	assert.Assert(t, !(&msg.Reply{Report: &msg.Report{}}).CarriesStamp())
	assert.Assert(t, (&msg.Reply{Frame: &msg.Frame{End: &msg.End{}}}).CarriesStamp())
	assert.Assert(t, (&msg.Reply{Peer: &msg.Peer{}}).CarriesStamp())
}
