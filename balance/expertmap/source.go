package expertmap

import (
	"cmp"
	"slices"
	"time"
)

// alignSlots orders the slots of target so that experts which stay on a rank keep their slot.
func alignSlots(current, target Map) Map {
	out := Map{Slots: make([][]Expert, len(target.Slots))}
	for r := range target.Slots {
		out.Slots[r] = alignRank(current.Slots[r], target.Slots[r])
	}
	return out
}

func alignRank(current, target []Expert) []Expert {
	out := slices.Repeat([]Expert{NoExpert}, len(target))
	var rest []Expert
	for _, e := range target {
		if e == NoExpert {
			continue
		}
		if s := slices.Index(current, e); s >= 0 {
			out[s] = e
		} else {
			rest = append(rest, e)
		}
	}
	for s := range out {
		if out[s] == NoExpert && len(rest) > 0 {
			out[s] = rest[0]
			rest = rest[1:]
		}
	}
	return out
}

// Moves lists the slots of target whose weights the rank lacks, with a source for each.
func Moves(current, target Map) []Move {
	var out []Move
	for r := range target.Slots {
		for s, e := range target.Slots[r] {
			if e != NoExpert && !current.Holds(r, e) {
				out = append(out, Move{Expert: e, Rank: r, Slot: s, Source: FromStore})
			}
		}
	}
	assignSources(current, out)
	return out
}

// assignSources makes each move load from the holder with the fewest other
// transfers. Experts with few holders are assigned first.
func assignSources(current Map, moves []Move) {
	holders := map[Expert][]int{}
	for r, slots := range current.Slots {
		for _, e := range slots {
			if e != NoExpert {
				holders[e] = append(holders[e], r)
			}
		}
	}
	order := make([]int, len(moves))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(len(holders[moves[a].Expert]), len(holders[moves[b].Expert]))
	})
	sends := make([]int, len(current.Slots))
	for _, i := range order {
		source := FromStore
		for _, r := range holders[moves[i].Expert] {
			if source == FromStore || sends[r] < sends[source] {
				source = r
			}
		}
		moves[i].Source = source
		if source != FromStore {
			sends[source]++
		}
	}
}

// newPlan builds the plan from current to target and estimates gain and cost.
func newPlan(cfg Config, load Load, current, target Map) Plan {
	target = alignSlots(current, target)
	p := Plan{
		Target: target, Moves: Moves(current, target),
		SkewBefore: current.Skew(load), SkewAfter: target.Skew(load),
		Repairs: slices.Contains(current.Replicas(cfg.Experts), 0),
	}
	for _, m := range p.Moves {
		if m.Source == FromStore {
			p.StoreBytes += cfg.ExpertBytes
		} else {
			p.RankBytes += cfg.ExpertBytes
		}
	}
	p.Transfer = transferTime(cfg, p)
	p.Gain = gain(cfg, load, p)
	if p.Changes() {
		p.Cost = time.Duration(float64(p.Transfer)*cfg.TransferSlowdown) + cfg.SwitchTime
	}
	return p
}

// transferTime returns the time of the slowest of all senders, receivers and the store.
func transferTime(cfg Config, p Plan) time.Duration {
	sends := make([]int, cfg.Ranks)
	receives := make([]int, cfg.Ranks)
	var most int
	for _, m := range p.Moves {
		receives[m.Rank]++
		most = max(most, receives[m.Rank])
		if m.Source != FromStore {
			sends[m.Source]++
			most = max(most, sends[m.Source])
		}
	}
	seconds := float64(most) * float64(cfg.ExpertBytes) / cfg.RankBandwidth
	seconds = max(seconds, float64(p.StoreBytes)/cfg.StoreBandwidth)
	return time.Duration(seconds * float64(time.Second))
}

func gain(cfg Config, load Load, p Plan) time.Duration {
	mean := load.Total() / float64(cfg.Ranks)
	tokens := (p.SkewBefore - p.SkewAfter) * mean
	steps := float64(cfg.Horizon) / float64(cfg.StepTime)
	return time.Duration(tokens * float64(cfg.TokenTime) * steps)
}

// StepsSlowed returns the number of steps that run during the transfer.
func (p Plan) StepsSlowed(cfg Config) int {
	return int((p.Transfer + cfg.StepTime - 1) / cfg.StepTime)
}
