package relay

import (
	"context"
	"slices"
	"time"

	"github.com/siskinford/siskinford/wire/relay"
)

// sampler follows the rank for one session.
type sampler struct {
	session *session
	watch   relay.Watch
	last    relay.State
	sentAt  time.Time
	layout  relay.Layout
	// base is what was counted up to the last sample.
	base     relay.Counts
	baseBorn int64
	sampled  time.Time
	failing  bool
}

// sample follows the rank as the session's watch asks until ctx ends.
func (x *session) sample(ctx context.Context) {
	s := &sampler{session: x}
	for {
		var tick <-chan time.Time
		if s.watch.StateMillis > 0 {
			tick = time.After(max(time.Duration(s.watch.StateMillis)*time.Millisecond, minInterval))
		}
		select {
		case <-ctx.Done():
			return
		case s.watch = <-x.watch:
		case <-tick:
		}
		s.look(ctx, time.Now())
	}
}

func (s *sampler) look(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := s.session.server.engine.State(ctx)
	if err != nil {
		s.fail(err)
		return
	}
	s.failing = false
	if state.Epoch != s.layout.Epoch || state.Map != s.layout.Version || s.layout.Experts == nil {
		layout, err := s.session.server.engine.Layout(ctx)
		if err != nil {
			s.fail(err)
			return
		}
		s.layout = layout
		s.session.send(relay.FromRelay{Layout: &layout})
	}
	if state != s.last || now.Sub(s.sentAt) >= s.repeatAfter() {
		s.last, s.sentAt = state, now
		s.session.send(relay.FromRelay{State: &state})
	}
	interval := time.Duration(s.watch.SampleMillis) * time.Millisecond
	if interval <= 0 || now.Sub(s.sampled) < interval || state.Step <= s.base.Step && state.Born == s.baseBorn {
		return
	}
	counts, err := s.session.server.engine.Counts(ctx)
	if err != nil {
		s.fail(err)
		return
	}
	s.sampled = now
	if sample := s.advance(state.Born, counts); sample != nil {
		s.session.send(relay.FromRelay{Sample: sample})
	}
}

// repeatAfter returns the time after which a state is sent although it is the
// last one, so that the entry can tell a standing group from a silent relay.
func (s *sampler) repeatAfter() time.Duration {
	looks := repeatLooks * time.Duration(s.watch.StateMillis) * time.Millisecond
	return min(max(looks, minRepeat), maxRepeat)
}

func (s *sampler) fail(err error) {
	if s.failing {
		return
	}
	s.failing = true
	s.session.send(relay.FromRelay{Unreachable: err.Error()})
}

// advance returns the counts since the last call, or nil if there are none or
// the rank began anew.
func (s *sampler) advance(born int64, c relay.Counts) *relay.Sample {
	old := s.base
	same := born == s.baseBorn && c.Epoch == old.Epoch && len(c.Tokens) == len(old.Tokens)
	s.base, s.baseBorn = relay.Counts{Step: c.Step, Epoch: c.Epoch, Tokens: slices.Clone(c.Tokens)}, born
	if !same || c.Step <= old.Step {
		return nil
	}
	levels := make([]byte, len(c.Tokens))
	for i, n := range c.Tokens {
		if n < old.Tokens[i] {
			return nil
		}
		levels[i] = relay.Level(n - old.Tokens[i])
	}
	return &relay.Sample{Born: born, Epoch: c.Epoch, From: old.Step, To: c.Step, Levels: levels}
}
