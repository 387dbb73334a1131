// Command siskinford-entry serves callers and routes their requests to endpoints.
package main

import (
	"io"
	"os"
	"time"

	"github.com/siskinford/siskinford/cmd/internal/programs"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/entry/server"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/wire/keys"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	p := programs.NewEntry()
	if code, ok := process.ParseSettings(p.Set(), args, p.Validate, stdout, stderr); !ok {
		return code
	}
	host := string(p.Server.Host)
	log := process.NewLog(stderr, programs.EntryName, host, p.Debug)
	s, err := build(p, server.Deps{Ring: timeline.NewRing(host, p.Server.Events, timeline.NewClock(time.Now)), Log: log})
	if err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("start failed")
		return process.ExitFailure
	}
	return process.Run(s, log, p.Shutdown)
}

func build(p *programs.Entry, d server.Deps) (*server.Server, error) {
	credentials, err := keys.New(p.Keys)
	if err != nil {
		return nil, err
	}
	store, err := objectapi.NewClient(p.Platform())
	if err != nil {
		return nil, err
	}
	d.Keys = credentials
	d.Store = store
	return server.New(p.Server, d)
}
