package expertmap

import (
	"math"
	"slices"
)

// RoundPlanner plans one of several quick changes: the maps of all sets of layers at
// once, with a bound on what each rank copies. As ranks copy side by side, the
// bound fixes the time of the change.
type RoundPlanner struct {
	// Ranks, Experts and SlotsPerRank are the ranks of the group, the experts of a set
	// and the experts of a set that a rank can hold. Required.
	Ranks, Experts, SlotsPerRank int
	// MaxNewPerSet bounds the experts of a set that are new to a rank. Required.
	MaxNewPerSet int
	// MaxCopiesPerRank bounds the experts that a rank copies over all sets. Required.
	MaxCopiesPerRank int
	// SlowFactors is how much slower than usual each rank is; one is usual. A rank's load
	// counts that many times. Nil means that no rank is slow.
	SlowFactors []float64
	// MinGain is the least reduction of the largest rank load over the mean,
	// summed over the sets, that is worth a copy. Default: 0.005.
	MinGain float64
}

const (
	defaultMinGain = 0.005
	// peakPower is the order of the norm of the rank loads: the greater, the closer
	// it comes to the largest one. 12 still sees the second of two equal peaks.
	peakPower = 12
	// coldChoices bounds the least loaded ranks that are tried for a replica.
	coldChoices = 12
	// hotChoices bounds the most loaded ranks whose experts are tried.
	hotChoices = 3
)

// RoundPlan is a proposed change of all sets.
type RoundPlan struct {
	// Maps are the maps of the sets after the change.
	Maps []Map
	// Copies is the number of experts that are copied, and MaxCopies the most at one rank.
	Copies, MaxCopies int
	// SkewBefore and SkewAfter are the means over the sets of the largest rank
	// load over the mean.
	SkewBefore, SkewAfter float64
}

