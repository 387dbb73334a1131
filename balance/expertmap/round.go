package expertmap

import (
	"math"
	"slices"
)

// RoundPlanner plans one of several short changes, called rounds: the maps of all layer
// sets at once, with a bound on the copies per rank. As ranks copy in parallel, the
// bound fixes the duration of the change.
type RoundPlanner struct {
	// Ranks is the number of ranks, Experts the number of experts of a set, and
	// SlotsPerRank the number of experts of a set that a rank can hold. Required.
	Ranks, Experts, SlotsPerRank int
	// MaxNewPerSet bounds the experts of a set that a rank copies. Required.
	MaxNewPerSet int
	// MaxCopiesPerRank bounds the experts that a rank copies over all sets. Required.
	MaxCopiesPerRank int
	// Slowdowns are the step times of the ranks relative to the usual one, by which their
	// loads are multiplied. Nil means that no rank is slow.
	Slowdowns []float64
	// MinGain is the least reduction of the largest rank load over the mean,
	// summed over the sets, that justifies a copy. Default: 0.005.
	MinGain float64
}

const (
	defaultMinGain = 0.005
	// peakPower is the order p of the p-norm of the rank loads: the higher, the closer the
	// norm is to the maximum. With 12 the second of two equal peaks still counts.
	peakPower = 12
	// coldCandidates bounds the least loaded ranks that are tried for a replica.
	coldCandidates = 12
	// hotCandidates bounds the most loaded ranks whose experts are tried.
	hotCandidates = 3
)

// RoundPlan is a proposed change of all sets.
type RoundPlan struct {
	// Maps are the maps of the sets after the change.
	Maps []Map
	// Copies is the number of copied experts, and MaxCopies the most at one rank.
	Copies, MaxCopies int
	// SkewBefore and SkewAfter are the means over the sets of the largest rank
	// load over the mean.
	SkewBefore, SkewAfter float64
}

// Plan returns the change from the current maps under the loads, set by set.
// It does not modify its arguments.
func (c RoundPlanner) Plan(current []Map, loads []Load) RoundPlan {
	if c.MinGain == 0 {
		c.MinGain = defaultMinGain
	}
	p := roundSearch{cfg: c, copies: make([]int, c.Ranks)}
	for s := range current {
		p.sets = append(p.sets, newRoundSet(c, current[s], loads[s]))
	}
	before := p.skew()
	for p.applyBestMove() {
	}
	out := RoundPlan{SkewBefore: before, SkewAfter: p.skew()}
	for _, s := range p.sets {
		out.Maps = append(out.Maps, s.toMap())
	}
	for _, n := range p.copies {
		out.Copies += n
		out.MaxCopies = max(out.MaxCopies, n)
	}
	return out
}

// roundSearch is a greedy search that lowers the peak loads of all sets.
type roundSearch struct {
	cfg    RoundPlanner
	sets   []*roundSet
	copies []int // by rank, over all sets
}

func (p *roundSearch) skew() float64 {
	var sum float64
	for _, s := range p.sets {
		sum += slices.Max(s.rankLoads)
	}
	return sum / float64(max(len(p.sets), 1))
}

// roundMove puts an expert into a slot, and for an exchange the replaced one into
// the slot that the first came from.
type roundMove struct {
	set        int
	rank, slot int
	expert     int
	// otherRank is negative unless the move is an exchange.
	otherRank, otherSlot int
	// gain is the reduction of the peak norm per copy.
	gain float64
}

// applyBestMove applies the best move over all sets. It returns false if none justifies a copy.
func (p *roundSearch) applyBestMove() bool {
	best := roundMove{gain: p.cfg.MinGain}
	found := false
	for i, s := range p.sets {
		if s.best.gain == 0 || s.bestRuledOut(p) {
			s.best = s.search(p, i)
		}
		if s.best.gain > best.gain {
			best, found = s.best, true
		}
	}
	if !found {
		return false
	}
	s := p.sets[best.set]
	p.apply(s, best)
	s.best = roundMove{}
	return true
}

func (p *roundSearch) apply(s *roundSet, m roundMove) {
	old := s.slots[m.rank][m.slot]
	s.assign(m.rank, m.slot, m.expert)
	p.countCopy(s, m.rank, m.expert)
	if m.otherRank >= 0 {
		s.assign(m.otherRank, m.otherSlot, old)
		p.countCopy(s, m.otherRank, old)
	}
}

// countCopy counts a copy, unless the rank held the expert before the round or the
// slot stays empty.
func (p *roundSearch) countCopy(s *roundSet, rank, expert int) {
	if expert >= 0 && !s.heldBefore[rank][expert] {
		p.copies[rank]++
		s.copies[rank]++
	}
}

// slowdown returns the slowdown of a rank, 1 by default.
func (c RoundPlanner) slowdown(rank int) float64 {
	if c.Slowdowns == nil {
		return 1
	}
	return c.Slowdowns[rank]
}

