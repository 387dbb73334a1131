package expertmap

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// popularity is the part of a set's tokens that each expert gets, the most
// wanted first, as counted in a group under load.
func popularity(experts int) Load {
	top := []float64{0.18, 0.09, 0.056, 0.043, 0.036, 0.029, 0.026, 0.023, 0.021, 0.020, 0.019}
	l := make(Load, experts)
	var sum float64
	for i := range l {
		if i < len(top) {
			l[i] = top[i]
		} else {
			l[i] = 0.018 - 0.015*float64(i-len(top))/float64(experts-len(top))
		}
		sum += l[i]
	}
	for i := range l {
		l[i] /= sum
	}
	return l
}

// shiftDemand moves a part of the popularity to other experts.
func shiftDemand(rng *rand.Rand, rank []int, share float64) {
	var picked []int
	for i := range rank {
		if rng.Float64() < share {
			picked = append(picked, i)
		}
	}
	values := make([]int, len(picked))
	for i, p := range rng.Perm(len(picked)) {
		values[i] = rank[picked[p]]
	}
	for i, v := range values {
		rank[picked[i]] = v
	}
}

func turnMap(ranks, experts, places int) Map {
	m := NewMap(ranks, places)
	next := make([]int, ranks)
	for e := range experts {
		r := e % ranks
		m.Slots[r][next[r]] = Expert(e)
		next[r]++
	}
	return m
}

// roundsIn3s is the number of rounds that fit into the 3 s in which the most
// loaded rank must be back at 1.3 times the mean, at half a second each.
const roundsIn3s = 6

// TestRoundAfterDrift names the pattern "other experts are in demand every three
// seconds": rounds of one copy a rank bring the group back in time.
func TestRoundAfterDrift(t *testing.T) {
	for _, size := range []struct{ ranks, experts, places, sets, maxNew int }{
		{16, 64, 5, 4, 2},
		{72, 144, 3, 12, 2},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		pop := popularity(size.experts)
		order := make([][]int, size.sets)
		maps := make([]Map, size.sets)
		for s := range order {
			order[s] = rng.Perm(size.experts)
			maps[s] = turnMap(size.ranks, size.experts, size.places)
		}
		loads := func() []Load {
			out := make([]Load, size.sets)
			for s := range out {
				out[s] = make(Load, size.experts)
				for i, e := range order[s] {
					out[s][e] = pop[i]
				}
			}
			return out
		}
		c := RoundPlanner{Ranks: size.ranks, Experts: size.experts, SlotsPerRank: size.places, MaxNewPerSet: size.maxNew, MaxCopiesPerRank: 1}
		var shifted, first, last []float64
		for shift := range 12 {
			for s := range order {
				shiftDemand(rng, order[s], 0.6)
			}
			for round := range roundsIn3s {
				began := time.Now()
				p := c.Plan(maps, loads())
				took := time.Since(began)
				for s := range maps {
					assert.NilError(t, p.Maps[s].Validate(Config{Ranks: size.ranks, Experts: size.experts, SlotsPerRank: size.places}))
					for r := range p.Maps[s].Slots {
						fresh := 0
						for _, e := range p.Maps[s].Slots[r] {
							if e != NoExpert && !maps[s].Holds(r, e) {
								fresh++
							}
						}
						assert.Assert(t, fresh <= size.maxNew)
					}
				}
				assert.Assert(t, p.MaxCopies <= 1)
				maps = p.Maps
				t.Logf("shift %d round %d: skew %.2f -> %.2f, %d copies, %v", shift, round, p.SkewBefore, p.SkewAfter, p.Copies, took)
				switch round {
				case 0:
					shifted = append(shifted, p.SkewBefore)
					first = append(first, p.SkewAfter)
				case roundsIn3s - 1:
					last = append(last, p.SkewAfter)
				}
			}
		}
		mean := func(v []float64) float64 {
			var sum float64
			for _, x := range v[1:] {
				sum += x
			}
			return sum / float64(len(v)-1)
		}
		t.Logf("%d ranks: after a shift %.2f, after one round %.2f, after 3 s %.2f (worst %.2f)",
			size.ranks, mean(shifted), mean(first), mean(last), slices.Max(last[1:]))
		assert.Assert(t, slices.Max(last) <= 1.3)
	}
}

// TestRoundSparesSlowRank names the pattern "one rank is slow and every pass waits
// for it": within a few rounds it holds next to nothing that is wanted, and it takes
// its part again when it is as fast as the others.
func TestRoundSparesSlowRank(t *testing.T) {
	const slow = 3
	for _, size := range []struct{ ranks, experts, places, sets, maxNew int }{
		{16, 64, 5, 4, 2},
		{72, 144, 3, 12, 2},
	} {
		rng := rand.New(rand.NewPCG(3, 4))
		pop := popularity(size.experts)
		maps, loads := make([]Map, size.sets), make([]Load, size.sets)
		for s := range maps {
			maps[s], loads[s] = turnMap(size.ranks, size.experts, size.places), make(Load, size.experts)
			for i, e := range rng.Perm(size.experts) {
				loads[s][e] = pop[i]
			}
		}
		c := RoundPlanner{Ranks: size.ranks, Experts: size.experts, SlotsPerRank: size.places, MaxNewPerSet: size.maxNew, MaxCopiesPerRank: 1}
		after := func(pace []float64, rounds int) float64 {
			c.SlowFactors = pace
			var p RoundPlan
			for range rounds {
				p = c.Plan(maps, loads)
				for s := range maps {
					assert.NilError(t, p.Maps[s].Validate(Config{Ranks: size.ranks, Experts: size.experts, SlotsPerRank: size.places}))
				}
				assert.Assert(t, p.MaxCopies <= 1)
				maps = p.Maps
			}
			return p.SkewAfter
		}
		even := after(nil, roundsIn3s)
		pace := slices.Repeat([]float64{1}, size.ranks)
		pace[slow] = 5
		before := 0.0
		for s := range maps {
			before += maps[s].WeightedSkew(loads[s], pace) / float64(size.sets)
		}
		spared := after(pace, roundsIn3s)
		again := after(nil, roundsIn3s)
		t.Logf("%d ranks: %.2f, with a slow rank %.2f, spared %.2f, fast again %.2f", size.ranks, even, before, spared, again)
		assert.Assert(t, before > 4)
		assert.Assert(t, spared <= 1.3)
		assert.Assert(t, again <= 1.3)
	}
}
