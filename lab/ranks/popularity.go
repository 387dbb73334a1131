package ranks

import (
	"math"
	"math/rand/v2"

	"github.com/siskinford/siskinford/balance/expertmap"
)

// driftSwaps is the number of random experts per layer that one drift swaps with
// others, besides the hottest.
const driftSwaps = 3

// popularity holds the load of each expert by layer, Zipf-distributed.
type popularity struct {
	rand  *rand.Rand
	loads []expertmap.Load
}

func newPopularity(c Config) *popularity {
	p := &popularity{rand: rand.New(rand.NewPCG(c.Seed, 1))}
	for range c.Layers {
		p.loads = append(p.loads, p.draw(c))
	}
	return p
}

// draw returns loads in random order that sum to c.TokensPerLayer.
func (p *popularity) draw(c Config) expertmap.Load {
	load := make(expertmap.Load, c.Experts)
	var sum float64
	for place, e := range p.rand.Perm(c.Experts) {
		load[e] = math.Pow(float64(place+1), -c.ZipfExponent)
		sum += load[e]
	}
	for e := range load {
		load[e] *= c.TokensPerLayer / sum
	}
	return load
}

// drift swaps the loads of the hottest and some random experts of each layer with others.
func (p *popularity) drift() {
	for _, load := range p.loads {
		p.swap(load, hottest(load))
		for range driftSwaps {
			p.swap(load, p.rand.IntN(len(load)))
		}
	}
}

func (p *popularity) swap(load expertmap.Load, e int) {
	other := p.rand.IntN(len(load))
	load[e], load[other] = load[other], load[e]
}

func hottest(load expertmap.Load) int {
	best := 0
	for e := range load {
		if load[e] > load[best] {
			best = e
		}
	}
	return best
}
