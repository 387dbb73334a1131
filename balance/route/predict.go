package route

import "time"

// prediction is the expected time to first token at one endpoint, in parts.
type prediction struct {
	wait    time.Duration // until a slot is free
	prefill time.Duration
	err     time.Duration // correction by the error of earlier predictions
}

func (p prediction) base() time.Duration { return p.wait + p.prefill }

func (p prediction) expected() time.Duration { return max(p.base()+p.err, p.prefill) }

// wait predicts the time until the endpoint starts one more request: its
// reported backlog, corrected by the entry's own starts and ends since then.
// Below the number of slots it grows with the load, so that less busy endpoints
// are preferred.
func (t *Table) wait(m *member, now time.Duration) time.Duration {
	s := m.state
	l := s.load.Load()
	if l == nil {
		return 0
	}
	count := max(l.count+s.netCount.Load(), 0)
	tokens := max(l.tokens+s.netTokens.Load(), 0)
	if l.count > 0 {
		tokens = max(tokens, count*l.tokens/l.count/2)
	}
	// An endpoint cannot have less to do than this entry's own open requests.
	if open := s.openCount.Load(); open > count {
		count = open
		tokens = max(tokens, s.openTokens.Load()/2)
	}
	drain := float64(tokens) * float64(l.step) / float64(l.slots)
	ahead := float64(max(1, count-l.slots+1)) / float64(max(count, l.slots))
	return time.Duration(drain * ahead)
}

// predict returns the prediction for a request at an endpoint that holds
// cached blocks of its prompt.
func (t *Table) predict(m *member, blocks, cached int, now time.Duration) prediction {
	s := m.state
	p := prediction{wait: t.wait(m, now), err: t.missed(s, now)}
	if l := s.load.Load(); l != nil {
		steps := 1 + (blocks-cached)*t.cfg.BlockTokens/t.cfg.PrefillRate
		p.prefill = time.Duration(steps) * l.step
	}
	return p
}

// missed returns the average error of earlier predictions, which fades with its age.
func (t *Table) missed(s *state, now time.Duration) time.Duration {
	miss := s.errorNanos.Load()
	age := now - time.Duration(s.errorAt.Load())
	if miss <= 0 || age >= t.cfg.ErrorMemory {
		return 0
	}
	fresh := 1 - float64(max(age, 0))/float64(t.cfg.ErrorMemory)
	return time.Duration(float64(miss) * fresh)
}
