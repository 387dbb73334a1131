package programs

import (
	"time"

	"github.com/siskinford/siskinford/agent/ranklink"
	"github.com/siskinford/siskinford/agent/server"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/wire/keys"
)

// AgentName is the name of the agent's program.
const AgentName = "siskinford-agent"

// defaultAgentEvents is the number of events that the timeline of an agent retains.
const defaultAgentEvents = 20_000

// Agent holds all settings of siskinford-agent.
type Agent struct {
	Server server.Config
	Keys   keys.Config
	// Ranks configures the connection to the ranks of a group on this host, if any.
	Ranks ranklink.Config
	// EngineURL and PlainURL are base URLs of the backend on this host. One of them is set.
	EngineURL, PlainURL string
	// Shutdown is the time for requests in flight at shutdown. Default: 30 s.
	Shutdown time.Duration
	// Events is the number of events that the timeline retains. Default: 20,000.
	Events int
	// Debug logs debug messages. Default: false.
	Debug bool
}

// NewAgent returns the default settings.
func NewAgent() *Agent {
	return &Agent{Server: server.DefaultConfig(), Ranks: ranklink.DefaultConfig(), Shutdown: defaultShutdown, Events: defaultAgentEvents}
}

// Set implements Settings.
func (a *Agent) Set() *settings.Set {
	set := settings.New(AgentName)
	a.Server.Register(set)
	a.Keys.Register(set)
	a.Ranks.Register(set)
	set.String(&a.EngineURL, "engine-url", "Base URL of the model engine on this host")
	set.String(&a.PlainURL, "plain-url", "Base URL of the plain service on this host")
	set.Duration(&a.Shutdown, "shutdown-timeout", "Time for requests in flight at shutdown")
	set.Int(&a.Events, "events", "events", "Events that the time line keeps")
	set.Bool(&a.Debug, "debug", "Log debug messages")
	return set
}

// Validate implements Settings.
func (a *Agent) Validate() finding.List {
	l := a.Server.Validate()
	l.Merge("", a.Keys.Validate())
	l.Merge("", a.Ranks.Validate())
	if (a.EngineURL == "") == (a.PlainURL == "") {
		l.Addf("engine-url", "exactly one of --engine-url and --plain-url must be set")
	}
	if a.Events <= 0 {
		l.Addf("events", "%d is not positive", a.Events)
	}
	return l
}
