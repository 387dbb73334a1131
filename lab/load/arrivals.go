// Package load sends open-loop load to a fleet of real processes and compares a
// policy with its baseline in one run.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Class names the kind of a request in reports.
type Class string

const (
	// Short marks requests of the usual length.
	Short Class = "short"
	// Long marks requests that run many times longer.
	Long Class = "long"
)

// Arrival is one request of the schedule.
type Arrival struct {
	// At is the intended time of sending, counted from the start of the run.
	At     time.Duration
	Class  Class
	Tokens int
	Prompt string
	// Team is the index of the sending team.
	Team int
	// Entry is the index of the entry that receives the request.
	Entry int
}

// Workload describes the arrivals of a scenario.
type Workload struct {
	// Duration is the time over which requests arrive.
	Duration time.Duration
	// Rate is the mean number of requests a second outside of a swing.
	Rate float64
	// SwingStart and SwingDuration bound the time in which the rate is multiplied by
	// SwingFactor. The rate rises and falls linearly within SwingRamp.
	SwingStart, SwingDuration, SwingRamp time.Duration
	SwingFactor                          float64
	// ShortTokens is the length of a short answer.
	ShortTokens int
	// LongShare is the share of requests that are LongFactor times longer.
	LongShare  float64
	LongFactor int
	// Prefixes is the number of different prompt prefixes; zero means that all
	// prompts differ. PrefixWords is their length.
	Prefixes, PrefixWords int
	// Teams is the number of teams. GreedyFactor multiplies the rate of the first.
	Teams        int
	GreedyFactor float64
}

// rate returns the rate in force at a time.
func (s Workload) rate(at time.Duration) float64 {
	if s.SwingDuration == 0 || at < s.SwingStart || at > s.SwingStart+s.SwingDuration {
		return s.Rate
	}
	into, left := at-s.SwingStart, s.SwingStart+s.SwingDuration-at
	ramp := 1.0
	if s.SwingRamp > 0 {
		ramp = min(float64(min(into, left))/float64(s.SwingRamp), 1)
	}
	return s.Rate * (1 + (s.SwingFactor-1)*ramp)
}

// Schedule returns the arrivals of a shape. The same seed gives the same schedule.
func (s Workload) Schedule(seed uint64, entries int) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	peak := s.Rate * max(s.SwingFactor, 1)
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at > s.Duration {
			return out
		}
		if rng.Float64()*peak > s.rate(at) {
			continue
		}
		out = append(out, s.arrival(rng, at, len(out), entries))
	}
}

func (s Workload) arrival(rng *rand.Rand, at time.Duration, index, entries int) Arrival {
	a := Arrival{At: at, Class: Short, Tokens: s.ShortTokens, Team: s.team(rng), Entry: rng.IntN(entries)}
	if rng.Float64() < s.LongShare {
		a.Class = Long
		a.Tokens = s.ShortTokens * s.LongFactor
	}
	a.Prompt = s.prompt(rng, index)
	return a
}

// team returns the first team with GreedyFactor times the probability of each other.
func (s Workload) team(rng *rand.Rand) int {
	if s.Teams <= 1 {
		return 0
	}
	factor := max(s.GreedyFactor, 1)
	pick := rng.Float64() * (factor + float64(s.Teams-1))
	if pick < factor {
		return 0
	}
	return 1 + int(pick-factor)
}

// prompt returns a prompt with one of the shared prefixes, skewed to the first ones.
func (s Workload) prompt(rng *rand.Rand, index int) string {
	own := fmt.Sprintf("mark=r%d a fitting for family %d", index, index)
	if s.Prefixes == 0 {
		return own
	}
	which := int(float64(s.Prefixes) * rng.Float64() * rng.Float64())
	prefix := ""
	for i := range s.PrefixWords {
		prefix += fmt.Sprintf("p%dw%d ", which, i)
	}
	return prefix + own
}
