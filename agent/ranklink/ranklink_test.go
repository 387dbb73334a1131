package ranklink

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/agent/rank"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/wire/codec"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

func TestOrderAcceptsOnlyEntries(t *testing.T) {
	payload, err := codec.Marshal(groupmsg.Order{Group: "g", Command: lockstep.Command{Kind: lockstep.Join, Rank: 3}})
	assert.NilError(t, err)
	foreign, err := codec.Marshal(groupmsg.Order{Group: "g", Command: lockstep.Command{Kind: lockstep.Join, Rank: 4}})
	assert.NilError(t, err)
	tests := []struct {
		name               string
		role               keys.Role
		payload            []byte
		orders, subscribed int
	}{
		{"entry", keys.RoleEntry, payload, 1, 1},
		{"agent", keys.RoleAgent, payload, 0, 0},
		{"rank of another host", keys.RoleEntry, foreign, 0, 1},
		{"malformed", keys.RoleEntry, []byte{0xff}, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(DefaultConfig(), rank.Config{Group: "g", Incarnation: "inc", Ranks: []rank.LocalRank{{Index: 3}}})
			s := &link.Session{Role: tt.role}
			r.Order(s, &msg.Order{ID: 1, Group: &msg.Group{Payload: tt.payload}})
			assert.Equal(t, len(r.pendingOrders[3]), tt.orders)
			assert.Equal(t, len(r.subscribers), tt.subscribed)
			r.Closed(s)
			assert.Equal(t, len(r.subscribers), 0)
		})
	}
}

// TestFullQueueDropsOrders checks that orders for an unresponsive engine neither block
// nor accumulate.
func TestFullQueueDropsOrders(t *testing.T) {
	payload, err := codec.Marshal(groupmsg.Order{Group: "g", Command: lockstep.Command{Kind: lockstep.Join, Rank: 3}})
	assert.NilError(t, err)
	r := New(DefaultConfig(), rank.Config{Group: "g", Incarnation: "inc", Ranks: []rank.LocalRank{{Index: 3}}})
	for range 2 * maxPendingOrders {
		r.Order(&link.Session{Role: keys.RoleEntry}, &msg.Order{Group: &msg.Group{Payload: payload}})
	}
	assert.Equal(t, len(r.pendingOrders[3]), maxPendingOrders)
}
