package expertmap

import "slices"

// placement is a map under change, with the load of each rank kept up to date.
type placement struct {
	cfg   Config
	load  Load
	slots [][]Expert
	// on lists the ranks that hold each expert.
	on    [][]int32
	held  []bool // indexed by rank*experts+expert
	ranks []float64
}

func newPlacement(cfg Config, load Load, m Map) *placement {
	p := &placement{
		cfg: cfg, load: load, slots: m.Clone().Slots,
		on: make([][]int32, cfg.Experts), held: make([]bool, cfg.Ranks*cfg.Experts),
	}
	for r, slots := range p.slots {
		for _, e := range slots {
			if e != NoExpert {
				p.on[e] = append(p.on[e], int32(r))
				p.held[r*cfg.Experts+int(e)] = true
			}
		}
	}
	p.ranks = m.RankLoads(load)
	return p
}

func (p *placement) holds(r int, e Expert) bool { return p.held[r*p.cfg.Experts+int(e)] }

// share returns the tokens of one of n replicas of e.
func (p *placement) share(e Expert, n int) float64 {
	if n == 0 {
		return 0
	}
	return p.load[e] / float64(n)
}

// current returns the tokens of each replica of e.
func (p *placement) current(e Expert) float64 { return p.share(e, len(p.on[e])) }

// set puts e into a slot in place of what it holds.
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
	n := len(p.on[e])
	p.shift(e, p.share(e, n+1)-p.share(e, n))
	p.on[e] = append(p.on[e], int32(r))
	p.held[r*p.cfg.Experts+int(e)] = true
	p.ranks[r] += p.share(e, n+1)
}

func (p *placement) remove(r int, e Expert) {
	n := len(p.on[e])
	p.ranks[r] -= p.share(e, n)
	i := slices.Index(p.on[e], int32(r))
	p.on[e] = slices.Delete(p.on[e], i, i+1)
	p.held[r*p.cfg.Experts+int(e)] = false
	p.shift(e, p.share(e, n-1)-p.share(e, n))
}

// shift adds d to the load of each rank that holds e.
func (p *placement) shift(e Expert, d float64) {
	for _, r := range p.on[e] {
		p.ranks[r] += d
	}
}

// hottest returns the rank with the greatest load.
func (p *placement) hottest() int {
	best := 0
	for r, l := range p.ranks {
		if l > p.ranks[best] {
			best = r
		}
	}
	return best
}

func (p *placement) mean() float64 { return p.load.Total() / float64(p.cfg.Ranks) }

// squares returns the sum of squares of the rank loads, which improvement lowers.
func (p *placement) squares() float64 {
	var sum float64
	for _, l := range p.ranks {
		sum += l * l
	}
	return sum
}

func (p *placement) toMap() Map { return Map{Slots: p.slots}.Clone() }

// repair gives each expert without a replica a slot, and fills empty slots with
// the experts that have the most tokens per replica.
func (p *placement) repair() {
	for e := range p.on {
		if len(p.on[e]) == 0 {
			p.place(Expert(e))
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

// place puts e into the empty slot of the least loaded rank, or in place of the
// spare replica with the fewest tokens.
func (p *placement) place(e Expert) {
	rank, slot := -1, -1
	for r := range p.slots {
		s := slices.Index(p.slots[r], NoExpert)
		if s >= 0 && (rank < 0 || p.ranks[r] < p.ranks[rank]) {
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
			if len(p.on[e]) < 2 {
				continue
			}
			if rank < 0 || p.current(e) < p.current(p.slots[rank][slot]) {
				rank, slot = r, s
			}
		}
	}
	return rank, slot
}

func (p *placement) hottestNotOn(r int) Expert {
	best := NoExpert
	for e := range p.on {
		x := Expert(e)
		if !p.holds(r, x) && (best == NoExpert || p.current(x) > p.current(best)) {
			best = x
		}
	}
	return best
}
