package server

import (
	"github.com/siskinford/siskinford/entry/limits"
	"github.com/siskinford/siskinford/fleet/transport"
)

// connectLimits lets the limiter exchange demands and grants with other entries.
func (s *Server) connectLimits(mux *transport.Mux) error {
	err := s.limits.SetDeps(limits.Deps{
		Store: s.deps.Store, Members: s.node.members, Caller: mux.Caller(transport.Limits), Metrics: s.metrics,
	})
	if err != nil {
		return err
	}
	mux.Register(transport.Limits, s.limits.Handle)
	return nil
}

// newLimits returns the limiter of the teams' token rates, without teams.
func (s *Server) newLimits() (*limits.Limiter, error) {
	c := s.config.Limits
	c.Zone = s.config.Zone
	return limits.New(c)
}
