// Command siskinford-agent is the only way to the model engine or plain service
// on its host.
package main

import (
	"io"
	"os"
	"time"

	"github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/agent/gate"
	"github.com/siskinford/siskinford/agent/plain"
	"github.com/siskinford/siskinford/agent/ranklink"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/wire/keys"
)

const program = "siskinford-agent"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// options are all settings of the program.
type options struct {
	gate     gate.Config
	keys     keys.Config
	ranks    ranklink.Config
	engine   string
	plain    string
	shutdown time.Duration
	events   int
	debug    bool
}

func run(args []string, stdout, stderr io.Writer) int {
	o := options{gate: gate.DefaultConfig(), ranks: ranklink.DefaultConfig(), shutdown: 30 * time.Second, events: 20_000}
	set := settings.New(program)
	o.gate.Register(set)
	o.keys.Register(set)
	o.ranks.Register(set)
	set.String(&o.engine, "engine-url", "Base URL of the model engine on this host")
	set.String(&o.plain, "plain-url", "Base URL of the plain service on this host")
	set.Duration(&o.shutdown, "shutdown-timeout", "Time for requests in flight at shutdown")
	set.Int(&o.events, "events", "events", "Events that the time line keeps")
	set.Bool(&o.debug, "debug", "Log debug messages")
	if code, ok := process.ParseSettings(set, args, o.validate, stdout, stderr); !ok {
		return code
	}
	log := process.NewLog(stderr, program, string(o.gate.Host), o.debug)
	agent, err := o.build(gate.Deps{
		Ring: timeline.NewRing(string(o.gate.Host), o.events, timeline.NewClock(time.Now)),
		Log:  log,
	})
	if err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("start failed")
		return process.ExitFailure
	}
	return process.Run(agent, log, o.shutdown)
}

func (o *options) validate() finding.List {
	l := o.gate.Validate()
	l.Merge("", o.keys.Validate())
	l.Merge("", o.ranks.Validate())
	if (o.engine == "") == (o.plain == "") {
		l.Addf("engine-url", "exactly one of --engine-url and --plain-url must be set")
	}
	if o.events <= 0 {
		l.Addf("events", "%d is not positive", o.events)
	}
	return l
}

func (o *options) build(d gate.Deps) (*gate.Agent, error) {
	ring, err := keys.New(o.keys)
	if err != nil {
		return nil, err
	}
	d.Keys = ring
	if o.engine != "" {
		d.Engine, err = engine.NewHTTP(engine.Config{URL: o.engine})
	} else {
		d.Plain, err = plain.New(plain.Config{URL: o.plain})
	}
	if err != nil {
		return nil, err
	}
	if o.ranks.Group != "" {
		d.Incarnation = id.NewIncarnation()
		d.Ranks, err = ranklink.Open(o.ranks, d.Incarnation, timeline.Logged{Ring: d.Ring, Log: d.Log})
	}
	if err != nil {
		return nil, err
	}
	return gate.New(o.gate, d)
}
