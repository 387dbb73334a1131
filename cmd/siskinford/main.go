// Command siskinford lets operators query, explain, check and change a fleet.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/operate/cli"
)

func main() { os.Exit(run(os.Args, cli.StandardStreams())) }

func run(args []string, s cli.Streams) int {
	top := flag.NewFlagSet(args[0], flag.ContinueOnError)
	c := subcommands.NewCommander(top, "siskinford")
	c.Output, c.Error = s.Out, s.Err
	c.ExplainCommand = cli.WriteHelp
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(cli.NewQuery(s), "fleet")
	c.Register(cli.NewTimeline(s), "fleet")
	c.Register(cli.NewExplain(s), "fleet")
	c.Register(&check{streams: s}, "offline")
	if err := top.Parse(args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(c.Execute(context.Background()))
}
