package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/siskinford/siskinford/wire/relay"
)

// maxCountedSteps bounds the steps that begin between the two calls of a poll. Calls end after
// callTimeout, and a step takes 15 ms or more.
const maxCountedSteps = 32

// sampler polls the rank for one session.
type sampler struct {
	session  *session
	watch    relay.Watch
	lastSent relay.State
	sentAt   time.Time
	// changingUntil is the end of the change window of the last order.
	changingUntil time.Time
	layout        relay.Layout
	layoutAt      time.Time
	// base are the counts at the last sample, and baseBorn the rank's start then.
	base            relay.Counts
	baseStartMillis int64
	sampledAt       time.Time
	unreachable     bool
}

// runSampler polls the rank as the session's watch requests until ctx ends.
func (x *session) runSampler(ctx context.Context) {
	s := &sampler{session: x}
	for {
		var tick <-chan time.Time
		if i := s.pollInterval(time.Now()); i > 0 {
			tick = time.After(i)
		}
		select {
		case <-ctx.Done():
			return
		case <-x.ordered:
			s.changingUntil = time.Now().Add(changeWindow)
		case s.watch = <-x.watches:
		case <-tick:
		}
		s.poll(ctx, time.Now())
	}
}

// pollInterval returns the time until the next poll. Zero disables polling.
func (s *sampler) pollInterval(now time.Time) time.Duration {
	ms := s.watch.StateMillis
	if s.watch.ChangeMillis > 0 && now.Before(s.changingUntil) {
		ms = s.watch.ChangeMillis
	}
	if ms <= 0 {
		return 0
	}
	return max(time.Duration(ms)*time.Millisecond, minPollInterval)
}

func (s *sampler) poll(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := s.session.server.engine.State(ctx)
	if err != nil {
		s.sendUnreachable(err)
		return
	}
	s.unreachable = false
	var m relay.FromRelay
	if s.layoutDue(state, now) {
		layout, err := s.session.server.engine.Layout(ctx)
		switch {
		case errors.Is(err, relay.ErrInvalid):
			s.sendUnreachable(err)
		case err != nil:
			s.sendUnreachable(err)
			return
		default:
			if !sameLayout(layout, s.layout) {
				m.Layout = &layout
			}
			s.layout, s.layoutAt = layout, now
		}
	}
	if m.Layout != nil || state != s.lastSent || now.Sub(s.sentAt) >= s.resendInterval() {
		s.lastSent, s.sentAt, m.State = state, now, &state
	}
	m.Sample, err = s.sample(ctx, state, now)
	if m != (relay.FromRelay{}) {
		s.session.send(m)
	}
	if err != nil {
		s.sendUnreachable(err)
	}
}

// sample returns the counts since the last sample, or nil if none is due.
func (s *sampler) sample(ctx context.Context, state relay.State, now time.Time) (*relay.Sample, error) {
	interval := time.Duration(s.watch.SampleMillis) * time.Millisecond
	if interval <= 0 {
		s.base = relay.Counts{} // A sample across the time without sampling would be out of date.
		return nil, nil
	}
	if now.Sub(s.sampledAt) < interval || state.Step <= s.base.Step && state.StartMillis == s.baseStartMillis {
		return nil, nil
	}
	counts, err := s.session.server.engine.Counts(ctx)
	if err != nil {
		return nil, err
	}
	if counts.Step > state.Step+maxCountedSteps {
		return nil, fmt.Errorf("%w: counts of step %d, %d steps after the report", relay.ErrInvalid, counts.Step, counts.Step-state.Step)
	}
	s.sampledAt = now
	return s.sampleSinceBase(state.StartMillis, counts), nil
}

// resendInterval returns the time after which an unchanged state is sent again, so that
// the entry can tell a stopped group from a silent relay.
func (s *sampler) resendInterval() time.Duration {
	interval := resendPolls * time.Duration(s.watch.StateMillis) * time.Millisecond
	return min(max(interval, minResendInterval), maxResendInterval)
}

// layoutDue reports whether to read the layout.
func (s *sampler) layoutDue(state relay.State, now time.Time) bool {
	if state.Epoch != s.layout.Epoch || state.MapVersion != s.layout.Version || s.layout.Experts == nil {
		return true
	}
	interval := time.Duration(s.watch.LayoutMillis) * time.Millisecond
	// A group is held for a few round trips, in which a slow host has no time for another call.
	switching := now.Sub(time.Unix(0, s.session.switchedAt.Load())) < changeWindow
	return interval > 0 && !switching && now.Sub(s.layoutAt) >= max(interval, minLayoutInterval)
}

func sameLayout(a, b relay.Layout) bool {
	return a.Epoch == b.Epoch && a.Version == b.Version && slices.EqualFunc(a.Experts, b.Experts, slices.Equal[[]int])
}

// sendUnreachable reports a failed poll: each invalid answer, and otherwise the first failure in
// a row.
func (s *sampler) sendUnreachable(err error) {
	if errors.Is(err, relay.ErrInvalid) {
		s.session.send(relay.FromRelay{Invalid: err.Error()})
		return
	}
	if s.unreachable {
		return
	}
	s.unreachable = true
	s.session.send(relay.FromRelay{Unreachable: err.Error()})
}

// sampleSinceBase returns the difference between c and base, and makes c the base. It
// returns nil if no step was counted, or if the rank restarted or changed its epoch.
func (s *sampler) sampleSinceBase(startMillis int64, c relay.Counts) *relay.Sample {
	old := s.base
	same := startMillis == s.baseStartMillis && c.Epoch == old.Epoch && len(c.Tokens) == len(old.Tokens)
	s.base, s.baseStartMillis = relay.Counts{Step: c.Step, Epoch: c.Epoch, Tokens: slices.Clone(c.Tokens)}, startMillis
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
	return &relay.Sample{StartMillis: startMillis, Epoch: c.Epoch, From: old.Step, To: c.Step, Levels: levels}
}
