// Command siskinford-agent controls all access to the model engine or plain service
// on its host.
package main

import (
	"io"
	"os"
	"time"

	"github.com/siskinford/siskinford/agent/engine"
	"github.com/siskinford/siskinford/agent/plain"
	"github.com/siskinford/siskinford/agent/ranklink"
	"github.com/siskinford/siskinford/agent/server"
	"github.com/siskinford/siskinford/cmd/internal/programs"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/wire/keys"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	p := programs.NewAgent()
	if code, ok := process.ParseSettings(p.Set(), args, p.Validate, stdout, stderr); !ok {
		return code
	}
	host := string(p.Server.Host)
	log := process.NewLog(stderr, programs.AgentName, host, p.Debug)
	agent, err := build(p, server.Deps{Ring: timeline.NewRing(host, p.Events, timeline.NewClock(time.Now)), Log: log})
	if err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("start failed")
		return process.ExitFailure
	}
	return process.Run(agent, log, p.Shutdown)
}

func build(p *programs.Agent, d server.Deps) (*server.Agent, error) {
	credentials, err := keys.New(p.Keys)
	if err != nil {
		return nil, err
	}
	d.Keys = credentials
	if p.EngineURL != "" {
		d.Engine, err = engine.NewClient(engine.Config{URL: p.EngineURL})
	} else {
		d.Plain, err = plain.New(plain.Config{URL: p.PlainURL})
	}
	if err != nil {
		return nil, err
	}
	if p.Ranks.Group != "" {
		d.Incarnation = id.NewIncarnation()
		d.Ranks, err = ranklink.Open(p.Ranks, d.Incarnation, timeline.LoggingRecorder{Ring: d.Ring, Log: d.Log})
	}
	if err != nil {
		return nil, err
	}
	return server.New(p.Server, d)
}
