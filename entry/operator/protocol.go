// Package operator answers the questions and commands of operators at an entry.
// It gathers what the other entries and the agents know.
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

// ask is a question of one entry to another.
type ask struct {
	// Kind asks for the rows of a kind.
	Kind lang.Kind `cbor:"1,keyasint,omitempty"`
	// Events asks for events of the time line.
	Events *msg.EventsOrder `cbor:"2,keyasint,omitempty"`
	// Request asks for what is known of one request.
	Request id.Request `cbor:"3,keyasint,omitempty"`
	// Zone asks the receiver to gather from all processes of its zone.
	Zone bool `cbor:"4,keyasint,omitempty"`
	// Agents asks the receiver to gather the events of the agents of these endpoints.
	Agents []id.Endpoint `cbor:"5,keyasint,omitempty"`
}

// told answers an ask.
type told struct {
	Processes  []string         `cbor:"1,keyasint,omitempty"`
	Missing    []answer.Missing `cbor:"2,keyasint,omitempty"`
	Rows       *table.Table     `cbor:"3,keyasint,omitempty"`
	Events     []timeline.Event `cbor:"4,keyasint,omitempty"`
	Truncated  bool             `cbor:"5,keyasint,omitempty"`
	Candidates *table.Table     `cbor:"6,keyasint,omitempty"`
	// Unreached are the endpoints in Agents whose agent did not answer.
	Unreached []id.Endpoint `cbor:"7,keyasint,omitempty"`
}

// Members is what a Service needs to know of the other entries. It is
// implemented by *member.Runner.
type Members interface {
	Self() member.Peer
	Members() []member.Peer
	Live() []member.Peer
	Zones() []member.Zone
	Elsewhere() []member.Peer
}

// Agents asks agents for their events. Events blocks until the agent answers
// or ctx ends.
type Agents interface {
	Events(ctx context.Context, e id.Endpoint, o *msg.EventsOrder) (*msg.Events, error)
}

// Deps are the parts that a Service works with.
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
	// Status returns what the routing table knows of the endpoints of a service.
	Status func(s id.Service, now time.Time) []route.Status
	// LastReport returns the last load report of an endpoint.
	LastReport func(e id.Endpoint) (endpoints.ReceivedReport, bool)
	Requests   *RequestLog
	// Duties are the keys of the zone's duties.
	Duties []string
}

// Service answers operators. It is safe for concurrent use.
type Service struct {
	deps    Deps
	history history
}

// New returns a Service.
func New(d Deps) *Service { return &Service{deps: d} }

// RecordSnapshot notes a configuration that came into force, so that a later race can
// tell what was changed since.
func (s *Service) RecordSnapshot(n *config.Snapshot) {
	for _, kind := range config.Kinds() {
		if version := n.Version(kind); version > 0 {
			s.history.add(kind, version, n.Value(kind))
		}
	}
}
