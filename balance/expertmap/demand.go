package expertmap

import "time"

// DemandConfig holds the settings of a DemandEstimator.
type DemandConfig struct {
	// Sets is the number of layer sets, Experts the number of experts of a set. Required.
	Sets, Experts int
	// Ranks is the number of ranks. Required.
	Ranks int
	// SampledRanks is the number of ranks that send samples. Default: Ranks.
	SampledRanks int
	// TimeConstant is the time over which samples lose their weight while demand is
	// steady. Default: 1 s.
	TimeConstant time.Duration
	// ShiftThreshold is the total variation distance between a sampling round and the
	// estimate from which on earlier samples are dropped. Default: 0.2; under steady
	// load rounds differ by 0.12.
	ShiftThreshold float64
}

const (
	defaultTimeConstant   = time.Second
	defaultShiftThreshold = 0.2
	// noiseFactor times the noise is the least distance that counts as a shift, so
	// that few requests, whose steps differ much, cause none.
	noiseFactor = 2
	// noiseClipMargin, beside noiseFactor, limits how far a distance above the noise
	// raises the estimate of it.
	noiseClipMargin = 0.05
	// noiseUpdateWeight is the weight of a sampling round in the noise estimate.
	noiseUpdateWeight = 0.1
	// minSampledFraction is the fraction of the sampled ranks that suffices for an estimate.
	minSampledFraction = 0.75
)

// DemandEstimator estimates how often the experts of each set are chosen, from samples
// of the ranks. A sudden change drops earlier samples. It is not safe for
// concurrent use.
type DemandEstimator struct {
	cfg  DemandConfig
	sets []setEstimate

	// roundCounts sums the samples of the current sampling round, about one of each
	// sampled rank; sampled marks the ranks that sent one.
	roundCounts  []float64
	sampled      []bool
	sampledCount int

	updatedAt time.Duration
	rounds    int
	shifts    int
}

type setEstimate struct {
	load  Load
	noise float64
}

// NewDemandEstimator returns an estimator without samples.
func NewDemandEstimator(cfg DemandConfig) *DemandEstimator {
	if cfg.TimeConstant == 0 {
		cfg.TimeConstant = defaultTimeConstant
	}
	if cfg.ShiftThreshold == 0 {
		cfg.ShiftThreshold = defaultShiftThreshold
	}
	if cfg.SampledRanks == 0 {
		cfg.SampledRanks = cfg.Ranks
	}
	d := &DemandEstimator{cfg: cfg}
	d.Reset()
	return d
}

// Reset discards all samples.
func (d *DemandEstimator) Reset() {
	d.sets = make([]setEstimate, d.cfg.Sets)
	for s := range d.sets {
		d.sets[s].load = make(Load, d.cfg.Experts)
	}
	d.roundCounts = make([]float64, d.cfg.Sets*d.cfg.Experts)
	d.sampled, d.sampledCount, d.rounds = make([]bool, d.cfg.Ranks), 0, 0
}

// AddSample adds a rank's counts since its last sample, set by set. It reports
// whether the estimate changed.
func (d *DemandEstimator) AddSample(rank int, counts []float64, now time.Duration) bool {
	if len(counts) != len(d.roundCounts) || rank < 0 || rank >= len(d.sampled) {
		return false
	}
	changed := false
	if d.sampled[rank] && float64(d.sampledCount) >= minSampledFraction*float64(d.cfg.SampledRanks) {
		d.finishRound(now) // The missing ranks are idle or silent.
		changed = true
	}
	if !d.sampled[rank] {
		d.sampled[rank] = true
		d.sampledCount++
	}
	for i, n := range counts {
		d.roundCounts[i] += n
	}
	if d.sampledCount >= d.cfg.SampledRanks {
		d.finishRound(now)
		changed = true
	}
	return changed
}

// finishRound adds the counts of the sampling round to the estimate.
func (d *DemandEstimator) finishRound(now time.Duration) {
	keep := 1 - min(1, float64(now-d.updatedAt)/float64(d.cfg.TimeConstant))
	for s := range d.sets {
		d.sets[s].update(d, d.roundCounts[s*d.cfg.Experts:(s+1)*d.cfg.Experts], keep)
	}
	d.updatedAt = now
	d.rounds++
	clear(d.roundCounts)
	clear(d.sampled)
	d.sampledCount = 0
}

func (s *setEstimate) update(d *DemandEstimator, counts []float64, keep float64) {
	total, countTotal := s.load.Total(), Load(counts).Total()
	if countTotal == 0 {
		return
	}
	if total > 0 {
		distance := 0.0
		for e, n := range counts {
			distance += abs(n/countTotal-s.load[e]/total) / 2
		}
		if distance > max(d.cfg.ShiftThreshold, noiseFactor*s.noise) {
			clear(s.load)
			d.shifts++
		}
		// Clipped, a single shift hardly raises the noise; repeated large distances do.
		s.noise += noiseUpdateWeight * (min(distance, noiseFactor*s.noise+noiseClipMargin) - s.noise)
	}
	for e, n := range counts {
		s.load[e] = s.load[e]*keep + n
	}
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// Loads returns the estimate, set by set, and false if there is none. The result
// must not be modified and is valid until the next call of AddSample.
func (d *DemandEstimator) Loads() ([]Load, bool) {
	if d.rounds == 0 {
		return nil, false
	}
	out := make([]Load, len(d.sets))
	for s := range d.sets {
		out[s] = d.sets[s].load
	}
	return out, true
}

// Age returns the time since the estimate was last updated.
func (d *DemandEstimator) Age(now time.Duration) time.Duration { return now - d.updatedAt }

// Shifts returns how many times a set's earlier samples were dropped.
func (d *DemandEstimator) Shifts() int { return d.shifts }
