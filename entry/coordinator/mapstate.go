package coordinator

import (
	"slices"

	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

// layerMaps holds the map of each layer.
type layerMaps []expertmap.Map

// mapState holds the maps that this coordinator planned, and the base: the map whose
// weights the ranks hold now. The layout of a base planned by an earlier coordinator is
// requested from the ranks.
type mapState struct {
	cfg     Config
	planned map[lockstep.Version]layerMaps
	// base is the version that the fields below describe.
	base lockstep.Version
	// holdsBase marks the ranks that hold the weights of base.
	holdsBase []bool
	// layouts are the layouts reported by the ranks, nil if missing.
	layouts []groupmsg.Layout
	// loads are the latest token counts of each rank under base, nil if missing.
	loads []*groupmsg.Loads
	// reports are the latest reports by rank.
	reports []lockstep.Report
	// moves are the moves from the held maps to the map movesTo, by rank and layer, or nil.
	// They are dropped when the held maps change.
	moves   [][][]expertmap.Move
	movesTo lockstep.Version
}

func newMapState(cfg Config) *mapState {
	m := &mapState{cfg: cfg, planned: map[lockstep.Version]layerMaps{}, reports: make([]lockstep.Report, cfg.Shape.Ranks)}
	m.setBase(0)
	return m
}

func (m *mapState) setBase(v lockstep.Version) {
	n := m.cfg.Shape.Ranks
	m.base = v
	m.holdsBase = make([]bool, n)
	m.layouts = make([]groupmsg.Layout, n)
	m.loads = make([]*groupmsg.Loads, n)
	m.moves = nil
}

// addStatus stores the layout and loads of a status if they belong to base.
func (m *mapState) addStatus(s groupmsg.Status) {
	r := s.Report.Rank
	if d := s.Described; d != nil && d.Map == m.base && m.validLayout(d.Layout) {
		m.layouts[r] = d.Layout
	}
	if l := s.Loads; l != nil && l.Map == m.base && l.Steps > 0 {
		m.loads[r] = l
	}
}

// validLayout reports whether a layout has the configured layers, slots and experts.
func (m *mapState) validLayout(l groupmsg.Layout) bool {
	if len(l) != m.cfg.Layers {
		return false
	}
	for _, slots := range l {
		if len(slots) != m.cfg.Shape.SlotsPerRank {
			return false
		}
		for _, e := range slots {
			if e < expertmap.NoExpert || int(e) >= m.cfg.Shape.Experts {
				return false
			}
		}
	}
	return true
}

// applyReports updates base and which ranks hold it. The base is the newest map that was
// decided on, or else the newest that any rank holds.
func (m *mapState) applyReports(reports []lockstep.Report) {
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
	if base != m.base {
		m.setBase(base)
	}
	for i, r := range reports {
		replaced := r.Incarnation != m.reports[i].Incarnation
		if holds := r.HasStaged(base); holds != m.holdsBase[i] {
			m.holdsBase[i] = holds
			m.moves = nil
		}
		if replaced || !m.holdsBase[i] {
			m.layouts[i], m.loads[i] = nil, nil
		}
		m.reports[i] = r
	}
}

// layoutToRequest returns the version whose layout to request from a rank, zero for none.
func (m *mapState) layoutToRequest(rank int) lockstep.Version {
	if m.planned[m.base] != nil || !m.holdsBase[rank] || m.layouts[rank] != nil {
		return 0
	}
	return m.base
}

// heldMaps returns the maps that the ranks hold, and false while layouts are missing.
// Ranks without the weights of base count as empty.
func (m *mapState) heldMaps() (layerMaps, bool) {
	out := make(layerMaps, m.cfg.Layers)
	for i := range out {
		out[i] = expertmap.NewMap(m.cfg.Shape.Ranks, m.cfg.Shape.SlotsPerRank)
	}
	planned := m.planned[m.base]
	for r, holds := range m.holdsBase {
		if !holds {
			continue
		}
		if planned == nil && m.layouts[r] == nil {
			return nil, false
		}
		for i := range out {
			if planned != nil {
				out[i].Slots[r] = slices.Clone(planned[i].Slots[r])
			} else {
				out[i].Slots[r] = slices.Clone(m.layouts[r][i])
			}
		}
	}
	return out, true
}

// hasPlanned reports whether this coordinator planned v.
func (m *mapState) hasPlanned(v lockstep.Version) bool { return m.planned[v] != nil }

// weightsFor returns the weights a rank has to load for a map planned by this coordinator.
func (m *mapState) weightsFor(v lockstep.Version, rank int) (groupmsg.Weights, bool) {
	target := m.planned[v]
	if target == nil || !m.ensureMoves(v, target) {
		return groupmsg.Weights{}, false
	}
	w := groupmsg.Weights{Map: v, Moves: m.moves[rank]}
	for i := range target {
		w.Layout = append(w.Layout, target[i].Slots[rank])
	}
	return w, true
}

// ensureMoves computes moves, and returns false while the layout of a rank is missing.
func (m *mapState) ensureMoves(v lockstep.Version, target layerMaps) bool {
	if m.moves != nil && m.movesTo == v {
		return true
	}
	held, ok := m.heldMaps()
	if !ok {
		return false
	}
	m.movesTo = v
	m.moves = make([][][]expertmap.Move, m.cfg.Shape.Ranks)
	for r := range m.moves {
		m.moves[r] = make([][]expertmap.Move, m.cfg.Layers)
	}
	for i := range target {
		for _, move := range expertmap.Moves(held[i], target[i]) {
			m.moves[move.Rank][i] = append(m.moves[move.Rank][i], move)
		}
	}
	return true
}

// expertLoad returns the tokens per step of each expert by layer, and false while the
// counts of a rank are missing.
func (m *mapState) expertLoad(held layerMaps) ([]expertmap.Load, bool) {
	out := make([]expertmap.Load, m.cfg.Layers)
	for i := range out {
		out[i] = make(expertmap.Load, m.cfg.Shape.Experts)
	}
	for r, l := range m.loads {
		if l == nil || len(l.Tokens) != m.cfg.Layers {
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

// addPlanned stores a planned map and drops all others but base.
func (m *mapState) addPlanned(v lockstep.Version, maps layerMaps) {
	for old := range m.planned {
		if old != m.base {
			delete(m.planned, old)
		}
	}
	m.planned[v] = maps
}

// clearLoads drops the counts, so that the next plan waits for new ones.
func (m *mapState) clearLoads() { clear(m.loads) }
