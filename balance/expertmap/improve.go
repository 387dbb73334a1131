package expertmap

// change is one local step: either the exchange of two slots between ranks, or a
// new replica of an expert in place of a spare replica of another.
type change struct {
	rank, slot int
	expert     Expert
	// otherRank and otherSlot are set for an exchange; otherRank is negative otherwise.
	otherRank, otherSlot int
	// score is the estimated reduction of the sum of squares per expert moved.
	score float64
}

func (c *change) consider(d change) {
	if d.score > c.score {
		*c = d
	}
}

// improve lowers the load of the hottest rank step by step until the skew is
// at most the target, or no step helps.
func (p *placement) improve() {
	limit := 4 * p.cfg.Ranks * p.cfg.SlotsPerRank
	target := p.cfg.TargetSkew * p.mean()
	search := newSearch(p)
	for range limit {
		hot := p.hottest()
		if p.ranks[hot] <= target {
			return
		}
		best := search.best(hot)
		if best.score <= 0 || !p.apply(best) {
			return
		}
	}
}

// apply makes the change, and undoes it if the estimate was wrong.
func (p *placement) apply(c change) bool {
	before := p.squares()
	old := p.slots[c.rank][c.slot]
	p.make(c, c.expert, old)
	if p.squares() < before {
		return true
	}
	p.make(c, old, c.expert)
	return false
}

func (p *placement) make(c change, expert, other Expert) {
	p.set(c.rank, c.slot, expert)
	if c.otherRank >= 0 {
		p.set(c.otherRank, c.otherSlot, other)
	}
}

// search finds the best change for the hottest rank. Its tables are reused.
type search struct {
	p *placement
	// share is the tokens per replica of each expert.
	share []float64
	// added is the change of the sum of squares at the ranks that hold an expert,
	// and less the tokens that each of them loses, if one replica is added.
	added, less []float64
	// dropped and more are the same if one replica is removed, over all holders.
	dropped, more []float64
}

func newSearch(p *placement) *search {
	n := p.cfg.Experts
	return &search{
		p: p, share: make([]float64, n), added: make([]float64, n), less: make([]float64, n),
		dropped: make([]float64, n), more: make([]float64, n),
	}
}

func (s *search) prepare() {
	for e := range s.share {
		x := Expert(e)
		n := len(s.p.on[e])
		s.share[e] = s.p.current(x)
		s.less[e] = s.share[e] - s.p.share(x, n+1)
		s.more[e] = 0
		if n > 1 {
			s.more[e] = s.p.share(x, n-1) - s.share[e]
		}
		s.added[e], s.dropped[e] = 0, 0
		for _, r := range s.p.on[e] {
			s.added[e] += squareDelta(s.p.ranks[r], -s.less[e])
			s.dropped[e] += squareDelta(s.p.ranks[r], s.more[e])
		}
	}
}

// squareDelta returns (l+d)² - l².
func squareDelta(l, d float64) float64 { return d * (2*l + d) }

// exchangeMoves is the number of experts that an exchange moves.
const exchangeMoves = 2

func (s *search) best(hot int) change {
	s.prepare()
	var best change
	for slot, e := range s.p.slots[hot] {
		if e == NoExpert {
			continue
		}
		s.relieve(&best, hot, slot)
		for r := range s.p.slots {
			if r != hot && s.p.ranks[r] < s.p.ranks[hot] {
				s.exchangeOrReplicate(&best, hot, slot, r)
			}
		}
	}
	return best
}

// exchangeOrReplicate considers moving the expert of a slot of the hottest rank
// to rank r, or adding a replica of it there.
func (s *search) exchangeOrReplicate(best *change, hot, slot, r int) {
	e := s.p.slots[hot][slot]
	if s.p.holds(r, e) {
		return
	}
	for other, x := range s.p.slots[r] {
		if x == NoExpert {
			continue
		}
		if d := s.share[e] - s.share[x]; d > 0 && !s.p.holds(hot, x) {
			delta := squareDelta(s.p.ranks[hot], -d) + squareDelta(s.p.ranks[r], d)
			best.consider(change{
				rank: hot, slot: slot, expert: x, otherRank: r, otherSlot: other,
				score: -delta / exchangeMoves,
			})
		}
		if len(s.p.on[x]) > 1 {
			best.consider(change{
				rank: r, slot: other, expert: e, otherRank: -1,
				score: -s.replaceDelta(r, x, e),
			})
		}
	}
}

// relieve considers a replica of a colder expert in place of a spare replica on the hottest rank.
func (s *search) relieve(best *change, hot, slot int) {
	e := s.p.slots[hot][slot]
	if len(s.p.on[e]) < 2 {
		return
	}
	for x := range s.share {
		if s.share[x] < s.share[e] && !s.p.holds(hot, Expert(x)) {
			best.consider(change{
				rank: hot, slot: slot, expert: Expert(x), otherRank: -1,
				score: -s.replaceDelta(hot, e, Expert(x)),
			})
		}
	}
}

// replaceDelta estimates the change of the sum of squares when rank r holds in
// instead of out. It leaves out that some ranks may hold both.
func (s *search) replaceDelta(r int, out, in Expert) float64 {
	l := s.p.ranks[r]
	others := s.dropped[out] - squareDelta(l, s.more[out])
	gained := s.share[in] - s.less[in] - s.share[out]
	return s.added[in] + others + squareDelta(l, gained)
}
