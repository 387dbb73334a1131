// Package operator answers the queries and commands of operators at an entry. It
// gathers data from the other entries and the agents.
package operator

import (
	"context"
	"time"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/endpoints"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/member"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/transport"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/lang"
	"github.com/siskinford/siskinford/operate/table"
	"github.com/siskinford/siskinford/wire/msg"
)

// peerQuery is a query of one entry to another.
type peerQuery struct {
	// Kind requests the rows of a kind.
	Kind lang.Kind `cbor:"1,keyasint,omitempty"`
	// Events requests events of the timeline.
	Events *msg.EventsOrder `cbor:"2,keyasint,omitempty"`
	// Request requests the log record of one request.
	Request id.Request `cbor:"3,keyasint,omitempty"`
	// Zone makes the receiver gather from all processes of its zone.
	Zone bool `cbor:"4,keyasint,omitempty"`
	// Agents makes the receiver gather the events of the agents of these endpoints.
	Agents []id.Endpoint `cbor:"5,keyasint,omitempty"`
}

// peerReply is the reply to a peerQuery.
type peerReply struct {
	Processes  []string         `cbor:"1,keyasint,omitempty"`
	Missing    []answer.Missing `cbor:"2,keyasint,omitempty"`
	Rows       *table.Table     `cbor:"3,keyasint,omitempty"`
	Events     []timeline.Event `cbor:"4,keyasint,omitempty"`
	Truncated  bool             `cbor:"5,keyasint,omitempty"`
	Candidates *table.Table     `cbor:"6,keyasint,omitempty"`
	// Unreached lists the endpoints of peerQuery.Agents whose agent did not reply.
	Unreached []id.Endpoint `cbor:"7,keyasint,omitempty"`
}

// Members is a Service's view of the other entries. It is implemented by *member.Runner.
type Members interface {
	Self() member.Peer
	Members() []member.Peer
	Live() []member.Peer
	Zones() []member.ZoneStatus
	RemotePeers() []member.Peer
}

// Agents requests events from agents. Events blocks until the agent replies
// or ctx ends.
type Agents interface {
	Events(ctx context.Context, e id.Endpoint, o *msg.EventsOrder) (*msg.Events, error)
}

// Deps are the dependencies of a Service.
type Deps struct {
	Host id.Host
	Zone id.Zone
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	Store    objectapi.Store
	Members  Members
	Caller   transport.Caller
	Agents   Agents
	Ring     *timeline.Ring
	// Recorder receives the events of operators' changes.
	Recorder timeline.Recorder
	// Status returns the routing table's status of the endpoints of a service.
	Status func(s id.Service, now time.Time) []route.Status
	// LastReport returns the last load report of an endpoint.
	LastReport func(e id.Endpoint) (endpoints.ReceivedReport, bool)
	Requests   *RequestLog
	// Duties are the keys of the tasks that only one entry of the zone performs.
	Duties []string
}

// Service answers queries and applies commands. It is safe for concurrent use.
type Service struct {
	deps    Deps
	history history
}

func New(d Deps) *Service { return &Service{deps: d} }

// RecordSnapshot adds a configuration that came into force to the history, so that
// the reply to a lost race can list the changes since.
func (s *Service) RecordSnapshot(n *config.Snapshot) {
	for _, kind := range config.Kinds() {
		if version := n.Version(kind); version > 0 {
			s.history.add(kind, version, n.Value(kind))
		}
	}
}
