// Command siskinford-entry serves callers and routes their requests to endpoints.
package main

import (
	"io"
	"os"
	"time"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/server"
	"github.com/siskinford/siskinford/fleet/platform"
	"github.com/siskinford/siskinford/wire/keys"
)

const program = "siskinford-entry"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// options are all settings of the program.
type options struct {
	server   server.Config
	keys     keys.Config
	platform string
	shutdown time.Duration
	debug    bool
}

func run(args []string, stdout, stderr io.Writer) int {
	o := options{server: server.DefaultConfig(), shutdown: 30 * time.Second}
	set := settings.New(program)
	o.server.Register(set)
	o.keys.Register(set)
	set.String(&o.platform, "platform-url", "Base URL of the platform's object API", settings.Required())
	set.Duration(&o.shutdown, "shutdown-timeout", "Time for requests in flight at shutdown")
	set.Bool(&o.debug, "debug", "Log debug messages")
	if code, ok := process.ParseSettings(set, args, o.validate, stdout, stderr); !ok {
		return code
	}
	log := process.NewLog(stderr, program, string(o.server.Host), o.debug)
	s, err := o.build(server.Deps{
		Ring: timeline.NewRing(string(o.server.Host), o.server.Events, timeline.NewClock(time.Now)),
		Log:  log,
	})
	if err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("start failed")
		return process.ExitFailure
	}
	return process.Run(s, log, o.shutdown)
}

func (o *options) platformConfig() platform.ClientConfig {
	return platform.ClientConfig{BaseURL: o.platform, Caller: string(o.server.Host)}
}

func (o *options) validate() finding.List {
	l := o.server.Validate()
	l.Merge("", o.keys.Validate())
	l.Merge("platform ", o.platformConfig().Validate())
	return l
}

func (o *options) build(d server.Deps) (*server.Server, error) {
	ring, err := keys.New(o.keys)
	if err != nil {
		return nil, err
	}
	store, err := platform.NewClient(o.platformConfig())
	if err != nil {
		return nil, err
	}
	d.Keys = ring
	d.Store = store
	return server.New(o.server, d)
}
