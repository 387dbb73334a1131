// Package fleet runs entries, agents and simulated back ends and platform in one
// process on loopback.
package fleet

import (
	"fmt"
	"time"

	agentserver "github.com/siskinford/siskinford/agent/server"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/server"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/lab/engine"
	"github.com/siskinford/siskinford/lab/plainservice"
	"github.com/siskinford/siskinford/lab/platform"
)

// Service configures one service of the fleet.
type Service struct {
	config.Service
	// Replicas is the number of endpoints, assigned to the zones round-robin.
	Replicas int
}

// Team is a team with its API key in plain text.
type Team struct {
	config.Team
	Key string
}

// Config configures a fleet.
type Config struct {
	Region   id.Region
	Zones    []id.Zone
	Entries  int
	Services []Service
	Teams    []Team
	// Entry and Agent apply to all entries and agents.
	Entry  server.Config
	Agent  agentserver.Config
	Engine engine.Config
	Plain  plainservice.Config
	// Platform configures the simulated platform.
	Platform platform.Config
}

// DemoKey is the API key of the team in the demonstration fleet.
const DemoKey = "demo-key-puno"

// DemoOperatorKey is the operator's key in the demonstration fleet.
const DemoOperatorKey = "demo-operator-key"

// BaulAndino returns the demonstration fleet: 3 zones, 4 entry hosts, 16 model
// replicas and 3 plain replicas.
func BaulAndino() Config {
	entry := server.DefaultConfig()
	entry.CallerListen = "127.0.0.1:0"
	entry.OperatorListen = "127.0.0.1:0"
	entry.PeerListen = "127.0.0.1:0"
	entry.Operator.KeyHashes = "demo=" + config.HashKey(DemoOperatorKey)
	return Config{
		Region:  "lima",
		Zones:   []id.Zone{"lima-a", "lima-b", "lima-c"},
		Entries: 4,
		Services: []Service{
			{Replicas: 16, Service: config.Service{
				Name: "asistente", Type: config.ServiceTypeModel, Model: "asistente-1", DeadlineMS: 5000, Idempotent: true,
			}},
			{Replicas: 3, Service: config.Service{
				Name: "mostrador", Type: config.ServiceTypePlain, DeadlineMS: 5000,
			}},
		},
		Teams:  []Team{{Team: config.Team{Name: "puno"}, Key: DemoKey}},
		Entry:  entry,
		Agent:  agentserver.DefaultConfig(),
		Engine: engine.Config{StepTime: 5 * time.Millisecond},
	}
}

// endpointName returns the name of the i-th replica of a service.
func endpointName(s id.Service, i int) id.Endpoint {
	return id.Endpoint(fmt.Sprintf("%s-%02d", s, i))
}
