package route_test

import (
	"math"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// meanService is the mean time that a request occupies a slot.
func (s *sim) meanService() time.Duration {
	answer := simMeanAnswer
	if s.heavy {
		answer *= 1 + 0.03*49
	}
	return time.Duration((1 + simMeanBlocks*simBlock/simPrefill + answer) * float64(simStep))
}

func (s *sim) capacity() float64 { // requests per second
	return 16 * simSlots / s.meanService().Seconds()
}

func (s *sim) arrive() {
	if s.now >= s.duration {
		return
	}
	rate := s.capacity() * s.load(s.now)
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	j := &job{arrived: s.now, deadline: s.now + s.deadline, answer: 4 + int(s.rng.ExpFloat64()*(simMeanAnswer-4))}
	if s.heavy && s.rng.IntN(100) < 3 {
		j.answer *= 50
	}
	j.team = s.pickTeam()
	j.prompt = s.prompt()
	s.result.arrivals++
	s.try(s.pickEntry(), j)
}

// pickEntry returns a random entry in the zone of a random endpoint, so that the
// zones' loads are proportional to their capacities, or any entry if s.uneven is set.
func (s *sim) pickEntry() *frontend {
	for {
		f := s.frontends[s.rng.IntN(len(s.frontends))]
		if s.lostZone == f.zone && s.now >= s.duration/2 {
			continue
		}
		if s.uneven || f.zone == s.backends[s.rng.IntN(len(s.backends))].Zone {
			return f
		}
	}
}

// pickTeam returns a random team with the probability of its fraction.
func (s *sim) pickTeam() id.Team {
	x := s.rng.Float64()
	for _, t := range s.teams {
		if x -= t.fraction; x < 0 {
			return t.name
		}
	}
	return s.teams[0].name
}

// prompt returns 8 blocks on average. With prefix reuse 4 of 5 prompts continue
// one of 48 long conversations.
func (s *sim) prompt() []uint64 {
	if s.prefixes && s.rng.IntN(5) > 0 {
		conversation := uint64(s.rng.IntN(48))
		blocks := make([]uint64, 8+s.rng.IntN(16))
		for i := range blocks {
			blocks[i] = conversation<<16 + uint64(i) + 1
		}
		return blocks
	}
	blocks := make([]uint64, 4+s.rng.IntN(9))
	for i := range blocks {
		blocks[i] = s.rng.Uint64()
	}
	return blocks
}

func constant(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

// swing rises by a factor of 4 within 2 s and falls again.
func swing(low float64, rise, length time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		up := float64(t-rise) / float64(2*time.Second)
		down := float64(rise+length-t) / float64(2*time.Second)
		return low * (1 + 3*math.Max(0, math.Min(1, math.Min(up, down))))
	}
}
