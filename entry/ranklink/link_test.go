package ranklink

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/wire/relay"
)

// fakeRank counts the orders it receives.
type fakeRank struct{ orders atomic.Int64 }

func (r *fakeRank) State(context.Context) (relay.State, error)   { return relay.State{Group: "g"}, nil }
func (r *fakeRank) Counts(context.Context) (relay.Counts, error) { return relay.Counts{}, nil }
func (r *fakeRank) Layout(context.Context) (relay.Layout, error) { return relay.Layout{}, nil }
func (r *fakeRank) Order(context.Context, relay.Order) relay.Result {
	r.orders.Add(1)
	return relay.Result{Outcome: relay.Done}
}

// fixture is a link whose relay is played by the test.
type fixture struct {
	t      *testing.T
	rank   fakeRank
	relay  net.Listener
	events chan Event
	link   *Link
}

func newFixture(t *testing.T) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fixture{t: t, relay: l, events: make(chan Event, 64)}
	t.Cleanup(func() { _ = l.Close() })
	f.link = Open(t.Context(), Options{
		Endpoint: Endpoint{Name: "e", Address: "127.0.0.1:1", Relay: l.Addr().String()}, Watch: relay.Watch{StateMillis: 20},
		EngineClient: func(string) relay.Engine { return &f.rank }, Events: f.events,
		Report: func(_ *Link, event string, err error) { t.Log(event, err) },
	})
	return f
}

// accept accepts a connection and passes its messages to got.
func (f *fixture) accept(got func(enc *json.Encoder, m relay.ToRelay)) {
	f.t.Helper()
	c, err := f.relay.Accept()
	assert.NilError(f.t, err)
	go func() {
		lines := bufio.NewScanner(c)
		for lines.Scan() {
			var m relay.ToRelay
			if json.Unmarshal(lines.Bytes(), &m) == nil {
				got(json.NewEncoder(c), m)
			}
		}
	}()
}

// sendUntilResult sends an order every 40 ms until one has a result. It returns the time
// taken.
func (f *fixture) sendUntilResult(firstID uint64) time.Duration {
	f.t.Helper()
	began := time.Now()
	tick := time.NewTicker(40 * time.Millisecond)
	defer tick.Stop()
	for n := firstID; time.Since(began) < 3*time.Second; n++ {
		f.link.Send(relay.Order{ID: n, Op: relay.Hold})
		select {
		case e := <-f.events:
			if e.Result != nil {
				assert.Equal(f.t, e.Result.Outcome, relay.Done)
				return time.Since(began)
			}
		case <-tick.C:
		}
	}
	f.t.Fatal("no order has a result")
	return 0
}

// answerOrders returns a handler that completes orders while on is true.
func answerOrders(on *atomic.Bool) func(*json.Encoder, relay.ToRelay) {
	return func(enc *json.Encoder, m relay.ToRelay) {
		if m.Order != nil && on.Load() {
			_ = enc.Encode(relay.FromRelay{Result: &relay.Result{ID: m.Order.ID, Outcome: relay.Done}})
		}
	}
}

// TestOrdersLeaveASilentConnection checks that a link replaces an established connection
// that went silent for good while new connections work.
func TestOrdersLeaveASilentConnection(t *testing.T) {
	f := newFixture(t)
	var first, second atomic.Bool
	first.Store(true)
	second.Store(true)
	f.accept(answerOrders(&first))
	for n := range uint64(10) {
		f.sendUntilResult(n)
		time.Sleep(40 * time.Millisecond) // A relay without news is not silent.
	}
	first.Store(false)
	go f.accept(answerOrders(&second))
	assert.Assert(t, f.sendUntilResult(100) < 500*time.Millisecond)
}

// TestSilentRelayIsRedialedOnce guards against endless redials of a frozen host, whose
// kernel still accepts connections.
func TestSilentRelayIsRedialedOnce(t *testing.T) {
	f := newFixture(t)
	var dials atomic.Int64
	go func() {
		for {
			if _, err := f.relay.Accept(); err != nil {
				return
			}
			dials.Add(1)
		}
	}()
	for n := range uint64(40) {
		f.link.Send(relay.Order{ID: n, Op: relay.Hold})
		time.Sleep(40 * time.Millisecond)
	}
	assert.Equal(t, dials.Load(), int64(2))
}

func TestOrdersReachRankWithoutRelay(t *testing.T) {
	f := newFixture(t)
	assert.NilError(t, f.relay.Close())
	assert.Assert(t, f.sendUntilResult(1) < 2*time.Second)
	assert.Assert(t, f.rank.orders.Load() > 0)
}
