package expertmap

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const demandRanks, demandExperts = 4, 8

// sample draws what a rank counts when each expert is chosen by its weight.
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

func part(l Load, e int) float64 { return l[e] / l.Total() }

func newDemand() *DemandEstimator {
	return NewDemandEstimator(DemandConfig{Sets: 1, Experts: demandExperts, Ranks: demandRanks})
}

func TestDemandFollowsAShiftAtOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	d := newDemand()
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
	assert.Assert(t, part(loads[0], 0) > 0.45)
	assert.Equal(t, d.Shifts(), 0)
	feed(after, 1)
	loads, _ = d.Loads()
	assert.Assert(t, part(loads[0], 3) > 0.45, "one round of samples after a shift tells: %v", loads[0])
	assert.Equal(t, d.Shifts(), 1)
	assert.Equal(t, d.Age(now), time.Duration(0))
}

func TestFewRequestsAreNoShift(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	d := newDemand()
	for i := range 200 {
		weights := []float64{5, 5, 5, 5, 5, 5, 5, 5}
		weights[rng.IntN(demandExperts)] += 12 // Each request likes another expert.
		for r := range demandRanks {
			d.AddSample(r, sample(rng, weights, 60), time.Duration(i)*40*time.Millisecond)
		}
	}
	assert.Assert(t, d.Shifts() < 40, "%d shifts", d.Shifts())
}

// TestRanksOutOfStep: samples of the ranks cover different passes when these are
// shorter than the interval of the samples. All of them count.
func TestRanksOutOfStep(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	d := newDemand()
	changes := 0
	for i := range 40 {
		if d.AddSample(i%demandRanks, sample(rng, []float64{8, 1, 1, 1, 1, 1, 1, 1}, 100), time.Duration(i)*10*time.Millisecond) {
			changes++
		}
	}
	assert.Equal(t, changes, 10)
}

func TestSilentRanksAreLeftOut(t *testing.T) {
	d := newDemand()
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
