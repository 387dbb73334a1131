package expertmaps

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/wire/relay"
)

// BenchmarkSessionSecond is one second of a session's work without the network: in each
// step, every rank reports its state and the sampled ones send samples.
func BenchmarkSessionSecond(b *testing.B) {
	for _, size := range []int{16, 72, 288} {
		b.Run(fmt.Sprintf("ranks=%d", size), func(b *testing.B) {
			f := newFakeRanks(b, size, 12, 144, 3+16/size*6)
			for b.Loop() {
				for range 12 {
					f.step()
				}
			}
		})
	}
}

// fakeRanks simulates the ranks of a group.
type fakeRanks struct {
	session *session
	group   *group
	links   []*ranklink.Link
	states  []relay.State
	levels  []byte
	now     time.Duration
	rng     *rand.Rand
}

// TestManyRanksTakeLinearTime guards against work that grows with the square of the number
// of ranks; with 288 ranks that answer no orders it took minutes per second.
func TestManyRanksTakeLinearTime(t *testing.T) {
	f := newFakeRanks(t, 288, 12, 144, 3)
	began := time.Now()
	for range 12 {
		f.step()
	}
	assert.Assert(t, time.Since(began) < 30*time.Second, "took %v", time.Since(began))
}

func newFakeRanks(b testing.TB, size, sets, experts, slots int) *fakeRanks {
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(cancel)
	s := &session{
		cfg: Config{}.withDefaults(), name: "g", token: 7, log: zerolog.Nop(), set: metrics.NewSet(),
		engine: &routes.Engine{Slots: 10, Experts: &routes.Experts{LayerSets: sets, ExpertsPerSet: experts, SlotsPerRank: slots, MaxNewPerMap: 2}},
		links:  make(map[id.Endpoint]*ranklink.Link), layouts: make(map[*ranklink.Link]relay.Layout),
		groups: make(map[id.Group]*group), pending: make(map[uint64]pendingOrder),
	}
	s.invalid = &invalidAnswers{group: "g", log: s.log, set: s.set}
	s.members = newMembers(s.invalid.add)
	f := &fakeRanks{session: s, rng: rand.New(rand.NewPCG(1, 1)), levels: make([]byte, sets*experts)}
	for i := range f.levels {
		f.levels[i] = relay.EncodeLevel(uint64(f.rng.IntN(400)))
	}
	for r := range size {
		l := ranklink.Open(ctx, ranklink.Options{
			Endpoint: ranklink.Endpoint{Name: id.Endpoint(fmt.Sprintf("e%03d", r)), Relay: "127.0.0.1:1"},
			Events:   make(chan ranklink.Event), Report: func(*ranklink.Link, string, error) {},
		})
		f.links = append(f.links, l)
		f.states = append(f.states, relay.State{Group: "g", Size: size, Rank: r, Epoch: 1, Open: true, Running: 9, Slowdown: 1})
		layout := relay.Layout{Epoch: 1}
		for range sets {
			var own []int
			for e := r; e < experts; e += size {
				own = append(own, e)
			}
			layout.Experts = append(layout.Experts, own)
		}
		for range confirmations {
			s.handle(ranklink.Event{Link: l, Layout: &layout, State: &f.states[r]}, 0)
		}
	}
	f.group = s.groups["g"]
	return f
}

// step simulates one step. Orders stay unanswered, so that changes stay in progress.
func (f *fakeRanks) step() {
	for range 6 {
		f.now += 15 * time.Millisecond
		f.session.advance(f.now, true)
	}
	for r, l := range f.links {
		f.states[r].Step++
		e := ranklink.Event{Link: l, State: &f.states[r]}
		if f.group.ranks[r].sampling {
			e.Sample = &relay.Sample{Epoch: 1, Levels: f.levels}
		}
		f.session.handle(e, f.now)
		f.session.advance(f.now, true)
	}
}