// Plan returns the change from the current maps under the loads, set by set.
// It does not change its arguments.
func (c RoundPlanner) Plan(current []Map, loads []Load) RoundPlan {
	if c.MinGain == 0 {
		c.MinGain = defaultMinGain
	}
	p := roundSearch{cfg: c, copies: make([]int, c.Ranks)}
	for s := range current {
		p.sets = append(p.sets, newRoundSet(c, current[s], loads[s]))
	}
	before := p.skew()
	for p.step() {
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

// roundSearch lowers the peaks of all sets step by step.
type roundSearch struct {
	cfg    RoundPlanner
	sets   []*roundSet
	copies []int
}

func (p *roundSearch) skew() float64 {
	var sum float64
	for _, s := range p.sets {
		sum += slices.Max(s.ranks)
	}
	return sum / float64(max(len(p.sets), 1))
}

// roundMove puts an expert in a place, and may put another one where the first
// came from.
type roundMove struct {
	set         int
	rank, place int
	expert      int
	// otherRank is negative unless the move is an exchange.
	otherRank, otherPlace int
	// gain is the reduction of the peak norm per copy.
	gain float64
}

// step applies the best move over all sets. It is false if none is worth a copy.
func (p *roundSearch) step() bool {
	best := roundMove{gain: p.cfg.MinGain}
	found := false
	for i, s := range p.sets {
		if s.best.gain == 0 || s.stale(p) {
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
	old := s.places[m.rank][m.place]
	s.put(m.rank, m.place, m.expert)
	p.count(s, m.rank, m.expert)
	if m.otherRank >= 0 {
		s.put(m.otherRank, m.otherPlace, old)
		p.count(s, m.otherRank, old)
	}
}

// count takes note of a copy, unless the rank held the expert before the round or
// the place stays empty.
func (p *roundSearch) count(s *roundSet, rank, expert int) {
	if expert >= 0 && !s.held[rank][expert] {
		p.copies[rank]++
		s.added[rank]++
	}
}

// pace returns how much slower than usual a rank is.
func (c RoundPlanner) pace(rank int) float64 {
	if c.SlowFactors == nil {
		return 1
	}
	return c.SlowFactors[rank]
}

// roundSet is the placement of one set during a search. Loads are relative to
// the mean of the ranks, and multiplied by the pace of their rank.
type roundSet struct {
	cfg    RoundPlanner
	places [][]int // by rank; -1 is empty
	held   []map[int]bool
	added  []int // copies at each rank in this set
	on     [][]int
	load   []float64
	ranks  []float64
	best   roundMove
	// delta holds the noted changes of rank loads, and touched their ranks.
	delta   []float64
	touched []int
}

func newRoundSet(c RoundPlanner, m Map, load Load) *roundSet {
	s := &roundSet{
		cfg: c, added: make([]int, c.Ranks), on: make([][]int, c.Experts),
		load: make([]float64, c.Experts), ranks: make([]float64, c.Ranks), delta: make([]float64, c.Ranks),
	}
	mean := load.Total() / float64(c.Ranks)
	for e := range s.load {
		if mean > 0 {
			s.load[e] = load[e] / mean
		}
	}
	for r := range c.Ranks {
		row := slices.Repeat([]int{-1}, c.SlotsPerRank)
		held := make(map[int]bool, c.SlotsPerRank)
		for i, e := range m.Slots[r] {
			if e != NoExpert && i < c.SlotsPerRank {
				row[i] = int(e)
				held[int(e)] = true
				s.on[e] = append(s.on[e], r)
			}
		}
		s.places, s.held = append(s.places, row), append(s.held, held)
	}
	for e, on := range s.on {
		for _, r := range on {
			s.ranks[r] += c.pace(r) * s.load[e] / float64(len(on))
		}
	}
	return s
}

func (s *roundSet) toMap() Map {
	out := Map{Slots: make([][]Expert, len(s.places))}
	for r, row := range s.places {
		for _, e := range row {
			out.Slots[r] = append(out.Slots[r], Expert(e))
		}
	}
	return out
}

// setHolders replaces the ranks of an expert and corrects the rank loads.
func (s *roundSet) setHolders(e int, on []int) {
	for _, r := range s.on[e] {
		s.ranks[r] -= s.cfg.pace(r) * s.load[e] / float64(len(s.on[e]))
	}
	s.on[e] = on
	for _, r := range on {
		s.ranks[r] += s.cfg.pace(r) * s.load[e] / float64(len(on))
	}
}

// put puts an expert in a place, from which the former one goes. A negative expert
// leaves it empty.
func (s *roundSet) put(rank, place, expert int) {
	if old := s.places[rank][place]; old >= 0 {
		on := slices.Clone(s.on[old])
		i := slices.Index(on, rank)
		s.setHolders(old, slices.Delete(on, i, i+1))
	}
	s.places[rank][place] = expert
	if expert < 0 {
		return
	}
	s.setHolders(expert, append(slices.Clone(s.on[expert]), rank))
}

// stale reports whether the copies of other sets rule the best move out.
func (s *roundSet) stale(p *roundSearch) bool {
	return !s.permits(p, s.best.rank, s.best.expert) ||
		s.best.otherRank >= 0 && !s.permits(p, s.best.otherRank, s.places[s.best.rank][s.best.place])
}

// permits reports whether a rank may take an expert within the bounds.
func (s *roundSet) permits(p *roundSearch, rank, expert int) bool {
	if expert < 0 || s.held[rank][expert] {
		return true
	}
	return p.copies[rank] < p.cfg.MaxCopiesPerRank && s.added[rank] < p.cfg.MaxNewPerSet
}

// power returns the load to the order of the norm, for a rank that is not overdrawn.
func power(load float64) float64 {
	l2 := load * load
	l4 := l2 * l2
	return l4 * l4 * l4
}

// powers returns the sum of the powers of all rank loads.
func (s *roundSet) powers() float64 {
	var sum float64
	for _, l := range s.ranks {
		sum += power(l)
	}
	return sum
}

// norm is a smooth measure of the largest rank load, from the sum of the powers.
func norm(powers float64) float64 { return math.Pow(max(powers, 0), 1.0/peakPower) }

// search returns the best move of the set, with gain zero if there is none.
func (s *roundSet) search(p *roundSearch, set int) roundMove {
	order := s.byLoad()
	hot := order[:min(hotChoices, len(order))]
	cold := order[max(0, len(order)-coldChoices):]
	b := bestMoves{set: set, before: s.powers()}
	for _, h := range hot {
		for place, e := range s.places[h] {
			if e < 0 {
				continue
			}
			if p.cfg.pace(h) > 1 && len(s.on[e]) > 1 {
				s.tryDrop(&b, h, place)
			}
			for _, r := range cold {
				if s.ranks[r] < s.ranks[h] && !slices.Contains(s.places[r], e) && s.permits(p, r, e) {
					s.tryReplica(&b, r, e)
					s.tryExchange(p, &b, h, place, r)
				}
			}
		}
	}
	return b.best()
}

// byLoad returns the ranks, the most loaded first.
func (s *roundSet) byLoad() []int {
	order := make([]int, len(s.ranks))
	for r := range order {
		order[r] = r
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case s.ranks[a] > s.ranks[b]:
			return -1
		case s.ranks[a] < s.ranks[b]:
			return 1
		}
		return 0
	})
	return order
}

// bestMoves keeps the best move for each number of copies.
type bestMoves struct {
	set    int
	before float64
	// after is the sum of the powers after the best move with one or two copies,
	// and moves are those moves.
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

// tryDrop considers that a slow rank gives up an expert which others hold too.
func (s *roundSet) tryDrop(b *bestMoves, h, place int) {
	e := s.places[h][place]
	n := float64(len(s.on[e]))
	for _, r := range s.on[e] {
		if r == h {
			s.shift(r, -s.load[e]/n)
		} else {
			s.shift(r, s.load[e]/(n-1)-s.load[e]/n)
		}
	}
	b.consider(0, s.settle(b.before), roundMove{rank: h, place: place, expert: -1, otherRank: -1})
}

// tryReplica considers a replica of e at rank r in place of each spare one there.
func (s *roundSet) tryReplica(b *bestMoves, r, e int) {
	for place, x := range s.places[r] {
		if x >= 0 && len(s.on[x]) < 2 {
			continue
		}
		after := s.replaced(b.before, r, x, e)
		b.consider(1, after, roundMove{rank: r, place: place, expert: e, otherRank: -1})
	}
}

// replaced returns the sum of the powers if rank r held e instead of x, which is
// negative for an empty place.
func (s *roundSet) replaced(before float64, r, x, e int) float64 {
	n := float64(len(s.on[e]))
	share, shared := s.load[e]/n, s.load[e]/(n+1)
	s.shift(r, shared)
	for _, h := range s.on[e] {
		s.shift(h, shared-share)
	}
	if x >= 0 {
		m := float64(len(s.on[x]))
		for _, h := range s.on[x] {
			if h == r {
				s.shift(h, -s.load[x]/m)
			} else {
				s.shift(h, s.load[x]/(m-1)-s.load[x]/m)
			}
		}
	}
	return s.settle(before)
}

// shift notes a change of a rank's load, before its pace.
func (s *roundSet) shift(rank int, by float64) {
	if s.delta[rank] == 0 {
		s.touched = append(s.touched, rank)
	}
	s.delta[rank] += s.cfg.pace(rank) * by
}

// settle returns the sum of the powers after the noted changes and forgets them.
func (s *roundSet) settle(before float64) float64 {
	for _, r := range s.touched {
		before += power(s.ranks[r]+s.delta[r]) - power(s.ranks[r])
	}
	for _, r := range s.touched {
		s.delta[r] = 0
	}
	s.touched = s.touched[:0]
	return before
}

// tryExchange considers the exchange of the expert in a place of rank h with
// each one of rank r.
func (s *roundSet) tryExchange(p *roundSearch, b *bestMoves, h, place, r int) {
	e := s.places[h][place]
	share := s.load[e] / float64(len(s.on[e]))
	for other, x := range s.places[r] {
		if x < 0 || slices.Contains(s.places[h], x) || !s.permits(p, h, x) {
			continue
		}
		by := share - s.load[x]/float64(len(s.on[x]))
		if by <= 0 {
			continue
		}
		copies := 0
		if !s.held[r][e] {
			copies++
		}
		if !s.held[h][x] {
			copies++
		}
		s.shift(h, -by)
		s.shift(r, by)
		b.consider(copies, s.settle(b.before), roundMove{rank: r, place: other, expert: e, otherRank: h, otherPlace: place})
	}
}
