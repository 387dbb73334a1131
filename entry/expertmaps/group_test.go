package expertmaps

import (
	"context"
	"encoding/json"
	"fmt"
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

// newLink returns the link of a rank. It does not run.
func newLink(rank int) *ranklink.Link {
	name := fmt.Sprintf("e-%d", rank)
	return newLinkTo(name, name)
}

func newLinkTo(host, name string) *ranklink.Link {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ranklink.Open(ctx, ranklink.Options{Endpoint: ranklink.Endpoint{Name: id.Endpoint(name), Address: host, Relay: host}})
}

// newOpenSession returns a session whose group's ranks all reported the initial map.
func newOpenSession(t testing.TB, ranks, slots, experts int) (*session, *group) {
	t.Helper()
	set := metrics.NewSet()
	s := &session{
		cfg: Config{}.withDefaults(), name: "g",
		engine: &routes.Engine{Slots: 4, Experts: &routes.Experts{LayerSets: 1, ExpertsPerSet: experts, SlotsPerRank: slots, MaxNewPerMap: 1}},
		token:  7, log: zerolog.Nop(), set: set, layouts: make(map[*ranklink.Link]relay.Layout), groups: make(map[id.Group]*group),
		pending: make(map[uint64]pendingOrder), invalid: &invalidAnswers{group: "g", log: zerolog.Nop(), set: set},
	}
	s.members = newMembers(s.invalid.add)
	content := make([][]int, ranks)
	for e := range experts {
		content[e%ranks] = append(content[e%ranks], e)
	}
	links := make([]*ranklink.Link, ranks)
	for n := range ranks * confirmations {
		r := n % ranks
		if links[r] == nil {
			links[r] = newLink(r)
		}
		s.handle(ranklink.Event{
			Link:   links[r],
			State:  &relay.State{Group: "g", Size: ranks, Rank: r, Epoch: 1, Open: true, Step: 1},
			Layout: &relay.Layout{Epoch: 1, Experts: [][]int{content[r]}},
		}, 0)
	}
	return s, s.groups["g"]
}

func newOpenGroup(t testing.TB, ranks, slots, experts int) *group {
	t.Helper()
	_, g := newOpenSession(t, ranks, slots, experts)
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

// TestMapWithoutAnExpertIsNotUsed guards against a plan from layouts that do not add up to a map,
// after a wrong digit that is another expert. The last layouts that do hold.
func TestMapWithoutAnExpertIsNotUsed(t *testing.T) {
	g := newOpenGroup(t, 4, 4, 16)
	version, before, ok := g.mapSwitch.Current()
	assert.Assert(t, ok)
	layouts := make(map[*ranklink.Link]relay.Layout)
	for r := range g.ranks {
		layouts[g.ranks[r].link] = relay.Layout{Epoch: 1, Experts: [][]int{before[0][r]}}
	}
	layouts[g.ranks[2].link] = relay.Layout{Epoch: 1, Experts: [][]int{{2, 6, 10, 13}}} // 14 in place of 13
	g.assembleMap(layouts)
	_, after, ok := g.mapSwitch.Current()
	assert.Assert(t, ok)
	assert.DeepEqual(t, after, before)
	assert.Equal(t, g.invalid.set.GetOrCreateCounter(`siskinford_rank_answers_invalid_total{group="g",kind="map"}`).Get(), uint64(1))
	layouts[g.ranks[2].link] = relay.Layout{Epoch: 1, Experts: [][]int{{2, 6, 14, 10}}}
	g.assembleMap(layouts)
	got, corrected, ok := g.mapSwitch.Current()
	assert.Assert(t, ok && got == version)
	assert.DeepEqual(t, corrected[0][2], []int{2, 6, 14, 10})
	assert.DeepEqual(t, g.plannerMaps(corrected)[0].Slots[2], toMaps(corrected, 4)[0].Slots[2])
}

// FuzzRelayMessage requires that no message of a relay ends the process.
func FuzzRelayMessage(f *testing.F) {
	f.Add([]byte(`{"layout":{"epoch":1,"version":0,"experts":[[0,4,8,72]]}}`))
	f.Add([]byte(`{"layout":{"epoch":1,"version":0,"experts":[[0,4,-8,12]]}}`))
	f.Add([]byte(`{"state":{"born":1,"group":"g","epoch":1,"rank":3,"size":4,"open":true,"step":2,"map":0}}`))
	f.Add([]byte(`{"state":{"born":9,"group":"g","epoch":7,"rank":0,"size":4,"open":true,"step":912,"map":5}}`))
	f.Add([]byte(`{"state":{"born":1,"group":"g","epoch":1,"rank":0,"size":6,"open":true,"step":2,"map":0}}`))
	f.Add([]byte(`{"sample":{"born":1,"epoch":1,"from":1,"to":2,"levels":"AAAAAAAA"}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var m relay.FromRelay
		if json.Unmarshal(line, &m) != nil {
			return
		}
		s, g := newOpenSession(t, 4, 4, 16)
		e := ranklink.Event{State: m.State, Layout: m.Layout, Sample: m.Sample}.Valid(s.shape(), func(ranklink.AnswerKind, error) {})
		e.Link = g.ranks[0].link
		for now := time.Duration(0); now < time.Second; now += 10 * tickInterval {
			s.handle(e, now)
			sample := &relay.Sample{Epoch: g.mapSwitch.Epoch(), From: 1, To: 2, Levels: []byte("0123456789abcdef")}
			s.handle(ranklink.Event{Link: g.ranks[1].link, Sample: sample}, now)
			s.advance(now, true)
		}
	})
}
