package coordinator

import (
	"slices"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

// layers is the map of every layer.
type layers []expertmap.Map

// atlas holds what the coordinator knows of maps: the ones it made, and the base,
// the map whose weights the ranks hold at present. The contents of a base that an
// earlier coordinator made are asked from the ranks.
type atlas struct {
	cfg  Config
	made map[lockstep.Version]layers
	// base is the version that the fields below describe.
	base lockstep.Version
	// holds tells which ranks have the weights of base.
	holds []bool
	// layouts are the answers of the ranks, nil if missing.
	layouts []groupmsg.Layout
	// loads are the latest counts of each rank under base, nil if missing.
	loads []*groupmsg.Loads
	// reports are the latest reports, by rank.
	reports []lockstep.Report
	// moves are those from what the ranks hold to the map movesTo, by rank, then
	// layer. They are dropped when what the ranks hold changes.
	moves   [][][]expertmap.Move
	movesTo lockstep.Version
}

func newAtlas(cfg Config) *atlas {
	a := &atlas{cfg: cfg, made: map[lockstep.Version]layers{}, reports: make([]lockstep.Report, cfg.Shape.Ranks)}
	a.setBase(0)
	return a
}

func (a *atlas) setBase(v lockstep.Version) {
	n := a.cfg.Shape.Ranks
	a.base = v
	a.holds = make([]bool, n)
	a.layouts = make([]groupmsg.Layout, n)
	a.loads = make([]*groupmsg.Loads, n)
	a.moves = nil
}

// take stores what a status tells.
func (a *atlas) take(s groupmsg.Status) {
	r := s.Report.Rank
	if d := s.Described; d != nil && d.Map == a.base && a.fits(d.Layout) {
		a.layouts[r] = d.Layout
	}
	if l := s.Loads; l != nil && l.Map == a.base && l.Steps > 0 {
		a.loads[r] = l
	}
}

// fits reports whether a layout has the configured number of layers, slots and experts.
func (a *atlas) fits(l groupmsg.Layout) bool {
	if len(l) != a.cfg.Layers {
		return false
	}
	for _, slots := range l {
		if len(slots) != a.cfg.Shape.SlotsPerRank {
			return false
		}
		for _, e := range slots {
			if e < expertmap.NoExpert || int(e) >= a.cfg.Shape.Experts {
				return false
			}
		}
	}
	return true
}

// update follows the reports of all ranks: the base is the newest map that was
// decided on, or the newest that any rank holds.
func (a *atlas) update(reports []lockstep.Report) {
	var decided, staged lockstep.Version
	for _, r := range reports {
		decided = max(decided, r.Committed.Map)
		if r.Pending.IsFormation() {
			decided = max(decided, r.Pending.Map)
		}
		for _, v := range r.Staged {
			staged = max(staged, v)
		}
	}
	base := decided
	if base == 0 {
		base = staged
	}
	if base != a.base {
		a.setBase(base)
	}
	for i, r := range reports {
		replaced := r.Incarnation != a.reports[i].Incarnation
		if holds := r.HasStaged(base); holds != a.holds[i] {
			a.holds[i] = holds
			a.moves = nil
		}
		if replaced || !a.holds[i] {
			a.layouts[i], a.loads[i] = nil, nil
		}
		a.reports[i] = r
	}
}

// wanted returns the version whose layout a rank should describe, zero for none.
func (a *atlas) wanted(rank int) lockstep.Version {
	if a.made[a.base] != nil || !a.holds[rank] || a.layouts[rank] != nil {
		return 0
	}
	return a.base
}

// held returns what the ranks hold, and false while answers are missing. Ranks
// without the weights of the base count as empty.
func (a *atlas) held() (layers, bool) {
	out := make(layers, a.cfg.Layers)
	for i := range out {
		out[i] = expertmap.NewMap(a.cfg.Shape.Ranks, a.cfg.Shape.SlotsPerRank)
	}
	made := a.made[a.base]
	for r, holds := range a.holds {
		if !holds {
			continue
		}
		if made == nil && a.layouts[r] == nil {
			return nil, false
		}
		for i := range out {
			if made != nil {
				out[i].Slots[r] = slices.Clone(made[i].Slots[r])
			} else {
				out[i].Slots[r] = slices.Clone(a.layouts[r][i])
			}
		}
	}
	return out, true
}

// knows reports whether the contents of v for every rank are known.
func (a *atlas) knows(v lockstep.Version) bool { return a.made[v] != nil }

// weights returns what a rank has to load for a map made by this coordinator.
func (a *atlas) weights(v lockstep.Version, rank int) (groupmsg.Weights, bool) {
	target := a.made[v]
	if target == nil || !a.planMoves(v, target) {
		return groupmsg.Weights{}, false
	}
	w := groupmsg.Weights{Map: v, Moves: a.moves[rank]}
	for i := range target {
		w.Layout = append(w.Layout, target[i].Slots[rank])
	}
	return w, true
}

// planMoves fills moves, and returns false while the layout of a rank is missing.
func (a *atlas) planMoves(v lockstep.Version, target layers) bool {
	if a.moves != nil && a.movesTo == v {
		return true
	}
	held, ok := a.held()
	if !ok {
		return false
	}
	a.movesTo = v
	a.moves = make([][][]expertmap.Move, a.cfg.Shape.Ranks)
	for r := range a.moves {
		a.moves[r] = make([][]expertmap.Move, a.cfg.Layers)
	}
	for i := range target {
		for _, m := range expertmap.Moves(held[i], target[i]) {
			a.moves[m.Rank][i] = append(a.moves[m.Rank][i], m)
		}
	}
	return true
}

// load returns the tokens per step of each expert and layer, and false while a
// rank's counts are missing.
func (a *atlas) load(held layers) ([]expertmap.Load, bool) {
	out := make([]expertmap.Load, a.cfg.Layers)
	for i := range out {
		out[i] = make(expertmap.Load, a.cfg.Shape.Experts)
	}
	for r, l := range a.loads {
		if l == nil || len(l.Tokens) != a.cfg.Layers {
			return nil, false
		}
		for i, slots := range l.Tokens {
			for s, tokens := range slots {
				if s >= len(held[i].Slots[r]) || held[i].Slots[r][s] == expertmap.NoExpert {
					continue
				}
				out[i][held[i].Slots[r][s]] += float64(tokens) / float64(l.Steps)
			}
		}
	}
	return out, true
}

// add stores a map made by this coordinator and forgets those that are no longer needed.
func (a *atlas) add(v lockstep.Version, m layers) {
	for old := range a.made {
		if old != a.base {
			delete(a.made, old)
		}
	}
	a.made[v] = m
}

// forgetLoads waits for new counts before the next plan.
func (a *atlas) forgetLoads() { clear(a.loads) }
