package expertmaps

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/relay"
)

// sampled tells how a rank takes part in the estimate of demand.
type sampled struct {
	// sampling is true while the rank is asked for samples.
	sampling bool
	// askedAt is when the rank was first asked, and sampledAt when its last sample came.
	askedAt, sampledAt time.Duration
	// mutedAt is when the rank was last given up for sending none, zero for never.
	mutedAt time.Duration
}

const (
	// muteAfter is the time without a sample of a rank, while others send some,
	// after which another one takes its place. It is several passes long.
	muteAfter = 500 * time.Millisecond
	// muteFor is the time for which such a rank is the last choice.
	muteFor = 5 * time.Second
)

// sampledRanks returns how many ranks of a group are sampled.
func (c Config) sampledRanks(size, slots int) int {
	slots = max(slots, 1)
	return min(size, (c.SampledSlots+slots-1)/slots)
}

// watch is what a relay is asked to tell of a rank.
func (c Config) watch(sample bool) relay.Watch {
	w := relay.Watch{
		StateMillis: int(c.IdleStateInterval.Milliseconds()), ChangeMillis: int(c.StateInterval.Milliseconds()),
	}
	if sample {
		w.StateMillis, w.SampleMillis = int(c.StateInterval.Milliseconds()), int(c.SampleInterval.Milliseconds())
	}
	return w
}

// chooseSampled sees to it that enough ranks are sampled: those that are so far, unless
// they are silent, and then the first ones in the order of the list.
func (g *group) chooseSampled(order map[id.Endpoint]int, now time.Duration) {
	var ranks []int
	for r := range g.ranks {
		m := &g.ranks[r]
		if m.link == nil {
			continue
		}
		if m.sampling && now-max(m.askedAt, m.sampledAt) > muteAfter && now-g.sampledAt < muteAfter {
			m.mutedAt = now
		}
		ranks = append(ranks, r)
	}
	preference := func(r int) int {
		m := &g.ranks[r]
		switch {
		case m.mutedAt != 0 && now-m.mutedAt < muteFor, now-m.heard > muteAfter:
			return 2
		case m.sampling:
			return 0
		}
		return 1
	}
	slices.SortFunc(ranks, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(preference(a), preference(b)),
			cmp.Compare(order[g.ranks[a].link.Endpoint().Name], order[g.ranks[b].link.Endpoint().Name]),
			cmp.Compare(a, b),
		)
	})
	wanted := g.cfg.sampledRanks(g.size, g.slots)
	for i, r := range ranks {
		m := &g.ranks[r]
		if sampling := i < wanted; sampling != m.sampling {
			m.sampling, m.askedAt = sampling, now
			m.link.SetWatch(g.cfg.watch(sampling))
		}
	}
}
