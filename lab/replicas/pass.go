package replicas

import (
	"fmt"
	"slices"
	"time"
)

const (
	// idlePollInterval is the interval at which an idle group polls for work.
	idlePollInterval = 2 * time.Millisecond
	// tokensPerEvent and tokensPerPrompt are the tokens routed to the experts of a set.
	tokensPerEvent, tokensPerPrompt = 40, 2000
)

// run executes passes until Close.
func (g *Group) run() {
	for {
		pause := idlePollInterval
		g.mu.Lock()
		if g.checkOpen(time.Now()) && g.hasWork() && !g.heldAt(g.step+1) {
			pause = g.runPass()
		}
		g.mu.Unlock()
		select {
		case <-g.stop:
			return
		case <-time.After(pause):
		}
	}
}

// checkOpen reports whether the group is open. It aborts streams whose stall timed
// out and starts an epoch that is due. The caller holds mu.
func (g *Group) checkOpen(now time.Time) bool {
	for _, since := range g.missing {
		if now.Sub(since) > g.cfg.StallTimeout {
			for _, r := range g.ranks {
				g.closeStreams(r)
			}
		}
	}
	if len(g.missing) > 0 {
		return false
	}
	if !g.opensAt.IsZero() {
		if now.Before(g.opensAt) {
			return false
		}
		g.opensAt = time.Time{}
		g.startEpoch()
	}
	return true
}

func (g *Group) hasWork() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return len(r.running)+len(r.waiting) > 0 })
}

func (g *Group) heldAt(step uint64) bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.heldStep == step })
}

// runPass starts a pass and returns its duration. It sends events at the start of the
// pass, which callers can't distinguish from its end. The caller holds mu.
func (g *Group) runPass() time.Duration {
	g.step++
	g.switchMaps()
	fullest := 0
	for _, r := range g.ranks {
		for len(r.running) < g.cfg.Slots && len(r.waiting) > 0 {
			r.running = append(r.running, r.waiting[0])
			r.waiting = r.waiting[1:]
		}
		fullest = max(fullest, len(r.running))
		g.runStreams(r)
	}
	g.skew = g.measureSkew()
	return g.cfg.StepTime + time.Duration(float64(fullest)*g.skew*float64(g.cfg.TimePerStream))
}

func (g *Group) switchMaps() {
	switched := false
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.version, r.experts = r.armed, r.preparedExperts
			r.armed, r.armedStep, r.prepared = 0, 0, 0
			switched = true
		}
	}
	if switched {
		g.mapSwitches++
	}
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.violations = append(g.violations,
				fmt.Sprintf("pass %d: rank 0 has map %d, rank %d has map %d", g.step, g.ranks[0].version, i, r.version))
		}
	}
}

// runStreams sends the events of a rank's streams and counts tokens by expert.
func (g *Group) runStreams(r *rank) {
	r.running = slices.DeleteFunc(r.running, func(s *Stream) bool {
		if s.cancelled {
			return true
		}
		tokens := tokensPerEvent
		if s.promptPending {
			s.promptPending, tokens = false, tokensPerPrompt
		} else {
			s.Events <- s.next
			s.next++
		}
		for set := range g.popular {
			for range tokens {
				r.counts[set*g.cfg.ExpertsPerSet+g.pickExpert(set)]++
			}
		}
		if s.next > s.last {
			close(s.Events)
			return true
		}
		return false
	})
}

// pickExpert draws an expert. Each of the six most popular is half as likely as the one
// before; the remaining probability is spread evenly over all.
func (g *Group) pickExpert(set int) int {
	i := 0
	for i < 6 && g.rng.IntN(2) == 0 {
		i++
	}
	if i == 6 {
		i = g.rng.IntN(g.cfg.ExpertsPerSet)
	}
	return g.popular[set][i%g.cfg.ExpertsPerSet]
}

// measureSkew returns the ratio of the highest rank load to the mean under the current
// popularity, averaged over the sets.
func (g *Group) measureSkew() float64 {
	var sum float64
	for set := range g.popular {
		weight := make([]float64, g.cfg.ExpertsPerSet)
		for i, e := range g.popular[set] {
			weight[e] = 1.0 / 64 / float64(g.cfg.ExpertsPerSet)
			if i < 6 {
				weight[e] += 1 / float64(int(2)<<i)
			}
		}
		replicas := make([]float64, g.cfg.ExpertsPerSet)
		for _, r := range g.ranks {
			for _, e := range r.experts[set] {
				replicas[e]++
			}
		}
		most := 0.0
		for _, r := range g.ranks {
			load := 0.0
			for _, e := range r.experts[set] {
				load += weight[e] / replicas[e]
			}
			most = max(most, load)
		}
		sum += most * float64(len(g.ranks))
	}
	return sum / float64(len(g.popular))
}
