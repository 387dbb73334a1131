package replicas

import (
	"fmt"
	"slices"
	"time"
)

const (
	// idlePause is the time between looks for work.
	idlePause = 2 * time.Millisecond
	// picksPerEvent and picksPerPrompt count the experts' tokens of an event and of a prompt.
	picksPerEvent, picksPerPrompt = 40, 2000
)

// run executes passes until the group is closed.
func (g *Group) run() {
	for {
		pause := idlePause
		g.mu.Lock()
		if g.ready(time.Now()) && g.hasWork() && !g.heldAt(g.step+1) {
			pause = g.begin()
		}
		g.mu.Unlock()
		select {
		case <-g.stop:
			return
		case <-time.After(pause):
		}
	}
}

// ready reports whether the group is open, and forms it when its time has come.
func (g *Group) ready(now time.Time) bool {
	for _, since := range g.missing {
		if now.Sub(since) > g.cfg.StallTimeout {
			for _, r := range g.ranks {
				g.breakOff(r)
			}
		}
	}
	if len(g.missing) > 0 {
		return false
	}
	if !g.formingAt.IsZero() {
		if now.Before(g.formingAt) {
			return false
		}
		g.formingAt = time.Time{}
		g.form()
	}
	return true
}

func (g *Group) hasWork() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return len(r.running)+len(r.waiting) > 0 })
}

func (g *Group) heldAt(step uint64) bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.held == step })
}

// begin begins a pass and returns its length. Its events are made at its begin,
// which tests cannot tell from its end.
func (g *Group) begin() time.Duration {
	g.step++
	g.switchMaps()
	fullest := 0
	for _, r := range g.ranks {
		for len(r.running) < g.cfg.Slots && len(r.waiting) > 0 {
			r.running = append(r.running, r.waiting[0])
			r.waiting = r.waiting[1:]
		}
		fullest = max(fullest, len(r.running))
		g.work(r)
	}
	g.skew = g.measureSkew()
	return g.cfg.StepTime + time.Duration(float64(fullest)*g.skew*float64(g.cfg.TimePerStream))
}

func (g *Group) switchMaps() {
	switched := false
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedAt == g.step {
			r.version, r.experts = r.armed, r.preparedExperts
			r.armed, r.armedAt, r.prepared = 0, 0, 0
			switched = true
		}
	}
	if switched {
		g.switches++
	}
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.violations = append(g.violations,
				fmt.Sprintf("pass %d: rank 0 has map %d, rank %d has map %d", g.step, g.ranks[0].version, i, r.version))
		}
	}
}

// work makes the events of a rank's streams and counts their experts.
func (g *Group) work(r *rank) {
	r.running = slices.DeleteFunc(r.running, func(s *Stream) bool {
		if s.gone {
			return true
		}
		picks := picksPerEvent
		if s.prompt {
			s.prompt, picks = false, picksPerPrompt
		} else {
			s.Events <- s.next
			s.next++
		}
		for set := range g.popular {
			for range picks {
				r.counts[set*g.cfg.ExpertsPerSet+g.choose(set)]++
			}
		}
		if s.next > s.last {
			close(s.Events)
			return true
		}
		return false
	})
}

// choose picks an expert; each is half as popular as the one before, to a floor.
func (g *Group) choose(set int) int {
	i := 0
	for i < 6 && g.rng.IntN(2) == 0 {
		i++
	}
	if i == 6 {
		i = g.rng.IntN(g.cfg.ExpertsPerSet)
	}
	return g.popular[set][i%g.cfg.ExpertsPerSet]
}

// measureSkew returns the largest rank load over the mean under the popularity
// in force, averaged over the sets.
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
