package server

import (
	"context"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/endpoints"
	"github.com/siskinford/siskinford/entry/hosts"
	"github.com/siskinford/siskinford/entry/operator"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/transport"
)

// newOperator returns the service that answers operators.
func (s *Server) newOperator() *operator.Service {
	return operator.New(operator.Deps{
		Host: s.config.Host, Zone: s.config.Zone, Store: s.deps.Store, Ring: s.deps.Ring, Recorder: s.events,
		Snapshot: func() *config.Snapshot { return s.applier.Current() },
		Members:  lazyMembers{s}, Caller: lazyCaller{s},
		Agents:     operator.LinkAgents{Directory: s.endpoints, Pool: s.pool},
		Status:     s.table.Status,
		LastReport: func(e id.Endpoint) (endpoints.ReceivedReport, bool) { return s.endpoints.LastReport(e) },
		Requests:   s.requests,
		Duties:     []string{hosts.DutyKey, "reader/" + string(s.config.Zone)},
	})
}

// lazyMembers and lazyCaller defer to the node, which is created after the service
// that uses them but before the first query arrives.
type lazyMembers struct{ s *Server }

func (l lazyMembers) Self() member.Peer          { return l.s.node.members.Self() }
func (l lazyMembers) Members() []member.Peer     { return l.s.node.members.Members() }
func (l lazyMembers) Live() []member.Peer        { return l.s.node.members.Live() }
func (l lazyMembers) Zones() []member.ZoneStatus { return l.s.node.members.Zones() }
func (l lazyMembers) RemotePeers() []member.Peer { return l.s.node.members.RemotePeers() }

type lazyCaller struct{ s *Server }

// Call implements transport.Caller.
func (l lazyCaller) Call(ctx context.Context, address string, payload []byte) ([]byte, error) {
	return l.s.node.operators.Call(ctx, address, payload)
}

// Abandon implements transport.Caller.
func (l lazyCaller) Abandon(address string) { l.s.node.operators.Abandon(address) }

var _ transport.Caller = lazyCaller{}
