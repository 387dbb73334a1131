package server

import (
	"time"

	"github.com/siskinford/siskinford/entry/dispatch"
	"github.com/siskinford/siskinford/entry/limits"
	"github.com/siskinford/siskinford/entry/problem"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/transport"
)

// connectLimits lets this entry exchange demands and grants with others.
func (s *Server) connectLimits(mux *transport.Mux) error {
	err := s.limits.Connect(limits.Deps{
		Store: s.deps.Store, Members: s.node.members, Caller: mux.Caller(transport.Limits), Metrics: s.metrics,
	})
	if err != nil {
		return err
	}
	mux.Register(transport.Limits, s.limits.Handle)
	return nil
}

// newLimits returns the enforcement of the teams' limits, without teams.
func (s *Server) newLimits() (*limits.Limits, error) {
	c := s.config.Limits
	c.Zone = s.config.Zone
	return limits.New(c)
}

// maxRetryAfter bounds the retry time that a team beyond its limit is told.
const maxRetryAfter = time.Minute

// limited admits the calls of each team within its limit.
type limited struct{ limits *limits.Limits }

// Admit implements caller.Admitter. Of a chat completion, the tokens that the
// answer did not use are given back.
func (a limited) Admit(t config.Team, c *dispatch.Call) (func(uint32), *problem.Problem) {
	retryAfter, ok := a.limits.Take(t.Name, float64(c.Work), time.Now())
	if !ok {
		p := problem.Newf(problem.RateLimited, "team %q has used its %g tokens per second", t.Name, t.TokensPerSecond)
		p.RetryAfter = min(retryAfter, maxRetryAfter)
		return nil, p
	}
	return func(used uint32) {
		if c.Chat != nil && int(used) < c.Chat.MaxTokens {
			a.limits.Return(t.Name, float64(c.Chat.MaxTokens-int(used)), time.Now())
		}
	}, nil
}
