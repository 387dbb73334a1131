package expertmap

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// popularity returns the fraction of a set's tokens per expert, in descending order,
// as counted in a group under load.
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

// shiftDemand permutes a random part of the popularity ranking.
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

func roundRobinMap(ranks, experts, slots int) Map {
	m := NewMap(ranks, slots)
	next := make([]int, ranks)
	for e := range experts {
		r := e % ranks
		m.Slots[r][next[r]] = Expert(e)
		next[r]++
	}
	return m
}

// roundsIn3s is the number of rounds of half a second each in the 3 s within which the
// most loaded rank must be back at 1.3 times the mean.
const roundsIn3s = 6

// TestRoundAfterDrift checks that rounds of one copy per rank restore the balance in
// time if other experts are in demand every three seconds.
func TestRoundAfterDrift(t *testing.T) {
	for _, size := range []struct{ ranks, experts, slotsPerRank, sets, maxNew int }{
		{16, 64, 5, 4, 2},
		{72, 144, 3, 12, 2},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		pop := popularity(size.experts)
		order := make([][]int, size.sets)
		maps := make([]Map, size.sets)
		for s := range order {
			order[s] = rng.Perm(size.experts)
			maps[s] = roundRobinMap(size.ranks, size.experts, size.slotsPerRank)
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
		c := RoundPlanner{Ranks: size.ranks, Experts: size.experts, SlotsPerRank: size.slotsPerRank, MaxNewPerSet: size.maxNew, MaxCopiesPerRank: 1}
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
					assert.NilError(t, p.Maps[s].Validate(Config{Ranks: size.ranks, Experts: size.experts, SlotsPerRank: size.slotsPerRank}))
					for r := range p.Maps[s].Slots {
						added := 0
						for _, e := range p.Maps[s].Slots[r] {
							if e != NoExpert && !maps[s].Holds(r, e) {
								added++
							}
						}
						assert.Assert(t, added <= size.maxNew)
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

// TestRoundRelievesSlowRank guards against a slow rank that delays every step: within a
// few rounds it must hold hardly any load, and take its part again once it has recovered.
func TestRoundRelievesSlowRank(t *testing.T) {
	const slow = 3
	for _, size := range []struct{ ranks, experts, slotsPerRank, sets, maxNew int }{
		{16, 64, 5, 4, 2},
		{72, 144, 3, 12, 2},
	} {
		rng := rand.New(rand.NewPCG(3, 4))
		pop := popularity(size.experts)
		maps, loads := make([]Map, size.sets), make([]Load, size.sets)
		for s := range maps {
			maps[s], loads[s] = roundRobinMap(size.ranks, size.experts, size.slotsPerRank), make(Load, size.experts)
			for i, e := range rng.Perm(size.experts) {
				loads[s][e] = pop[i]
			}
		}
		c := RoundPlanner{Ranks: size.ranks, Experts: size.experts, SlotsPerRank: size.slotsPerRank, MaxNewPerSet: size.maxNew, MaxCopiesPerRank: 1}
		skewAfter := func(slowdowns []float64, rounds int) float64 {
			c.Slowdowns = slowdowns
			var p RoundPlan
			for range rounds {
				p = c.Plan(maps, loads)
				for s := range maps {
					assert.NilError(t, p.Maps[s].Validate(Config{Ranks: size.ranks, Experts: size.experts, SlotsPerRank: size.slotsPerRank}))
				}
				assert.Assert(t, p.MaxCopies <= 1)
				maps = p.Maps
			}
			return p.SkewAfter
		}
		even := skewAfter(nil, roundsIn3s)
		slowdowns := slices.Repeat([]float64{1}, size.ranks)
		slowdowns[slow] = 5
		before := 0.0
		for s := range maps {
			before += maps[s].WeightedSkew(loads[s], slowdowns) / float64(size.sets)
		}
		relieved := skewAfter(slowdowns, roundsIn3s)
		recovered := skewAfter(nil, roundsIn3s)
		t.Logf("%d ranks: %.2f, with a slow rank %.2f, relieved %.2f, recovered %.2f", size.ranks, even, before, relieved, recovered)
		assert.Assert(t, before > 4)
		assert.Assert(t, relieved <= 1.3)
		assert.Assert(t, recovered <= 1.3)
	}
}

// TestShiftInLargeGroup covers a large group with many small experts whose demand shifts every few
// seconds: with enough copies per rank one round follows the shift, while one copy per rank leaves
// the most loaded rank far above the mean for several rounds.
func TestShiftInLargeGroup(t *testing.T) {
	const ranks, experts, slots, sets, maxNew = 192, 384, 3, 10, 2
	rng := rand.New(rand.NewPCG(5, 6))
	pop := popularity(experts)
	skewAfterShift := func(copies int) float64 {
		maps, loads := make([]Map, sets), make([]Load, sets)
		order := make([][]int, sets)
		for s := range maps {
			maps[s], loads[s], order[s] = roundRobinMap(ranks, experts, slots), make(Load, experts), rng.Perm(experts)
		}
		c := RoundPlanner{Ranks: ranks, Experts: experts, SlotsPerRank: slots, MaxNewPerSet: maxNew, MaxCopiesPerRank: copies, MinGain: 0.001}
		var skew float64
		for range 3 {
			for s := range order {
				shiftDemand(rng, order[s], 0.6)
				for i, e := range order[s] {
					loads[s][e] = pop[i]
				}
			}
			p := c.Plan(maps, loads)
			maps, skew = p.Maps, p.SkewAfter
		}
		return skew
	}
	one, several := skewAfterShift(1), skewAfterShift(7)
	t.Logf("skew one round after a shift: %.2f with one copy per rank, %.2f with seven", one, several)
	assert.Assert(t, several <= 1.3)
	assert.Assert(t, one > 1.3)
}
