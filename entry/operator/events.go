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

// limit returns the bound on events for the bound that was asked for.
func limit(asked int) int {
	if asked <= 0 {
		return MaxEvents
	}
	return min(asked, MaxEvents)
}

func filter(o *msg.EventsOrder) timeline.Filter {
	return timeline.Filter{
		Since: o.Since, Request: o.Request, Endpoint: o.Endpoint, Kind: timeline.Kind(o.Kind), Limit: limit(o.Limit),
	}
}

// zoneAgents gathers the events of the agents of the own zone. Agents that this
// entry does not reach are asked by another entry of the zone.
func (s *Service) zoneAgents(ctx context.Context, a ask) *told {
	var wanted []id.Endpoint
	for _, e := range s.deps.Snapshot().Endpoints() {
		if e.Zone == s.deps.Zone && (a.Events.Endpoint == "" || a.Events.Endpoint == e.Name) {
			wanted = append(wanted, e.Name)
		}
	}
	t := s.askAgents(ctx, wanted, a.Events)
	if len(t.Unreached) == 0 {
		return t
	}
	for _, p := range s.deps.Members.Live() {
		if p.Host == s.deps.Host {
			continue
		}
		more, err := s.call(ctx, p.Address, ask{Agents: t.Unreached, Events: a.Events}, 2*processTimeout)
		if err != nil {
			continue
		}
		t.Missing = more.Missing
		t.Events = append(t.Events, more.Events...)
		t.Processes = append(t.Processes, more.Processes...)
		break
	}
	t.Unreached = nil
	return t
}

// askAgents asks the agents of endpoints for their events.
func (s *Service) askAgents(ctx context.Context, wanted []id.Endpoint, o *msg.EventsOrder) *told {
	g := newGathering()
	for _, e := range wanted {
		g.run(func() {
			ctx, cancel := context.WithTimeout(ctx, processTimeout)
			defer cancel()
			events, err := s.deps.Agents.Events(ctx, e, o)
			if err != nil {
				g.add(&told{
					Unreached: []id.Endpoint{e},
					Missing:   []answer.Missing{{Process: fmt.Sprintf("agent of endpoint %s", e), Reason: err.Error()}},
				})
				return
			}
			g.add(&told{Processes: []string{events.Process}, Events: events.Events})
		})
	}
	g.wg.Wait()
	return &g.told
}

// Directory knows where endpoints are reached.
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
	order.Limit = limit(o.Limit)
	reply, err := conn.Call(ctx, &msg.Order{Events: &order})
	if err != nil {
		return nil, err
	}
	if reply.Events == nil {
		return nil, fmt.Errorf("agent at %s sent no events", address)
	}
	return reply.Events, nil
}
