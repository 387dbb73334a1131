package expertmaps

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/relay"
)

// sampleState tracks the sampling of one rank.
type sampleState struct {
	// sampling is true while samples are requested from the rank.
	sampling bool
	// requestedAt is when sampling was last switched, sampledAt when the last sample arrived.
	requestedAt, sampledAt time.Duration
	// droppedAt is when the rank was last dropped for sending no samples, zero for never.
	droppedAt time.Duration
}

const (
	// sampleTimeout is the time without samples, several steps long, after which a rank is
	// replaced if others send some.
	sampleTimeout = 500 * time.Millisecond
	// dropDuration is the time for which a dropped rank is the last choice.
	dropDuration = 5 * time.Second
)

// sampledRankCount returns the number of ranks to sample in a group.
func (c Config) sampledRankCount(size, slots int) int {
	slots = max(slots, 1)
	return min(size, (c.SampledSlots+slots-1)/slots)
}

// watch returns the subscription for a rank.
func (c Config) watch(sample bool) relay.Watch {
	w := relay.Watch{
		StateMillis: int(c.IdleStateInterval.Milliseconds()), ChangeMillis: int(c.StateInterval.Milliseconds()),
		LayoutMillis: int(c.LayoutInterval.Milliseconds()),
	}
	if sample {
		w.StateMillis, w.SampleMillis = int(c.StateInterval.Milliseconds()), int(c.SampleInterval.Milliseconds())
	}
	return w
}

// chooseSampledRanks keeps sampled ranks, replaces silent ones and fills up in list order.
func (g *group) chooseSampledRanks(positions map[id.Endpoint]int, now time.Duration) {
	var ranks []int
	for r := range g.ranks {
		m := &g.ranks[r]
		if m.link == nil {
			continue
		}
		if m.sampling && now-max(m.requestedAt, m.sampledAt) > sampleTimeout && now-g.sampledAt < sampleTimeout {
			m.droppedAt = now
		}
		ranks = append(ranks, r)
	}
	preference := func(r int) int {
		m := &g.ranks[r]
		switch {
		case m.droppedAt != 0 && now-m.droppedAt < dropDuration, now-m.stateAt > sampleTimeout:
			return 2
		case m.sampling:
			return 0
		}
		return 1
	}
	slices.SortFunc(ranks, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(preference(a), preference(b)),
			cmp.Compare(positions[g.ranks[a].link.Endpoint().Name], positions[g.ranks[b].link.Endpoint().Name]),
			cmp.Compare(a, b),
		)
	})
	wanted := g.cfg.sampledRankCount(g.size, g.requestSlots)
	for i, r := range ranks {
		m := &g.ranks[r]
		if sampling := i < wanted; sampling != m.sampling {
			m.sampling, m.requestedAt = sampling, now
			m.link.SetWatch(g.cfg.watch(sampling))
		}
	}
}