// roundSet is the placement of one set during a search. Loads are relative to the
// mean, and multiplied by the slowdown of their rank.
type roundSet struct {
	cfg        RoundPlanner
	slots      [][]int // by rank; -1 is empty
	heldBefore []map[int]bool
	copies     []int // by rank, in this set
	holders    [][]int
	load       []float64
	rankLoads  []float64
	best       roundMove
	// delta holds tentative changes of rank loads, and touched their ranks.
	delta   []float64
	touched []int
}

func newRoundSet(c RoundPlanner, m Map, load Load) *roundSet {
	s := &roundSet{
		cfg: c, copies: make([]int, c.Ranks), holders: make([][]int, c.Experts),
		load: make([]float64, c.Experts), rankLoads: make([]float64, c.Ranks), delta: make([]float64, c.Ranks),
	}
	mean := load.Total() / float64(c.Ranks)
	for e := range s.load {
		if mean > 0 {
			s.load[e] = load[e] / mean
		}
	}
	for r := range c.Ranks {
		row := slices.Repeat([]int{-1}, c.SlotsPerRank)
		heldBefore := make(map[int]bool, c.SlotsPerRank)
		for i, e := range m.Slots[r] {
			if e != NoExpert && i < c.SlotsPerRank {
				row[i] = int(e)
				heldBefore[int(e)] = true
				s.holders[e] = append(s.holders[e], r)
			}
		}
		s.slots, s.heldBefore = append(s.slots, row), append(s.heldBefore, heldBefore)
	}
	for e, holders := range s.holders {
		for _, r := range holders {
			s.rankLoads[r] += c.slowdown(r) * s.load[e] / float64(len(holders))
		}
	}
	return s
}

func (s *roundSet) toMap() Map {
	out := Map{Slots: make([][]Expert, len(s.slots))}
	for r, row := range s.slots {
		for _, e := range row {
			out.Slots[r] = append(out.Slots[r], Expert(e))
		}
	}
	return out
}

// setHolders replaces the holders of an expert and updates the rank loads.
func (s *roundSet) setHolders(e int, holders []int) {
	for _, r := range s.holders[e] {
		s.rankLoads[r] -= s.cfg.slowdown(r) * s.load[e] / float64(len(s.holders[e]))
	}
	s.holders[e] = holders
	for _, r := range holders {
		s.rankLoads[r] += s.cfg.slowdown(r) * s.load[e] / float64(len(holders))
	}
}

// assign replaces the content of a slot by an expert. A negative expert empties it.
func (s *roundSet) assign(rank, slot, expert int) {
	if old := s.slots[rank][slot]; old >= 0 {
		holders := slices.Clone(s.holders[old])
		i := slices.Index(holders, rank)
		s.setHolders(old, slices.Delete(holders, i, i+1))
	}
	s.slots[rank][slot] = expert
	if expert < 0 {
		return
	}
	s.setHolders(expert, append(slices.Clone(s.holders[expert]), rank))
}

// bestRuledOut reports whether copies for other sets rule out the best move.
func (s *roundSet) bestRuledOut(p *roundSearch) bool {
	return !s.withinBounds(p, s.best.rank, s.best.expert) ||
		s.best.otherRank >= 0 && !s.withinBounds(p, s.best.otherRank, s.slots[s.best.rank][s.best.slot])
}

// withinBounds reports whether a rank may take an expert within the bounds on copies.
func (s *roundSet) withinBounds(p *roundSearch, rank, expert int) bool {
	if expert < 0 || s.heldBefore[rank][expert] {
		return true
	}
	return p.copies[rank] < p.cfg.MaxCopiesPerRank && s.copies[rank] < p.cfg.MaxNewPerSet
}

// power returns load to the power of peakPower.
func power(load float64) float64 {
	l2 := load * load
	l4 := l2 * l2
	return l4 * l4 * l4
}

// powerSum returns the sum of the powers of all rank loads.
func (s *roundSet) powerSum() float64 {
	var sum float64
	for _, l := range s.rankLoads {
		sum += power(l)
	}
	return sum
}

// norm returns the p-norm, a smooth approximation of the largest rank load, from the power sum.
func norm(powerSum float64) float64 { return math.Pow(max(powerSum, 0), 1.0/peakPower) }

// search returns the best move of the set, with gain zero if there is none.
func (s *roundSet) search(p *roundSearch, set int) roundMove {
	order := s.byLoad()
	hot := order[:min(hotCandidates, len(order))]
	cold := order[max(0, len(order)-coldCandidates):]
	b := bestMoves{set: set, before: s.powerSum()}
	for _, h := range hot {
		for slot, e := range s.slots[h] {
			if e < 0 {
				continue
			}
			if p.cfg.slowdown(h) > 1 && len(s.holders[e]) > 1 {
				s.tryDrop(&b, h, slot)
			}
			for _, r := range cold {
				if s.rankLoads[r] < s.rankLoads[h] && !slices.Contains(s.slots[r], e) && s.withinBounds(p, r, e) {
					s.tryReplica(&b, r, e)
					s.tryExchange(p, &b, h, slot, r)
				}
			}
		}
	}
	return b.best()
}

