// Command siskinford-lab runs stand-ins, a demonstration fleet and measurements.
// It is not needed in production.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/cmd/internal/sitelab"
	"github.com/siskinford/siskinford/lab/demo"
	"github.com/siskinford/siskinford/lab/load"
	"github.com/siskinford/siskinford/lab/measure"
	"github.com/siskinford/siskinford/lab/serve"
	"github.com/siskinford/siskinford/lab/slopes"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&demo.Command{}, "fleet")
	subcommands.Register(&sitelab.Command{}, "fleet")
	subcommands.Register(&sitelab.Soak{}, "fleet")
	subcommands.Register(&measure.Path{}, "measurements")
	subcommands.Register(&measure.Control{}, "measurements")
	subcommands.Register(&load.Command{}, "measurements")
	subcommands.Register(&slopes.Command{}, "measurements")
	subcommands.Register(&serve.Platform{}, "stand-ins")
	subcommands.Register(&serve.Engine{}, "stand-ins")
	subcommands.Register(&serve.Plain{}, "stand-ins")
	subcommands.Register(&serve.Ranks{}, "stand-ins")
	subcommands.Register(&serve.ReverseProxy{}, "stand-ins")
	subcommands.Register(&serve.Certs{}, "stand-ins")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
