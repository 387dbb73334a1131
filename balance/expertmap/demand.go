package expertmap

import "time"

// DemandConfig sets up a DemandEstimator.
type DemandConfig struct {
	// Sets and Experts are the sets of layers and the experts of a set. Required.
	Sets, Experts int
	// Ranks is the number of ranks. Required.
	Ranks int
	// SampledRanks is the number of ranks that send samples. Default: Ranks.
	SampledRanks int
	// TimeConstant is the time constant with which samples are forgotten while demand
	// is steady. Default: 1 s.
	TimeConstant time.Duration
	// ShiftThreshold is the distance between the demand in one pass and the estimate from
	// which on earlier samples are dropped: half the sum of the differences of
	// the experts' parts. Default: 0.2; under steady load passes differ by 0.12.
	ShiftThreshold float64
}

const (
	defaultMemory = time.Second
	defaultShift  = 0.2
	// noiseFactor times the usual distance is the least that counts as a shift,
	// so that few requests, whose passes differ much, cause none.
	noiseFactor = 2
	// noiseStep bounds, beside noiseFactor, by how much a distance may exceed the
	// noise that it counts for.
	noiseStep = 0.05
	// noiseMemory is the part of the noise estimate that each pass replaces.
	noiseMemory = 0.1
	// enoughRanks is the part of the sampled ranks that is enough for an estimate.
	enoughRanks = 0.75
)

// DemandEstimator estimates how often the experts of each set are chosen, from samples of
// the ranks. A sudden change drops what was counted before. It is not safe for
// concurrent use.
type DemandEstimator struct {
	cfg  DemandConfig
	sets []setDemand

	// pass collects about one sample of each sampled rank, and seen the ranks that
	// sent one.
	pass []float64
	seen []bool
	have int

	updated time.Duration
	passes  int
	shifts  int
}

type setDemand struct {
	load  Load
	noise float64
}

// NewDemandEstimator returns an estimate without samples.
func NewDemandEstimator(cfg DemandConfig) *DemandEstimator {
	if cfg.TimeConstant == 0 {
		cfg.TimeConstant = defaultMemory
	}
	if cfg.ShiftThreshold == 0 {
		cfg.ShiftThreshold = defaultShift
	}
	if cfg.SampledRanks == 0 {
		cfg.SampledRanks = cfg.Ranks
	}
	d := &DemandEstimator{cfg: cfg}
	d.Reset()
	return d
}

// Reset forgets all samples.
func (d *DemandEstimator) Reset() {
	d.sets = make([]setDemand, d.cfg.Sets)
	for s := range d.sets {
		d.sets[s].load = make(Load, d.cfg.Experts)
	}
	d.pass = make([]float64, d.cfg.Sets*d.cfg.Experts)
	d.seen, d.have, d.passes = make([]bool, d.cfg.Ranks), 0, 0
}

// AddSample takes in what a rank counted since its last sample, set by set. It returns
// true if the estimate changed.
func (d *DemandEstimator) AddSample(rank int, counts []float64, now time.Duration) bool {
	if len(counts) != len(d.pass) || rank < 0 || rank >= len(d.seen) {
		return false
	}
	changed := false
	if d.seen[rank] && float64(d.have) >= enoughRanks*float64(d.cfg.SampledRanks) {
		d.close(now) // The ranks that are missing have no work, or are silent.
		changed = true
	}
	if !d.seen[rank] {
		d.seen[rank] = true
		d.have++
	}
	for i, n := range counts {
		d.pass[i] += n
	}
	if d.have >= d.cfg.SampledRanks {
		d.close(now)
		changed = true
	}
	return changed
}

// close adds what was collected to the estimate.
func (d *DemandEstimator) close(now time.Duration) {
	keep := 1 - min(1, float64(now-d.updated)/float64(d.cfg.TimeConstant))
	for s := range d.sets {
		d.sets[s].add(d, d.pass[s*d.cfg.Experts:(s+1)*d.cfg.Experts], keep)
	}
	d.updated = now
	d.passes++
	clear(d.pass)
	clear(d.seen)
	d.have = 0
}

func (s *setDemand) add(d *DemandEstimator, pass []float64, keep float64) {
	total, passTotal := s.load.Total(), Load(pass).Total()
	if passTotal == 0 {
		return
	}
	if total > 0 {
		distance := 0.0
		for e, n := range pass {
			distance += abs(n/passTotal-s.load[e]/total) / 2
		}
		if distance > max(d.cfg.ShiftThreshold, noiseFactor*s.noise) {
			clear(s.load)
			d.shifts++
		}
		// A single shift hardly raises the noise; distances that come again do.
		s.noise += noiseMemory * (min(distance, noiseFactor*s.noise+noiseStep) - s.noise)
	}
	for e, n := range pass {
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
// must not be changed and is valid until the next call of AddSample.
func (d *DemandEstimator) Loads() ([]Load, bool) {
	if d.passes == 0 {
		return nil, false
	}
	out := make([]Load, len(d.sets))
	for s := range d.sets {
		out[s] = d.sets[s].load
	}
	return out, true
}

// Age returns the time since the last pass that was counted.
func (d *DemandEstimator) Age(now time.Duration) time.Duration { return now - d.updated }

// Shifts returns how often a set's earlier samples were dropped.
func (d *DemandEstimator) Shifts() int { return d.shifts }
