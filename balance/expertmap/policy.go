package expertmap

import (
	"cmp"
	"slices"
)

// Incremental moves few experts from the current map, and only if that pays off
// within the horizon or an expert has no replica.
type Incremental struct{ Config Config }

// Plan implements Policy.
func (p Incremental) Plan(current Map, load Load) Plan {
	cfg := p.Config.WithDefaults()
	best := newPlan(cfg, load, current, improvedMap(cfg, load, current))
	if best.SkewAfter > cfg.TargetSkew {
		rebuilt := freshPlacement(cfg, load)
		rebuilt.repair()
		rebuilt.improve()
		candidate := newPlan(cfg, load, current, relabel(cfg, current, rebuilt.toMap()))
		if candidate.Gain-candidate.Cost > best.Gain-best.Cost {
			best = candidate
		}
	}
	if best.Gain <= best.Cost && !best.Repairs {
		return newPlan(cfg, load, current, current)
	}
	return best
}

func improvedMap(cfg Config, load Load, current Map) Map {
	p := newPlacement(cfg, load, current)
	p.repair()
	p.improve()
	return p.toMap()
}

// relabel assigns the rank contents of target to ranks so that ranks keep many of
// the experts that they hold.
func relabel(cfg Config, current, target Map) Map {
	type pair struct{ from, to, common int }
	held := newPlacement(cfg, make(Load, cfg.Experts), current)
	var pairs []pair
	for from, slots := range target.Slots {
		for to := range current.Slots {
			var common int
			for _, e := range slots {
				if e != NoExpert && held.holds(to, e) {
					common++
				}
			}
			pairs = append(pairs, pair{from, to, common})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return cmp.Compare(b.common, a.common) })
	out := Map{Slots: make([][]Expert, cfg.Ranks)}
	placed := make([]bool, cfg.Ranks)
	for _, p := range pairs {
		if !placed[p.from] && out.Slots[p.to] == nil {
			out.Slots[p.to] = target.Slots[p.from]
			placed[p.from] = true
		}
	}
	return out
}

// Static keeps the map, but adds a replica of experts without one.
type Static struct{ Config Config }

// Plan implements Policy.
func (p Static) Plan(current Map, load Load) Plan {
	cfg := p.Config.WithDefaults()
	next := newPlacement(cfg, load, current)
	next.repair()
	return newPlan(cfg, load, current, next.toMap())
}

// Reshuffle computes a new placement for each plan, regardless of the moves it takes.
type Reshuffle struct{ Config Config }

// Plan implements Policy.
func (p Reshuffle) Plan(current Map, load Load) Plan {
	cfg := p.Config.WithDefaults()
	next := freshPlacement(cfg, load)
	next.repair()
	return newPlan(cfg, load, current, next.toMap())
}

// Initial returns a map for a group that holds no experts yet.
func Initial(cfg Config, load Load) Map {
	return Reshuffle{cfg}.Plan(NewMap(cfg.Ranks, cfg.SlotsPerRank), load).Target
}
