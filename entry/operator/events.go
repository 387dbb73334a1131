package operator

import (
	"context"
	"fmt"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/wire/link"
	"github.com/siskinford/siskinford/wire/msg"
)

// clampEventLimit limits a requested number of events to MaxEvents. Zero requests the maximum.
func clampEventLimit(requested int) int {
	if requested <= 0 {
		return MaxEvents
	}
	return min(requested, MaxEvents)
}

func eventFilter(o *msg.EventsOrder) timeline.Filter {
	return timeline.Filter{
		Since: o.Since, Request: o.Request, Endpoint: o.Endpoint, Kind: timeline.Kind(o.Kind), Limit: clampEventLimit(o.Limit),
	}
}

// gatherAgentEvents gathers events from the agents of the local zone. Another entry of
// the zone queries the agents that this entry cannot reach.
func (s *Service) gatherAgentEvents(ctx context.Context, q peerQuery) *peerReply {
	var wanted []id.Endpoint
	for _, e := range s.deps.Snapshot().Endpoints() {
		if e.Zone == s.deps.Zone && (q.Events.Endpoint == "" || q.Events.Endpoint == e.Name) {
			wanted = append(wanted, e.Name)
		}
	}
	reply := s.queryAgents(ctx, wanted, q.Events)
	if len(reply.Unreached) == 0 {
		return reply
	}
	for _, p := range s.deps.Members.Live() {
		if p.Host == s.deps.Host {
			continue
		}
		more, err := s.queryPeer(ctx, p.Address, peerQuery{Agents: reply.Unreached, Events: q.Events}, 2*processTimeout)
		if err != nil {
			continue
		}
		reply.Missing = more.Missing
		reply.Events = append(reply.Events, more.Events...)
		reply.Processes = append(reply.Processes, more.Processes...)
		break
	}
	reply.Unreached = nil
	return reply
}

// queryAgents requests events from the agents of endpoints.
func (s *Service) queryAgents(ctx context.Context, wanted []id.Endpoint, o *msg.EventsOrder) *peerReply {
	g := newGatherer()
	for _, e := range wanted {
		g.run(func() {
			ctx, cancel := context.WithTimeout(ctx, processTimeout)
			defer cancel()
			events, err := s.deps.Agents.Events(ctx, e, o)
			if err != nil {
				g.add(&peerReply{
					Unreached: []id.Endpoint{e},
					Missing:   []answer.Missing{{Process: fmt.Sprintf("agent of endpoint %s", e), Reason: err.Error()}},
				})
				return
			}
			g.add(&peerReply{Processes: []string{events.Process}, Events: events.Events})
		})
	}
	g.wg.Wait()
	return &g.reply
}

// Directory resolves endpoints to the addresses of their agents.
type Directory interface {
	Address(e id.Endpoint) (string, bool)
}

// LinkAgents implements Agents over links.
type LinkAgents struct {
	Directory Directory
	Pool      *link.Pool
}

// Events implements Agents.
func (l LinkAgents) Events(ctx context.Context, e id.Endpoint, o *msg.EventsOrder) (*msg.Events, error) {
	address, ok := l.Directory.Address(e)
	if !ok {
		return nil, fmt.Errorf("endpoint %q is not configured", e)
	}
	conn, err := l.Pool.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	order := *o
	order.Limit = clampEventLimit(o.Limit)
	reply, err := conn.Call(ctx, &msg.Order{Events: &order})
	if err != nil {
		return nil, err
	}
	if reply.Events == nil {
		return nil, fmt.Errorf("agent at %s sent no events", address)
	}
	return reply.Events, nil
}
