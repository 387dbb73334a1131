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
		Snapshot: func() *config.Snapshot { return s.holder.Current() },
		Members:  lateMembers{s}, Caller: lateCaller{s},
		Agents:     operator.LinkAgents{Directory: s.endpoints, Pool: s.pool},
		Status:     s.table.Status,
		LastReport: func(e id.Endpoint) (endpoints.ReceivedReport, bool) { return s.endpoints.LastReport(e) },
		Requests:   s.requests,
		Duties:     []string{hosts.DutyKey, "reader/" + string(s.config.Zone)},
	})
}

// lateMembers and lateCaller reach parts of the node that exist once it listens.
// Questions arrive only afterwards.
type lateMembers struct{ s *Server }

func (l lateMembers) Self() member.Peer        { return l.s.node.members.Self() }
func (l lateMembers) Members() []member.Peer   { return l.s.node.members.Members() }
func (l lateMembers) Live() []member.Peer      { return l.s.node.members.Live() }
func (l lateMembers) Zones() []member.Zone     { return l.s.node.members.Zones() }
func (l lateMembers) Elsewhere() []member.Peer { return l.s.node.members.Elsewhere() }

type lateCaller struct{ s *Server }

// Call implements transport.Caller.
func (l lateCaller) Call(ctx context.Context, address string, payload []byte) ([]byte, error) {
	return l.s.node.operators.Call(ctx, address, payload)
}

// Abandon implements transport.Caller.
func (l lateCaller) Abandon(address string) { l.s.node.operators.Abandon(address) }

var _ transport.Caller = lateCaller{}
