package expertmap

import (
	"container/heap"
	"slices"
)

// replicaCounts gives each expert one replica and each further slot to the
// expert with the most tokens per replica, which minimizes the largest share.
func replicaCounts(cfg Config, load Load) []int {
	q := shareQueue{load: load, count: slices.Repeat([]int{1}, cfg.Experts)}
	for e := range cfg.Experts {
		q.order = append(q.order, Expert(e))
	}
	heap.Init(&q)
	for range cfg.Ranks*cfg.SlotsPerRank - cfg.Experts {
		if len(q.order) == 0 {
			break
		}
		top := q.order[0]
		q.count[top]++
		if q.count[top] == cfg.Ranks {
			heap.Pop(&q)
		} else {
			heap.Fix(&q, 0)
		}
	}
	return q.count
}

// shareQueue is a max-heap of experts by tokens per replica.
type shareQueue struct {
	load  Load
	count []int
	order []Expert
}

func (q *shareQueue) share(e Expert) float64 { return q.load[e] / float64(q.count[e]) }

// Len implements heap.Interface.
func (q *shareQueue) Len() int { return len(q.order) }

// Less implements heap.Interface.
func (q *shareQueue) Less(i, j int) bool {
	a, b := q.order[i], q.order[j]
	if sa, sb := q.share(a), q.share(b); sa != sb {
		return sa > sb
	}
	return a < b
}

// Swap implements heap.Interface.
func (q *shareQueue) Swap(i, j int) { q.order[i], q.order[j] = q.order[j], q.order[i] }

// Push implements heap.Interface.
func (q *shareQueue) Push(x any) { q.order = append(q.order, x.(Expert)) }

// Pop implements heap.Interface.
func (q *shareQueue) Pop() any {
	last := q.order[len(q.order)-1]
	q.order = q.order[:len(q.order)-1]
	return last
}

// LowerBound returns a skew that no map can go below, at least 1: the largest
// share under the best replica counts over the mean rank load. Without spare
// slots every rank is full, so the rank with the largest share also holds other
// experts, at best the coldest ones.
func LowerBound(cfg Config, load Load) float64 {
	mean := load.Total() / float64(cfg.Ranks)
	if mean == 0 {
		return 1
	}
	var largest float64
	for e, n := range replicaCounts(cfg, load) {
		largest = max(largest, load[e]/float64(n))
	}
	if cfg.Ranks*cfg.SlotsPerRank == cfg.Experts {
		coldest := slices.Sorted(slices.Values(load))[:cfg.SlotsPerRank-1]
		largest += Load(coldest).Total()
	}
	return max(1, largest/mean)
}

// freshPlacement ignores the current map: it places replicas in descending order
// of their share, each on the least loaded rank with a free slot.
func freshPlacement(cfg Config, load Load) *placement {
	p := newPlacement(cfg, load, NewMap(cfg.Ranks, cfg.SlotsPerRank))
	counts := replicaCounts(cfg, load)
	// Shares are fixed during placement, so rank loads are tracked apart from p.
	loads := make([]float64, cfg.Ranks)
	used := make([]int, cfg.Ranks)
	for _, e := range byShare(load, counts) {
		r := leastLoaded(p, e, loads, used)
		if r < 0 {
			continue
		}
		p.set(r, used[r], e)
		loads[r] += load[e] / float64(counts[e])
		used[r]++
	}
	return p
}

// byShare lists each expert once per replica, in descending order of share.
func byShare(load Load, counts []int) []Expert {
	var order []Expert
	for e := range counts {
		order = append(order, Expert(e))
	}
	slices.SortStableFunc(order, func(a, b Expert) int {
		sa, sb := load[a]/float64(counts[a]), load[b]/float64(counts[b])
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return 0
	})
	var out []Expert
	for _, e := range order {
		out = append(out, slices.Repeat([]Expert{e}, counts[e])...)
	}
	return out
}

// leastLoaded returns the least loaded rank that has a free slot and does not
// hold e, or a negative number if there is none.
func leastLoaded(p *placement, e Expert, loads []float64, used []int) int {
	best := -1
	for r := range loads {
		if used[r] == p.cfg.SlotsPerRank || p.holds(r, e) {
			continue
		}
		if best < 0 || loads[r] < loads[best] {
			best = r
		}
	}
	return best
}
