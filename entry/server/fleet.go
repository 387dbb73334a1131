package server

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/hosts"
	"github.com/siskinford/siskinford/entry/peer"
	"github.com/siskinford/siskinford/fleet/configsync"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/wire/keys"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// node is the entry's membership, configuration replication and host list.
type node struct {
	pool    *link.Pool
	server  *link.Server
	members *member.Runner
	syncer  *configsync.Syncer
	hosts   *hosts.Watcher
	// operators carries operators' queries to other entries.
	operators transport.Caller
}

// startNode listens for other entries and starts the membership and all background work.
func (s *Server) startNode() error {
	n := &s.node
	n.pool = link.NewPool(s.peerLinkConfig(), func() *tls.Config { return s.deps.Keys.ClientConfig(keys.RoleEntry) })
	s.registerTrafficMetrics("entries", n.pool)
	mux := transport.NewMux(peer.NewCaller(n.pool), s.metrics)
	n.operators = mux.Caller(transport.Operators)
	var err error
	handler := peer.NewServer(mux.Handle, s.selectEvents)
	n.server, err = link.Listen(s.config.PeerListen, s.deps.Keys.ServerConfig(keys.RoleEntry), s.peerLinkConfig(), handler)
	if err != nil {
		return err
	}
	if n.members, err = s.newMembers(mux); err != nil {
		return err
	}
	n.syncer, err = configsync.New(configsync.Options{
		Config: configsync.Default(), Zone: s.config.Zone, Store: s.deps.Store, Applier: s.applier,
		Peers: n.members, Caller: mux.Caller(transport.Configuration), Recorder: s.events, Seed: rand.Uint64(),
	})
	if err != nil {
		return err
	}
	n.hosts = hosts.New(hosts.DefaultConfig(), hosts.Deps{
		Store: s.deps.Store, Members: n.members, Caller: mux.Caller(transport.Duties),
		Recorder: s.events, OnLeaving: s.setLeaving,
	})
	mux.Register(transport.Membership, n.members.Handle)
	mux.Register(transport.Configuration, n.syncer.Handle)
	mux.Register(transport.Duties, n.hosts.Handle)
	mux.Register(transport.Operators, s.operator.Handle)
	if err := s.connectLimits(mux); err != nil {
		return err
	}
	for _, run := range []func(context.Context){
		n.members.Run, n.syncer.Run, n.hosts.Run, s.limits.Run, s.expireClaims,
	} {
		s.wg.Go(func() { run(s.ctx) })
	}
	return nil
}

// peerLinkConfig returns the configuration of links between entries.
func (s *Server) peerLinkConfig() link.Config {
	c := link.PeerConfig()
	c.Clock = s.config.Link.Clock
	return c
}

func (s *Server) newMembers(mux *transport.Mux) (*member.Runner, error) {
	address := s.config.PeerAddress
	if address == "" {
		address = s.node.server.Address()
	}
	return member.NewRunner(member.Options{
		Config: member.Default(), Zone: s.config.Zone, Host: s.config.Host, Address: address, Seed: rand.Uint64(),
		AppData: func() []byte { return s.node.syncer.EncodedDigest() },
		OnAppData: func(from member.Peer, zone id.Zone, digest []byte) {
			s.node.syncer.HandleDigest(from, zone, digest)
		},
		OnChange: s.recordMemberChange,
	}, mux.Caller(transport.Membership), time.Now)
}

func (s *Server) recordMemberChange(c member.Change) {
	s.events.Record(timeline.Event{
		Kind: "host." + timeline.Kind(c.Peer.State.String()), Detail: string(c.Peer.Host),
	})
}

// setLeaving stops routing to endpoints on leaving hosts.
func (s *Server) setLeaving(leaving map[id.Host]bool) { s.endpoints.SetLeaving(leaving) }

// PeerAddress returns the UDP address for other entries.
func (s *Server) PeerAddress() string { return s.node.server.Address() }

const maxReplyEvents = 5000

// selectEvents returns events of this process's timeline.
func (s *Server) selectEvents(o *msg.EventsOrder) *msg.Events {
	return &msg.Events{Process: string(s.config.Host), Events: timeline.Select(s.deps.Ring, timeline.Filter{
		Since: o.Since, Request: o.Request, Endpoint: o.Endpoint, Kind: timeline.Kind(o.Kind), Limit: min(o.Limit, maxReplyEvents),
	})}
}
