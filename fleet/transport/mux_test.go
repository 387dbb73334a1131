package transport_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/fleet/transport/memnet"
)

func echo(_ context.Context, payload []byte) ([]byte, error) {
	return append([]byte("re:"), payload...), nil
}

func TestMuxSeparatesAndCountsPurposes(t *testing.T) {
	net := memnet.New(memnet.Config{})
	set := metrics.NewSet()
	a := transport.NewMux(net.Join("a"), set)
	node := net.Join("b")
	b := transport.NewMux(node, metrics.NewSet())
	b.Register(transport.Membership, echo)
	node.Serve(b.Handle)

	answer, err := a.Caller(transport.Membership).Call(t.Context(), "b", []byte("ping"))
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "re:ping")
	_, err = a.Caller(transport.Configuration).Call(t.Context(), "b", nil)
	var remote *transport.RemoteError
	assert.Assert(t, errors.As(err, &remote))
	assert.ErrorContains(t, err, `purpose "configuration", which has no handler`)

	var text bytes.Buffer
	set.WritePrometheus(&text)
	assert.Assert(t, bytes.Contains(text.Bytes(),
		[]byte(`siskinford_control_bytes_total{purpose="membership",direction="sent"} 5`)), text.String())
	assert.Assert(t, bytes.Contains(text.Bytes(),
		[]byte(`siskinford_control_bytes_total{purpose="membership",direction="received"} 7`)), text.String())
}

func TestMuxRefusesEmptyPayload(t *testing.T) {
	m := transport.NewMux(memnet.New(memnet.Config{}).Join("a"), metrics.NewSet())
	_, err := m.Handle(t.Context(), nil)
	assert.ErrorContains(t, err, "empty")
	_, err = m.Handle(t.Context(), []byte{200})
	assert.ErrorContains(t, err, "unknown purpose 200")
}

func TestNetworkFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(net *memnet.Network, a, b *memnet.Node)
		mend  func(net *memnet.Network, a, b *memnet.Node)
	}{
		{
			"cut one way",
			func(n *memnet.Network, _, _ *memnet.Node) {
				n.Partition(func(from, _ string) bool { return from == "b" })
			},
			func(n *memnet.Network, _, _ *memnet.Node) { n.Partition(nil) },
		},
		{
			"silent connection",
			func(n *memnet.Network, _, _ *memnet.Node) { n.Blackhole("a", "b") },
			func(_ *memnet.Network, a, _ *memnet.Node) { a.Abandon("b") },
		},
		{
			"pause of the callee",
			func(_ *memnet.Network, _, b *memnet.Node) { b.Pause() },
			func(_ *memnet.Network, _, b *memnet.Node) { b.Resume() },
		},
		{
			"pause of the caller",
			func(_ *memnet.Network, a, _ *memnet.Node) { a.Pause() },
			func(_ *memnet.Network, a, _ *memnet.Node) { a.Resume() },
		},
		{
			"loss of all messages",
			func(n *memnet.Network, _, _ *memnet.Node) { n.SetLoss(1) },
			func(n *memnet.Network, _, _ *memnet.Node) { n.SetLoss(0) },
		},
		{
			"kill and replacement",
			func(_ *memnet.Network, _, b *memnet.Node) { b.Kill() },
			func(n *memnet.Network, _, _ *memnet.Node) { n.Join("b").Serve(echo) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := memnet.New(memnet.Config{Delay: time.Millisecond})
				a, b := net.Join("a"), net.Join("b")
				b.Serve(echo)
				call := func() error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					_, err := a.Call(ctx, "b", []byte("x"))
					return err
				}
				assert.NilError(t, call())
				tt.fault(net, a, b)
				assert.ErrorIs(t, call(), context.DeadlineExceeded)
				tt.mend(net, a, b)
				assert.NilError(t, call())
			})
		})
	}
}

func TestLossIsSeeded(t *testing.T) {
	lost := func(seed uint64) (n int) {
		synctest.Test(t, func(t *testing.T) {
			net := memnet.New(memnet.Config{Seed: seed, Loss: 0.2})
			a, b := net.Join("a"), net.Join("b")
			b.Serve(echo)
			for range 500 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				if _, err := a.Call(ctx, "b", nil); err != nil {
					n++
				}
				cancel()
			}
		})
		return n
	}
	first := lost(1)
	assert.Equal(t, lost(1), first)
	assert.Assert(t, first > 130 && first < 230, "%d of 500 calls failed, 36 %% expected", first)
}
