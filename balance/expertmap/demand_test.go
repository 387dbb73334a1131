package expertmap

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const demandRanks, demandExperts = 4, 8

// sample draws the counts of a rank that chooses experts in proportion to weights.
func sample(rng *rand.Rand, weights []float64, tokens int) []float64 {
	var total float64
	for _, w := range weights {
		total += w
	}
	out := make([]float64, len(weights))
	for range tokens {
		x := rng.Float64() * total
		for e, w := range weights {
			if x -= w; x < 0 {
				out[e]++
				break
			}
		}
	}
	return out
}

func fraction(l Load, e int) float64 { return l[e] / l.Total() }

func newTestEstimator() *DemandEstimator {
	return NewDemandEstimator(DemandConfig{Sets: 1, Experts: demandExperts, Ranks: demandRanks})
}

func TestDemandFollowsShiftWithinOneRound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	d := newTestEstimator()
	before := []float64{50, 20, 5, 5, 5, 5, 5, 5}
	after := []float64{5, 5, 5, 50, 5, 20, 5, 5}
	now := time.Duration(0)
	feed := func(weights []float64, rounds int) {
		for range rounds {
			now += 40 * time.Millisecond
			for r := range demandRanks {
				d.AddSample(r, sample(rng, weights, 500), now)
			}
		}
	}
	_, known := d.Loads()
	assert.Assert(t, !known)
	feed(before, 30)
	loads, known := d.Loads()
	assert.Assert(t, known)
	assert.Assert(t, fraction(loads[0], 0) > 0.45)
	assert.Equal(t, d.Shifts(), 0)
	feed(after, 1)
	loads, _ = d.Loads()
	assert.Assert(t, fraction(loads[0], 3) > 0.45, "the estimate did not follow a shift within one round: %v", loads[0])
	assert.Equal(t, d.Shifts(), 1)
	assert.Equal(t, d.Age(now), time.Duration(0))
}

func TestNoisyDemandIsNoShift(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	d := newTestEstimator()
	for i := range 200 {
		weights := []float64{5, 5, 5, 5, 5, 5, 5, 5}
		weights[rng.IntN(demandExperts)] += 12 // Each request prefers another expert.
		for r := range demandRanks {
			d.AddSample(r, sample(rng, weights, 60), time.Duration(i)*40*time.Millisecond)
		}
	}
	assert.Assert(t, d.Shifts() < 40, "%d shifts", d.Shifts())
}

// TestRanksSampledOutOfStep checks that every sample counts if ranks are sampled in
// turn, as happens when steps are shorter than the sample interval.
func TestRanksSampledOutOfStep(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	d := newTestEstimator()
	changes := 0
	for i := range 40 {
		if d.AddSample(i%demandRanks, sample(rng, []float64{8, 1, 1, 1, 1, 1, 1, 1}, 100), time.Duration(i)*10*time.Millisecond) {
			changes++
		}
	}
	assert.Equal(t, changes, 10)
}

func TestSilentRanksAreSkipped(t *testing.T) {
	d := newTestEstimator()
	counts := []float64{1, 1, 1, 1, 1, 1, 1, 1}
	changed := false
	for i := range 3 {
		for r := range 3 { // The last of four ranks is silent.
			changed = d.AddSample(r, counts, time.Duration(i)*40*time.Millisecond) || changed
		}
	}
	assert.Assert(t, changed)
	assert.Assert(t, !d.AddSample(9, counts, time.Second))
	assert.Assert(t, !d.AddSample(0, counts[:2], time.Second))
	d.Reset()
	_, known := d.Loads()
	assert.Assert(t, !known)
}
