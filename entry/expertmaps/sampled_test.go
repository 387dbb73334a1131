package expertmaps

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/wire/relay"
)

// newSampledGroup returns a group whose ranks have links, and its endpoints' list order.
func newSampledGroup(t *testing.T, ranks, wanted int) (*group, map[id.Endpoint]int) {
	t.Helper()
	g := newOpenGroup(t, ranks, 4, 16)
	g.cfg.SampledSlots = wanted * g.requestSlots
	order := make(map[id.Endpoint]int)
	for r := range g.ranks {
		name := id.Endpoint(fmt.Sprintf("e%02d", r))
		order[name] = r
		g.ranks[r].link = ranklink.Open(t.Context(), ranklink.Options{
			Endpoint: ranklink.Endpoint{Name: name, Relay: "127.0.0.1:1"}, Events: make(chan ranklink.Event),
			Report: func(*ranklink.Link, string, error) {},
		})
		t.Cleanup(g.ranks[r].link.Close)
	}
	return g, order
}

func (g *group) sampledRanks() (out []int) {
	for r := range g.ranks {
		if g.ranks[r].sampling {
			out = append(out, r)
		}
	}
	return out
}

// reportRanks simulates states from all ranks but the silent ones, and samples from the
// sampled ranks that are not mute.
func (g *group) reportRanks(now time.Duration, silent, mute map[int]bool) {
	for r := range g.ranks {
		m := &g.ranks[r]
		if silent[r] {
			continue
		}
		m.stateAt = now
		if m.sampling && !mute[r] {
			g.onSample(m.link, &relay.Sample{Epoch: 1, Levels: make([]byte, 16)}, now)
		}
	}
}

// TestSamplesDoNotGrowWithTheGroup checks that the deciding entry of a large group
// receives samples from a few ranks only.
func TestSamplesDoNotGrowWithTheGroup(t *testing.T) {
	cfg := Config{}.withDefaults()
	assert.Equal(t, cfg.sampledRankCount(16, 12), 16)
	assert.Equal(t, cfg.sampledRankCount(72, 10), 20)
	assert.Equal(t, cfg.sampledRankCount(4000, 10), 20)
	assert.Equal(t, cfg.sampledRankCount(8, 0), 8)
}

func TestSampledRanksAreReplaced(t *testing.T) {
	cases := map[string]struct{ silent, mute map[int]bool }{
		"its host is silent":    {silent: map[int]bool{1: true}},
		"it sends no samples":   {mute: map[int]bool{1: true}},
		"most hosts are silent": {silent: map[int]bool{1: true, 3: true, 4: true, 5: true}},
	}
	want := map[string][]int{
		"its host is silent":    {0, 2, 3},
		"it sends no samples":   {0, 2, 3},
		"most hosts are silent": {0, 1, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, order := newSampledGroup(t, 6, 3)
			g.reportRanks(0, nil, nil)
			g.chooseSampledRanks(order, 0)
			assert.DeepEqual(t, g.sampledRanks(), []int{0, 1, 2})
			for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
				g.reportRanks(now, c.silent, c.mute)
				g.chooseSampledRanks(order, now)
			}
			assert.DeepEqual(t, g.sampledRanks(), want[name])
		})
	}
}

// TestFailedOrdersAreLoggedOncePerInterval checks that the failing orders to all
// ranks of a zone that is cut off do not flood the log.
func TestFailedOrdersAreLoggedOncePerInterval(t *testing.T) {
	var log bytes.Buffer
	s := &session{log: zerolog.New(&log)}
	for now := time.Millisecond; now < 1900*time.Millisecond; now += 10 * time.Millisecond {
		s.logFailedOrder(&relay.Result{Outcome: relay.Refused, Detail: "no connection"}, now)
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	assert.Equal(t, len(lines), 2, "%v", lines)
	assert.Assert(t, strings.Contains(lines[1], `"others":99`), lines[1])
}

// TestIdleGroupKeepsItsSampledRanks: without steps no rank sends samples, and none must
// be dropped for that.
func TestIdleGroupKeepsItsSampledRanks(t *testing.T) {
	g, order := newSampledGroup(t, 6, 3)
	all := map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true}
	for now := time.Duration(0); now < 3*time.Second; now += 50 * time.Millisecond {
		g.reportRanks(now, nil, all)
		g.chooseSampledRanks(order, now)
		assert.DeepEqual(t, g.sampledRanks(), []int{0, 1, 2})
	}
}
