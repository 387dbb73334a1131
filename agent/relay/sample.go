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
	// changing is the time until which an order may still show effects.
	changing time.Time
	layout   relay.Layout
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
		if i := s.interval(time.Now()); i > 0 {
			tick = time.After(i)
		}
		select {
		case <-ctx.Done():
			return
		case <-x.ordered:
			s.changing = time.Now().Add(changeTime)
		case s.watch = <-x.watch:
		case <-tick:
		}
		s.look(ctx, time.Now())
	}
}

// interval returns the time until the next look, zero for none.
func (s *sampler) interval(now time.Time) time.Duration {
	ms := s.watch.StateMillis
	if s.watch.ChangeMillis > 0 && now.Before(s.changing) {
		ms = s.watch.ChangeMillis
	}
	if ms <= 0 {
		return 0
	}
	return max(time.Duration(ms)*time.Millisecond, minInterval)
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
	var m relay.FromRelay
	if state.Epoch != s.layout.Epoch || state.MapVersion != s.layout.Version || s.layout.Experts == nil {
		layout, err := s.session.server.engine.Layout(ctx)
		if err != nil {
			s.fail(err)
			return
		}
		s.layout, m.Layout = layout, &layout
	}
	if m.Layout != nil || state != s.last || now.Sub(s.sentAt) >= s.repeatAfter() {
		s.last, s.sentAt, m.State = state, now, &state
	}
	m.Sample, err = s.sample(ctx, state, now)
	if m != (relay.FromRelay{}) {
		s.session.send(m)
	}
	if err != nil {
		s.fail(err)
	}
}

// sample returns what the rank counted since the last sample, nil if none is due.
func (s *sampler) sample(ctx context.Context, state relay.State, now time.Time) (*relay.Sample, error) {
	interval := time.Duration(s.watch.SampleMillis) * time.Millisecond
	if interval <= 0 {
		s.base = relay.Counts{} // What is counted until the next watch is not of one time.
		return nil, nil
	}
	if now.Sub(s.sampled) < interval || state.Step <= s.base.Step && state.StartMillis == s.baseBorn {
		return nil, nil
	}
	counts, err := s.session.server.engine.Counts(ctx)
	if err != nil {
		return nil, err
	}
	s.sampled = now
	return s.advance(state.StartMillis, counts), nil
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
		levels[i] = relay.EncodeLevel(n - old.Tokens[i])
	}
	return &relay.Sample{StartMillis: born, Epoch: c.Epoch, From: old.Step, To: c.Step, Levels: levels}
}