// byLoad returns the ranks in descending order of load.
func (s *roundSet) byLoad() []int {
	order := make([]int, len(s.rankLoads))
	for r := range order {
		order[r] = r
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case s.rankLoads[a] > s.rankLoads[b]:
			return -1
		case s.rankLoads[a] < s.rankLoads[b]:
			return 1
		}
		return 0
	})
	return order
}

// bestMoves holds the best move for each number of copies.
type bestMoves struct {
	set    int
	before float64
	// after is the power sum after the best move, by its number of copies.
	after [3]float64
	moves [3]roundMove
}

func (b *bestMoves) consider(copies int, after float64, m roundMove) {
	copies = max(copies, 1)
	if b.after[copies] == 0 || after < b.after[copies] {
		b.after[copies], b.moves[copies] = after, m
	}
}

// best returns the move with the greatest gain per copy.
func (b *bestMoves) best() roundMove {
	best := roundMove{set: b.set, otherRank: -1}
	for copies := 1; copies < len(b.after); copies++ {
		if b.after[copies] == 0 {
			continue
		}
		if gain := (norm(b.before) - norm(b.after[copies])) / float64(copies); gain > best.gain {
			best = b.moves[copies]
			best.set, best.gain = b.set, gain
		}
	}
	return best
}

// tryDrop evaluates removing a replica from a slow rank if other ranks hold the expert too.
func (s *roundSet) tryDrop(b *bestMoves, h, slot int) {
	e := s.slots[h][slot]
	n := float64(len(s.holders[e]))
	for _, r := range s.holders[e] {
		if r == h {
			s.addDelta(r, -s.load[e]/n)
		} else {
			s.addDelta(r, s.load[e]/(n-1)-s.load[e]/n)
		}
	}
	b.consider(0, s.resolveDeltas(b.before), roundMove{rank: h, slot: slot, expert: -1, otherRank: -1})
}

// tryReplica evaluates a replica of e at rank r in place of each spare one there.
func (s *roundSet) tryReplica(b *bestMoves, r, e int) {
	for slot, x := range s.slots[r] {
		if x >= 0 && len(s.holders[x]) < 2 {
			continue
		}
		after := s.powerSumAfterReplace(b.before, r, x, e)
		b.consider(1, after, roundMove{rank: r, slot: slot, expert: e, otherRank: -1})
	}
}

// powerSumAfterReplace returns the power sum if rank r held e instead of x, which is
// negative for an empty slot.
func (s *roundSet) powerSumAfterReplace(before float64, r, x, e int) float64 {
	n := float64(len(s.holders[e]))
	share, shared := s.load[e]/n, s.load[e]/(n+1)
	s.addDelta(r, shared)
	for _, h := range s.holders[e] {
		s.addDelta(h, shared-share)
	}
	if x >= 0 {
		m := float64(len(s.holders[x]))
		for _, h := range s.holders[x] {
			if h == r {
				s.addDelta(h, -s.load[x]/m)
			} else {
				s.addDelta(h, s.load[x]/(m-1)-s.load[x]/m)
			}
		}
	}
	return s.resolveDeltas(before)
}

// addDelta records a tentative change of a rank's load, before its slowdown.
func (s *roundSet) addDelta(rank int, diff float64) {
	if s.delta[rank] == 0 {
		s.touched = append(s.touched, rank)
	}
	s.delta[rank] += s.cfg.slowdown(rank) * diff
}

// resolveDeltas returns the power sum after the tentative changes and clears them.
func (s *roundSet) resolveDeltas(before float64) float64 {
	for _, r := range s.touched {
		before += power(s.rankLoads[r]+s.delta[r]) - power(s.rankLoads[r])
	}
	for _, r := range s.touched {
		s.delta[r] = 0
	}
	s.touched = s.touched[:0]
	return before
}

// tryExchange evaluates exchanging the expert in a slot of rank h with each one of
// rank r.
func (s *roundSet) tryExchange(p *roundSearch, b *bestMoves, h, slot, r int) {
	e := s.slots[h][slot]
	share := s.load[e] / float64(len(s.holders[e]))
	for other, x := range s.slots[r] {
		if x < 0 || slices.Contains(s.slots[h], x) || !s.withinBounds(p, h, x) {
			continue
		}
		diff := share - s.load[x]/float64(len(s.holders[x]))
		if diff <= 0 {
			continue
		}
		copies := 0
		if !s.heldBefore[r][e] {
			copies++
		}
		if !s.heldBefore[h][x] {
			copies++
		}
		s.addDelta(h, -diff)
		s.addDelta(r, diff)
		b.consider(copies, s.resolveDeltas(b.before), roundMove{rank: r, slot: other, expert: e, otherRank: h, otherSlot: slot})
	}
}
