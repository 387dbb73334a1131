package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// A part that does harm only at times has answers between the ends of endpoints, so that answers alone cannot clear it,
// and an end before the head of an answer does not tell which of the lost requests caused it. The ends at which a part
// was lost are compared with those that its share of the requests explains: the evidence against it is the logarithm of
// how much more likely they are if the part causes a fraction of the ends than if it causes none.

const (
	// blockEvidence is the evidence from which on a part is blocked, clearEvidence that below which an answer clears it.
	blockEvidence, clearEvidence = 6, 2
	// minEvidenceEnds is the least number of ends that are evidence. Two ends often have a part in common by chance.
	minEvidenceEnds = 3
	// evidenceAnswersFactor is the number of answers with which another entry vouches for a part that was blocked by
	// evidence, as a multiple of Config.RepeatAnswers.
	evidenceAnswersFactor = 4
	// evidenceTime is the time for which an end counts as evidence, maxEvidenceEnds bounds the number of ends.
	evidenceTime    = 10 * time.Minute
	maxEvidenceEnds = 64
	// shareTime is the time constant of a part's share of the requests. It is short, so that a part that becomes
	// popular is soon expected at more ends.
	shareTime = 10 * time.Second
)

// causedFractions are the fractions of all ends that a harmful part is taken to cause.
var causedFractions = [...]float64{0.25, 0.5, 0.95}

// recentCount is a count that decays with shareTime.
type recentCount struct {
	n  float64
	at time.Duration
}

func (c recentCount) get(now time.Duration) float64 {
	return c.n * math.Exp(-float64(max(now-c.at, 0))/float64(shareTime))
}

func (c *recentCount) add(now time.Duration) { *c = recentCount{c.get(now) + 1, max(now, c.at)} }

// partCounts counts the answers to a part at this entry.
type partCounts struct {
	// sinceEnd is the number of answers since the last end blamed on the part.
	sinceEnd int
	answered bool
	recent   recentCount
}

// observedEnd is an end of an endpoint at which this entry lost requests that may have caused it.
type observedEnd struct {
	id   EndID
	at   time.Duration
	list []Loss
	// chances are the probabilities that a part is among the lost requests without being the cause.
	chances map[id.Part]float64
	// evaluated is true once its parts were looked at. cause is the part that was blocked for it then, if any.
	evaluated bool
	cause     id.Part
}

// observeEnd records an end as evidence, and drops those that are too old or too many.
func (t *Table) observeEnd(end EndID, list []Loss, now time.Duration) {
	for len(t.ends) > 0 && (len(t.ends) >= maxEvidenceEnds || now-t.ends[0].at > evidenceTime) {
		for p := range t.ends[0].chances {
			if t.endsWith[p]--; t.endsWith[p] == 0 {
				delete(t.endsWith, p)
			}
		}
		t.ends = slices.Delete(t.ends, 0, 1)
	}
	e := &observedEnd{id: end, at: now, list: list, chances: make(map[id.Part]float64)}
	all := t.recent.get(now)
	for _, l := range list {
		for _, p := range l.Parts {
			if _, ok := e.chances[p]; ok {
				continue
			}
			counts, _ := t.counts.Get(p)
			share := min((counts.recent.get(now)+1)/(all+2), 1)
			e.chances[p] = 1 - math.Pow(1-share, float64(len(list)))
			t.endsWith[p]++
		}
	}
	t.ends = append(t.ends, e)
}

// evidence returns the evidence against a part, from what this entry has seen, and the ends at which it was lost. Ends
// for which another part is blocked do not count.
func (t *Table) evidence(p id.Part, causes map[EndID][]id.Part) (float64, []*observedEnd) {
	if t.endsWith[p] < minEvidenceEnds {
		return 0, nil
	}
	var with []*observedEnd
	var chances []float64
	without := 0.0
	for _, e := range t.ends {
		if e.cause != "" && e.cause != p || slices.ContainsFunc(causes[e.id], func(cause id.Part) bool { return cause != p }) {
			continue
		}
		chance, ok := e.chances[p]
		if !ok {
			without++
			continue
		}
		with, chances = append(with, e), append(chances, chance)
	}
	if len(with) < minEvidenceEnds {
		return 0, nil
	}
	most := 0.0
	for _, caused := range causedFractions {
		sum := without * math.Log(1-caused)
		for _, chance := range chances {
			sum += math.Log((caused + (1-caused)*chance) / chance)
		}
		most = max(most, sum)
	}
	return most, with
}

// blockedCauses returns the parts that are blocked for each end.
func (t *Table) blockedCauses() map[EndID][]id.Part {
	out := make(map[EndID][]id.Part)
	for _, r := range t.records {
		if r.State == Blocked {
			for _, e := range r.Ends {
				out[e] = append(out[e], r.Part)
			}
		}
	}
	return out
}

// isEvident reports whether the evidence against a part is too strong for an answer to clear it.
func (t *Table) isEvident(p id.Part) bool {
	if t.endsWith[p] < minEvidenceEnds {
		return false
	}
	e, _ := t.evidence(p, t.blockedCauses())
	return e >= clearEvidence
}

// Unexplained reports whether Advance is due when other entries have had Config.SettleTime to explain an end.
func (t *Table) Unexplained() bool {
	return len(t.ends) > 0 && !t.ends[len(t.ends)-1].evaluated
}

// evaluateEvidence blocks the part with the most evidence against it among those lost at an end that no entry has
// explained in Config.SettleTime.
func (t *Table) evaluateEvidence(now time.Duration) {
	for _, e := range t.ends {
		if e.evaluated || now-e.at < t.cfg.SettleTime {
			continue
		}
		e.evaluated = true
		var (
			part id.Part
			loss Loss
			ends []*observedEnd
			most = float64(blockEvidence)
		)
		causes := t.blockedCauses()
		for _, l := range e.list {
			for _, p := range l.Parts {
				if v, with := t.evidence(p, causes); v >= most && slices.Contains(with, e) {
					part, loss, ends, most = p, l, with, v
				}
			}
		}
		loss.Answering = false
		for i, end := range ends {
			end.cause = part
			if i >= len(ends)-maxEnds {
				t.blame([]id.Part{part}, Blocked, end.id, loss, now)
			}
		}
	}
}
