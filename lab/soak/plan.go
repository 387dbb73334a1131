package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is an injected fault or a planned operation.
type Fault struct {
	Name string
	// At is relative to the start of the load.
	At, Duration time.Duration
	// Host and Other select the target, as far as the kind of fault needs them.
	Host, Other int
	// Intensity is between 0 and 1.
	Intensity float64
}

func (f Fault) String() string {
	return fmt.Sprintf("%5.2fs %s for %v (%d, %d, %.2f)", f.At.Seconds(), f.Name, f.Duration.Round(10*time.Millisecond), f.Host, f.Other, f.Intensity)
}

// Plan is the schedule of one run.
type Plan struct {
	Seed   uint64
	Shape  Shape
	Faults []Fault
	// LoadDuration excludes the recovery at the end.
	LoadDuration time.Duration
}

const (
	// warmUp is the time of load before the first fault.
	warmUp = 2 * time.Second
	// Faults begin within waveDuration. None begins in the waveGap after it, so that
	// time-bound promises can be checked.
	waveDuration = 4 * time.Second
	waveGap      = 9 * time.Second
	// Planned operations begin plannedAfter, less maxFaultDuration/2, after the end of a
	// wave, within plannedWindow.
	plannedAfter  = maxFaultDuration + settleTime
	plannedWindow = 500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	// minWaveFaults and maxWaveFaults bound the faults of a wave, repetitions excluded.
	minWaveFaults, maxWaveFaults = 2, 6
	// returnProbability is the probability that a wave has a return of the platform from an older
	// copy, unless the kinds of faults are given.
	returnProbability = 0.25
	// repeatProbability is the probability that a fault is repeated shortly after.
	repeatProbability = 0.25
)

// newPlan draws a random plan from the named kinds of faults, or from all if names is
// empty. The same arguments give the same plan.
func newPlan(seed uint64, shape Shape, length time.Duration, names []string) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	p := Plan{Seed: seed, Shape: shape, LoadDuration: length}
	returns := 0.0
	if len(names) == 0 {
		names, returns = faultNames(), returnProbability
	}
	returnRNG := rand.New(rand.NewPCG(seed, 13)) // With 13 no regression seed of TestSoak changes.
	for wave := warmUp; wave+waveDuration+waveGap <= length; wave += waveDuration + waveGap {
		work := wave + waveDuration + plannedAfter - maxFaultDuration/2
		p.Faults = append(p.Faults, Fault{
			Name: plannedWork[rng.IntN(len(plannedWork))], At: work + randomDuration(rng, 0, plannedWindow), Duration: minFaultDuration,
			Host: rng.IntN(1 << 16), Other: rng.IntN(1 << 16), Intensity: rng.Float64(),
		})
		if returnRNG.Float64() < returns {
			p.Faults = append(p.Faults, randomFault(returnRNG, faultReturn, wave))
		}
		for range minWaveFaults + rng.IntN(maxWaveFaults-minWaveFaults+1) {
			f := randomFault(rng, names[rng.IntN(len(names))], wave)
			p.Faults = append(p.Faults, f)
			if rng.Float64() >= repeatProbability {
				continue
			}
			for range 1 + rng.IntN(3) {
				f.At += randomDuration(rng, 50*time.Millisecond, time.Second)
				f.Duration = randomDuration(rng, minFaultDuration, maxFaultDuration/2)
				p.Faults = append(p.Faults, f)
			}
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

func randomFault(rng *rand.Rand, name string, wave time.Duration) Fault {
	return Fault{
		Name: name, At: wave + randomDuration(rng, 0, waveDuration), Duration: randomDuration(rng, minFaultDuration, maxFaultDuration),
		Host: rng.IntN(1 << 16), Other: rng.IntN(1 << 16), Intensity: rng.Float64(),
	}
}

func randomDuration(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}
