package expertmap

import "slices"

// placement is a mutable map that maintains the load of each rank.
type placement struct {
	cfg   Config
	load  Load
	slots [][]Expert
	// holders lists the ranks that hold each expert.
	holders   [][]int32
	held      []bool // indexed by rank*experts+expert
	rankLoads []float64
}

func newPlacement(cfg Config, load Load, m Map) *placement {
	p := &placement{
		cfg: cfg, load: load, slots: m.Clone().Slots,
		holders: make([][]int32, cfg.Experts), held: make([]bool, cfg.Ranks*cfg.Experts),
	}
	for r, slots := range p.slots {
		for _, e := range slots {
			if e != NoExpert {
				p.holders[e] = append(p.holders[e], int32(r))
				p.held[r*cfg.Experts+int(e)] = true
			}
		}
	}
	p.rankLoads = m.RankLoads(load)
	return p
}

func (p *placement) holds(r int, e Expert) bool { return p.held[r*p.cfg.Experts+int(e)] }

// share returns the tokens of e per replica with n replicas.
func (p *placement) share(e Expert, n int) float64 {
	if n == 0 {
		return 0
	}
	return p.load[e] / float64(n)
}

// currentShare returns the tokens of e per replica.
func (p *placement) currentShare(e Expert) float64 { return p.share(e, len(p.holders[e])) }

// set replaces the content of a slot by e.
func (p *placement) set(r, s int, e Expert) {
	if old := p.slots[r][s]; old != NoExpert {
		p.remove(r, old)
	}
	p.slots[r][s] = e
	if e != NoExpert {
		p.add(r, e)
	}
}

func (p *placement) add(r int, e Expert) {
	n := len(p.holders[e])
	p.addToHolders(e, p.share(e, n+1)-p.share(e, n))
	p.holders[e] = append(p.holders[e], int32(r))
	p.held[r*p.cfg.Experts+int(e)] = true
	p.rankLoads[r] += p.share(e, n+1)
}

func (p *placement) remove(r int, e Expert) {
	n := len(p.holders[e])
	p.rankLoads[r] -= p.share(e, n)
	i := slices.Index(p.holders[e], int32(r))
	p.holders[e] = slices.Delete(p.holders[e], i, i+1)
	p.held[r*p.cfg.Experts+int(e)] = false
	p.addToHolders(e, p.share(e, n-1)-p.share(e, n))
}

// addToHolders adds d to the load of each rank that holds e.
func (p *placement) addToHolders(e Expert, d float64) {
	for _, r := range p.holders[e] {
		p.rankLoads[r] += d
	}
}

// hottest returns the rank with the greatest load.
func (p *placement) hottest() int {
	best := 0
	for r, l := range p.rankLoads {
		if l > p.rankLoads[best] {
			best = r
		}
	}
	return best
}

func (p *placement) mean() float64 { return p.load.Total() / float64(p.cfg.Ranks) }

// sumOfSquares returns the sum of the squared rank loads, which improve minimizes.
func (p *placement) sumOfSquares() float64 {
	var sum float64
	for _, l := range p.rankLoads {
		sum += l * l
	}
	return sum
}

func (p *placement) toMap() Map { return Map{Slots: p.slots}.Clone() }

// repair gives each expert without a replica a slot, and fills empty slots with
// the experts that have the most tokens per replica.
func (p *placement) repair() {
	for e := range p.holders {
		if len(p.holders[e]) == 0 {
			p.placeMissing(Expert(e))
		}
	}
	for r := range p.slots {
		for s, old := range p.slots[r] {
			if old != NoExpert {
				continue
			}
			if e := p.hottestNotOn(r); e != NoExpert {
				p.set(r, s, e)
			}
		}
	}
}

// placeMissing puts e into an empty slot of the least loaded rank, or else in place
// of the spare replica with the fewest tokens.
func (p *placement) placeMissing(e Expert) {
	rank, slot := -1, -1
	for r := range p.slots {
		s := slices.Index(p.slots[r], NoExpert)
		if s >= 0 && (rank < 0 || p.rankLoads[r] < p.rankLoads[rank]) {
			rank, slot = r, s
		}
	}
	if rank < 0 {
		rank, slot = p.coldestSpare()
	}
	p.set(rank, slot, e)
}

func (p *placement) coldestSpare() (rank, slot int) {
	rank = -1
	for r := range p.slots {
		for s, e := range p.slots[r] {
			if len(p.holders[e]) < 2 {
				continue
			}
			if rank < 0 || p.currentShare(e) < p.currentShare(p.slots[rank][slot]) {
				rank, slot = r, s
			}
		}
	}
	return rank, slot
}

func (p *placement) hottestNotOn(r int) Expert {
	best := NoExpert
	for e := range p.holders {
		x := Expert(e)
		if !p.holds(r, x) && (best == NoExpert || p.currentShare(x) > p.currentShare(best)) {
			best = x
		}
	}
	return best
}
