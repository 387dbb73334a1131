// Package rank runs the ranks of a group that live on the agent's host. It
// stands between the group's coordinator and the engines: it checks epochs,
// which not every engine does, and reads each engine back and asserts the wanted
// state again until the engine shows it.
package rank

import (
	"context"
	"sync"

	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
)

// Engine is the part of one rank's engine that sets the expert map. The agent
// has at most one call of SetMap in flight. Implementations are safe for
// concurrent use. All methods block until the engine answers or ctx ends.
type Engine interface {
	// ReadState returns the order in force and the engine's progress.
	ReadState(ctx context.Context) (lockstep.EngineState, error)
	// SetMap replaces the order in force. An engine outside the order's formation
	// takes only an order that allows no step. Some engines refuse an order with
	// an old fencing number, others ignore the number.
	SetMap(ctx context.Context, order lockstep.EngineOrder) error
	// StageWeights starts loading the weights of a map. It is idempotent and does
	// not wait for the end; ReadState lists the map once it is complete.
	StageWeights(ctx context.Context, w groupmsg.Weights) error
	// Layout returns what the engine holds for a staged map.
	Layout(ctx context.Context, v lockstep.Version) (groupmsg.Layout, error)
	// Loads returns the tokens per slot since the last call.
	Loads(ctx context.Context) (groupmsg.Loads, error)
}

// Transport carries messages to the coordinator.
type Transport interface {
	// Send sends a status. It does not block and may lose the message.
	Send(s groupmsg.Status)
}

// LocalRank is one rank of the host.
type LocalRank struct {
	// Index is the rank's position in the group.
	Index  int
	Engine Engine
}

// Config sets up an Agent.
type Config struct {
	// Group is the group that the ranks belong to. It has no default.
	Group id.Group
	// Incarnation is that of the agent process. It has no default.
	Incarnation id.Incarnation
	// Ranks are the ranks on this host. It has no default.
	Ranks []LocalRank
	// LoadTicks is the number of ticks between two load reports. Default 50.
	LoadTicks int
	// Recorder receives events. Default timeline.Discard.
	Recorder timeline.Recorder
}

const defaultLoadTicks = 50

// Controller runs the ranks of one host. It is safe for concurrent use.
type Controller struct {
	group   id.Group
	members []*member
}

// New returns an agent that sends to transport.
func New(cfg Config, transport Transport) *Controller {
	if cfg.LoadTicks == 0 {
		cfg.LoadTicks = defaultLoadTicks
	}
	if cfg.Recorder == nil {
		cfg.Recorder = timeline.Discard
	}
	a := &Controller{group: cfg.Group}
	for _, l := range cfg.Ranks {
		a.members = append(a.members, newMember(cfg, l, transport))
	}
	return a
}

// Handle processes an order. It is called by the transport and blocks while the
// rank's engine is asked; orders for different ranks do not wait for each other.
func (a *Controller) Handle(ctx context.Context, o groupmsg.Order) {
	if o.Group != a.group {
		return
	}
	for _, m := range a.members {
		if m.index == o.Command.Rank {
			m.handle(ctx, o)
		}
	}
}

// Tick reads every engine back and asserts what is wanted. It is called at an
// interval and blocks until every engine of the host has answered or failed.
func (a *Controller) Tick(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range a.members {
		wg.Go(func() { m.tick(ctx) })
	}
	wg.Wait()
}
