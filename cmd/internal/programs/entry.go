// Package programs holds the settings of the daemons. The main packages and the
// check subcommand share them.
package programs

import (
	"time"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/entry/server"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/wire/keys"
)

// defaultShutdown is the time for requests in flight at shutdown.
const defaultShutdown = 30 * time.Second

// Settings are the settings of a daemon.
type Settings interface {
	// Set returns the flags and environment variables to parse.
	Set() *settings.Set
	// Validate reports missing, malformed and out-of-range values.
	Validate() finding.List
}

// EntryName is the name of the entry's program.
const EntryName = "siskinford-entry"

// Entry holds all settings of siskinford-entry.
type Entry struct {
	Server server.Config
	Keys   keys.Config
	// PlatformURL is the base URL of the platform's object API. Required.
	PlatformURL string
	// Shutdown is the time for requests in flight at shutdown. Default: 30 s.
	Shutdown time.Duration
	// Debug logs debug messages. Default: false.
	Debug bool
}

// NewEntry returns the default settings.
func NewEntry() *Entry { return &Entry{Server: server.DefaultConfig(), Shutdown: defaultShutdown} }

// Set implements Settings.
func (e *Entry) Set() *settings.Set {
	set := settings.New(EntryName)
	e.Server.Register(set)
	e.Keys.Register(set)
	set.String(&e.PlatformURL, "platform-url", "Base URL of the platform's object API", settings.Required())
	set.Duration(&e.Shutdown, "shutdown-timeout", "Time for requests in flight at shutdown")
	set.Bool(&e.Debug, "debug", "Log debug messages")
	return set
}

// Platform returns the configuration of the client of the object API.
func (e *Entry) Platform() objectapi.ClientConfig {
	return objectapi.ClientConfig{BaseURL: e.PlatformURL, Caller: string(e.Server.Host)}
}

// Validate implements Settings.
func (e *Entry) Validate() finding.List {
	l := e.Server.Validate()
	l.Merge("", e.Keys.Validate())
	for _, f := range e.Platform().Validate() {
		if f.Place == "base URL" {
			l.Addf("platform-url", "%s", f.Message)
		}
	}
	return l
}
