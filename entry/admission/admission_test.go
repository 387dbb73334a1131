package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/outcome"
	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/wire/msg"
)

// fixedPicker predicts the same time to first token for every request.
type fixedPicker struct {
	expected time.Duration
	err      error
}

func (p fixedPicker) Pick(route.Request) (route.Choice, error) {
	return route.Choice{Expected: p.expected}, p.err
}

// tokenLimiter is a Limiter with a fixed number of tokens.
type tokenLimiter struct{ tokens float64 }

func (b *tokenLimiter) Consume(_ id.Team, tokens float64, _ time.Time) (time.Duration, bool) {
	if b.tokens < tokens {
		return 2 * time.Second, false
	}
	b.tokens -= tokens
	return 0, true
}

func (b *tokenLimiter) Refund(_ id.Team, tokens float64, _ time.Time) { b.tokens += tokens }

func TestAdmit(t *testing.T) {
	none := &route.NoEndpointError{Service: "s"}
	for _, tc := range []struct {
		name     string
		picker   fixedPicker
		tokens   float64
		disabled bool
		want     problem.Code
		left     float64
	}{
		{name: "in time", picker: fixedPicker{expected: 10 * time.Millisecond}, tokens: 100, left: 90},
		{name: "late", picker: fixedPicker{expected: 10 * time.Second}, tokens: 100, want: problem.Overloaded, left: 100},
		{name: "late, admission off", picker: fixedPicker{expected: 10 * time.Second}, tokens: 100, disabled: true, left: 90},
		{name: "no endpoint", picker: fixedPicker{err: none}, tokens: 100, want: problem.NoEndpoint, left: 100},
		{name: "limit", picker: fixedPicker{expected: time.Millisecond}, tokens: 5, want: problem.RateLimited, left: 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limiter := &tokenLimiter{tokens: tc.tokens}
			a := New(Deps{Picker: tc.picker, Limiter: limiter, Enabled: !tc.disabled})
			a.Update([]config.Team{{Name: "puno"}}, []config.Service{{Name: "s"}})
			call := &dispatch.Call{Service: "s", Work: 10, Deadline: time.Now().Add(time.Second), Chat: &msg.Chat{MaxTokens: 8}}
			release, refused := a.Admit(config.Team{Name: "puno"}, call)
			assert.Equal(t, limiter.tokens, tc.left)
			if tc.want == "" {
				assert.Assert(t, refused == nil)
				release(4)
				assert.Equal(t, limiter.tokens, tc.left+4, "tokens that the answer did not use are given back")
				return
			}
			assert.Equal(t, refused.Code, tc.want)
			assert.Equal(t, refused.Outcome, outcome.NotRun)
			assert.Assert(t, refused.RetryAfter > 0)
		})
	}
}
