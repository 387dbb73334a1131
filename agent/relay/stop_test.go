package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/wire/relay"
)

// slowEngine takes a while for each order.
type slowEngine struct {
	fakeEngine
	began chan struct{}
}

func (e *slowEngine) Order(ctx context.Context, o relay.Order) relay.Result {
	e.began <- struct{}{}
	select {
	case <-time.After(200 * time.Millisecond):
		return e.fakeEngine.Order(ctx, o)
	case <-ctx.Done():
		return relay.Result{Outcome: relay.Unknown, Detail: ctx.Err().Error()}
	}
}

// TestStopSendsResultsOfOrders guards against orders that a relay cuts off when it stops: its entry
// does not know whether the rank has carried them out, and holds the group until it finds out.
func TestStopSendsResultsOfOrders(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	e := &slowEngine{began: make(chan struct{}, 1)}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- New(e, func(string) relay.Engine { return nil }, func(string, error) {}).Listen(ctx, address)
	}()
	var conn net.Conn
	for range 100 {
		if conn, err = net.Dial("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, json.NewEncoder(conn).Encode(relay.ToRelay{Order: &relay.Order{ID: 7, Op: relay.Prepare}}))
	<-e.began
	stop()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var m relay.FromRelay
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &m))
		if m.Result != nil {
			assert.Equal(t, m.Result.ID, uint64(7))
			assert.Equal(t, m.Result.Outcome, relay.Done, m.Result.Detail)
			assert.NilError(t, <-ended)
			return
		}
	}
	t.Fatalf("the connection ended without the result: %v", lines.Err())
}
