package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/groups"
)

const (
	// claimsDuty is the key that elects the host of the zone which removes expired claims.
	claimsDuty = "claims"
	// expireInterval is the mean time between two removals of expired claims.
	expireInterval = time.Minute
	// expireTimeout bounds one removal.
	expireTimeout = 30 * time.Second
)

// newGroups returns the manager of the coordinators of rank groups. The membership
// must exist before the first configuration is applied.
func (s *Server) newGroups() *groups.Manager {
	c := s.config.Groups
	c.Host = s.config.Host
	return groups.New(c, groups.Deps{
		Store: s.deps.Store, Pool: s.pool, LiveHosts: s.liveHosts,
		Recorder: s.events, Metrics: s.metrics, Log: s.deps.Log,
	})
}

// liveHosts returns the live entry hosts of the zone.
func (s *Server) liveHosts() []id.Host {
	var out []id.Host
	for _, p := range s.node.members.Live() {
		out = append(out, p.Host)
	}
	return out
}

// expireClaims removes expired claims at random intervals until ctx ends, on the one
// host of the zone that holds the duty.
func (s *Server) expireClaims(ctx context.Context) {
	for {
		sleep(ctx, expireInterval/2+rand.N(expireInterval))
		if ctx.Err() != nil {
			return
		}
		if s.node.members.Owns(claimsDuty) {
			s.expireClaimsOnce(ctx)
		}
	}
}

func (s *Server) expireClaimsOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, expireTimeout)
	defer cancel()
	if err := s.claims.Expire(ctx); err != nil {
		s.events.Record(timeline.Event{Kind: "claims.expire-failed", Duty: claimsDuty, Detail: err.Error()})
	}
}
