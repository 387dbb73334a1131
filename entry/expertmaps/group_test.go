package expertmaps

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/mapswitch"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/wire/relay"
)

// newOpenGroup returns a group whose ranks all reported the initial map.
func newOpenGroup(t *testing.T, ranks, slots, experts int) *group {
	t.Helper()
	s := &session{
		cfg: Config{}.withDefaults(), engine: &routes.Engine{Slots: 4, Experts: &routes.Experts{LayerSets: 1, ExpertsPerSet: experts, SlotsPerRank: slots, MaxNewPerMap: 1}},
		token: 7, log: zerolog.Nop(), set: metrics.NewSet(), layouts: make(map[*ranklink.Link]relay.Layout),
	}
	g := newGroup(s, "g", ranks)
	content := make([][]int, ranks)
	for e := range experts {
		content[e%ranks] = append(content[e%ranks], e)
	}
	for r := range ranks {
		l := &ranklink.Link{}
		g.onState(l, &relay.State{Group: id.Group("g"), Size: ranks, Rank: r, Epoch: 1, Open: true, Step: 1}, 0)
		s.layouts[l] = relay.Layout{Epoch: 1, Experts: [][]int{content[r]}}
	}
	g.assembleMap(s.layouts)
	return g
}

// TestGroupWithTooFewSlotsGetsNoOrders guards against endless resends: ranks that hold
// more experts than an order may name refuse every order.
func TestGroupWithTooFewSlotsGetsNoOrders(t *testing.T) {
	g := newOpenGroup(t, 4, 3, 16)
	for now := time.Duration(0); now < time.Second; now += tickInterval {
		assert.Equal(t, len(g.advance(now, true)), 0)
	}
	assert.Assert(t, !g.changing())
}

func TestGroupWithEnoughSlotsGetsPrepareOrders(t *testing.T) {
	g := newOpenGroup(t, 4, 4, 16)
	orders := g.advance(tickInterval, true)
	assert.Equal(t, len(orders), 4)
	for _, o := range orders {
		assert.Equal(t, o.Op, mapswitch.Prepare)
	}
	assert.Assert(t, g.changing())
}
