package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one thing that goes wrong, or one planned piece of work.
type Fault struct {
	Name string
	// At is counted from the begin of the load, and Duration is how long it lasts.
	At, Duration time.Duration
	// Host and Other are what it strikes, as far as the kind needs them.
	Host, Other int
	// Intensity is its strength, between zero and one.
	Intensity float64
}

func (f Fault) String() string {
	return fmt.Sprintf("%5.2fs %s for %v (%d, %d, %.2f)", f.At.Seconds(), f.Name, f.Duration.Round(10*time.Millisecond), f.Host, f.Other, f.Intensity)
}

// Plan is what happens in one run.
type Plan struct {
	Seed   uint64
	Shape  Shape
	Faults []Fault
	// LoadDuration is the time of the load without the recovery at its end.
	LoadDuration time.Duration
}

const (
	// warmUp is the time of the load before the first fault.
	warmUp = 2 * time.Second
	// waveLength and waveCalm are the times in which faults begin and in which
	// none does, so that the promises with a time bound can be judged.
	waveLength = 4 * time.Second
	waveCalm   = 9 * time.Second
	// plannedAfter is the time after a wave from which on planned work is done,
	// and plannedLength the time in which it begins.
	plannedAfter  = longest + settle
	plannedLength = 500 * time.Millisecond
	// shortest and longest bound the time of a fault.
	shortest = 200 * time.Millisecond
	longest  = 3500 * time.Millisecond
	// fewest and most bound the faults of a wave.
	fewest, most = 2, 6
	// seriesShare is the share of faults that come several times in a row.
	seriesShare = 0.25
)

// newPlan draws a plan of some kinds of faults, or of all. The same arguments give
// the same plan.
func newPlan(seed uint64, shape Shape, length time.Duration, names []string) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	p := Plan{Seed: seed, Shape: shape, LoadDuration: length}
	if len(names) == 0 {
		names = faultNames()
	}
	for wave := warmUp; wave+waveLength+waveCalm <= length; wave += waveLength + waveCalm {
		work := wave + waveLength + plannedAfter - longest/2
		p.Faults = append(p.Faults, Fault{
			Name: planned[rng.IntN(len(planned))], At: work + draw(rng, 0, plannedLength), Duration: shortest,
			Host: rng.IntN(1 << 16), Other: rng.IntN(1 << 16), Intensity: rng.Float64(),
		})
		for range fewest + rng.IntN(most-fewest+1) {
			f := Fault{
				Name: names[rng.IntN(len(names))], At: wave + draw(rng, 0, waveLength), Duration: draw(rng, shortest, longest),
				Host: rng.IntN(1 << 16), Other: rng.IntN(1 << 16), Intensity: rng.Float64(),
			}
			p.Faults = append(p.Faults, f)
			if rng.Float64() >= seriesShare {
				continue
			}
			for range 1 + rng.IntN(3) {
				f.At += draw(rng, 50*time.Millisecond, time.Second)
				f.Duration = draw(rng, shortest, longest/2)
				p.Faults = append(p.Faults, f)
			}
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

func draw(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}
