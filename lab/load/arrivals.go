// Package load sends open-loop load to a fleet of real processes and compares the
// variants of a scenario, such as a policy and its baseline, in one run.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Class groups requests in reports, by length or by team.
type Class string

const (
	// Short requests generate Workload.ShortTokens tokens.
	Short Class = "short"
	// Long requests generate Workload.LongFactor times as many.
	Long Class = "long"
)

// Arrival is one scheduled request.
type Arrival struct {
	// At is the intended send time, relative to the start of the run.
	At     time.Duration
	Class  Class
	Tokens int
	Prompt string
	// Team is the index of the sending team.
	Team int
	// Entry is the index of the receiving entry.
	Entry int
}

// Workload describes the arrival process of a scenario.
type Workload struct {
	// Duration is the length of the arrival schedule.
	Duration time.Duration
	// Rate is the mean arrival rate outside a swing, in requests per second.
	Rate float64
	// During a swing, the rate is SwingFactor times higher. It rises and falls
	// linearly over SwingRamp.
	SwingStart, SwingDuration, SwingRamp time.Duration
	SwingFactor                          float64
	// ShortTokens is the length of a short response.
	ShortTokens int
	// LongShare is the fraction of requests that are LongFactor times longer.
	LongShare  float64
	LongFactor int
	// Prefixes is the number of distinct prompt prefixes; zero adds none.
	// PrefixWords is the length of a prefix.
	Prefixes, PrefixWords int
	// Teams is the number of teams. GreedyFactor multiplies the first team's rate.
	Teams        int
	GreedyFactor float64
}

// rate returns the arrival rate at a time, in requests per second.
func (s Workload) rate(at time.Duration) float64 {
	if s.SwingDuration == 0 || at < s.SwingStart || at > s.SwingStart+s.SwingDuration {
		return s.Rate
	}
	elapsed, remaining := at-s.SwingStart, s.SwingStart+s.SwingDuration-at
	ramp := 1.0
	if s.SwingRamp > 0 {
		ramp = min(float64(min(elapsed, remaining))/float64(s.SwingRamp), 1)
	}
	return s.Rate * (1 + (s.SwingFactor-1)*ramp)
}

// Schedule draws Poisson arrivals by thinning. It is deterministic for a seed.
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

// team picks a team; the first is GreedyFactor times as likely as any other.
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

// prompt returns a prompt with a shared prefix; low prefix indices are more likely.
func (s Workload) prompt(rng *rand.Rand, index int) string {
	suffix := fmt.Sprintf("mark=r%d a fitting for family %d", index, index)
	if s.Prefixes == 0 {
		return suffix
	}
	prefixIndex := int(float64(s.Prefixes) * rng.Float64() * rng.Float64())
	prefix := ""
	for i := range s.PrefixWords {
		prefix += fmt.Sprintf("p%dw%d ", prefixIndex, i)
	}
	return prefix + suffix
}
