package expertmap

// localMove is a move of the local search: an exchange of two slots between ranks,
// or a new replica of an expert in place of a spare replica of another.
type localMove struct {
	rank, slot int
	expert     Expert
	// otherRank and otherSlot are set for an exchange; otherwise otherRank is negative.
	otherRank, otherSlot int
	// score is the estimated reduction of the sum of squares per moved expert.
	score float64
}

func (m *localMove) consider(d localMove) {
	if d.score > m.score {
		*m = d
	}
}

// improve lowers the load of the hottest rank until the skew is at most
// the target, or no move helps.
func (p *placement) improve() {
	limit := 4 * p.cfg.Ranks * p.cfg.SlotsPerRank
	target := p.cfg.TargetSkew * p.mean()
	search := newLocalSearch(p)
	for range limit {
		hot := p.hottest()
		if p.rankLoads[hot] <= target {
			return
		}
		best := search.best(hot)
		if best.score <= 0 || !p.apply(best) {
			return
		}
	}
}

// apply makes the move, and undoes it if the estimate was wrong.
func (p *placement) apply(m localMove) bool {
	before := p.sumOfSquares()
	old := p.slots[m.rank][m.slot]
	p.setSlots(m, m.expert, old)
	if p.sumOfSquares() < before {
		return true
	}
	p.setSlots(m, old, m.expert)
	return false
}

func (p *placement) setSlots(m localMove, expert, other Expert) {
	p.set(m.rank, m.slot, expert)
	if m.otherRank >= 0 {
		p.set(m.otherRank, m.otherSlot, other)
	}
}

// localSearch finds the best move for the hottest rank. Its tables are reused.
type localSearch struct {
	p *placement
	// share is the tokens per replica of each expert.
	share []float64
	// addDelta is the change of the sum of squares at the holders of an expert if one
	// replica is added, and addLoss the tokens that each of them loses.
	addDelta, addLoss []float64
	// removeDelta and removeGain are the same if one replica is removed, over all holders.
	removeDelta, removeGain []float64
}

func newLocalSearch(p *placement) *localSearch {
	n := p.cfg.Experts
	return &localSearch{
		p: p, share: make([]float64, n), addDelta: make([]float64, n), addLoss: make([]float64, n),
		removeDelta: make([]float64, n), removeGain: make([]float64, n),
	}
}

func (s *localSearch) refresh() {
	for e := range s.share {
		x := Expert(e)
		n := len(s.p.holders[e])
		s.share[e] = s.p.currentShare(x)
		s.addLoss[e] = s.share[e] - s.p.share(x, n+1)
		s.removeGain[e] = 0
		if n > 1 {
			s.removeGain[e] = s.p.share(x, n-1) - s.share[e]
		}
		s.addDelta[e], s.removeDelta[e] = 0, 0
		for _, r := range s.p.holders[e] {
			s.addDelta[e] += squareDelta(s.p.rankLoads[r], -s.addLoss[e])
			s.removeDelta[e] += squareDelta(s.p.rankLoads[r], s.removeGain[e])
		}
	}
}

// squareDelta returns (l+d)² - l².
func squareDelta(l, d float64) float64 { return d * (2*l + d) }

// exchangeMoves is the number of experts that an exchange moves.
const exchangeMoves = 2

func (s *localSearch) best(hot int) localMove {
	s.refresh()
	var best localMove
	for slot, e := range s.p.slots[hot] {
		if e == NoExpert {
			continue
		}
		s.considerColder(&best, hot, slot)
		for r := range s.p.slots {
			if r != hot && s.p.rankLoads[r] < s.p.rankLoads[hot] {
				s.exchangeOrReplicate(&best, hot, slot, r)
			}
		}
	}
	return best
}

// exchangeOrReplicate considers moving the expert of a slot of the hottest rank
// to rank r, or adding a replica of it there.
func (s *localSearch) exchangeOrReplicate(best *localMove, hot, slot, r int) {
	e := s.p.slots[hot][slot]
	if s.p.holds(r, e) {
		return
	}
	for other, x := range s.p.slots[r] {
		if x == NoExpert {
			continue
		}
		if d := s.share[e] - s.share[x]; d > 0 && !s.p.holds(hot, x) {
			delta := squareDelta(s.p.rankLoads[hot], -d) + squareDelta(s.p.rankLoads[r], d)
			best.consider(localMove{
				rank: hot, slot: slot, expert: x, otherRank: r, otherSlot: other,
				score: -delta / exchangeMoves,
			})
		}
		if len(s.p.holders[x]) > 1 {
			best.consider(localMove{
				rank: r, slot: other, expert: e, otherRank: -1,
				score: -s.replaceDelta(r, x, e),
			})
		}
	}
}

// considerColder considers a replica of a colder expert in place of a spare replica on the hottest rank.
func (s *localSearch) considerColder(best *localMove, hot, slot int) {
	e := s.p.slots[hot][slot]
	if len(s.p.holders[e]) < 2 {
		return
	}
	for x := range s.share {
		if s.share[x] < s.share[e] && !s.p.holds(hot, Expert(x)) {
			best.consider(localMove{
				rank: hot, slot: slot, expert: Expert(x), otherRank: -1,
				score: -s.replaceDelta(hot, e, Expert(x)),
			})
		}
	}
}

// replaceDelta estimates the change of the sum of squares when rank r holds in
// instead of out. It ignores that some ranks may hold both.
func (s *localSearch) replaceDelta(r int, out, in Expert) float64 {
	l := s.p.rankLoads[r]
	others := s.removeDelta[out] - squareDelta(l, s.removeGain[out])
	gained := s.share[in] - s.addLoss[in] - s.share[out]
	return s.addDelta[in] + others + squareDelta(l, gained)
}
