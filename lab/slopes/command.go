package slopes

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
)

// Command is the subcommand that prints measured slopes as JSON.
type Command struct {
	config Config
	nodes  string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "slopes" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure how control cost grows with the fleet" }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "slopes [--nodes 10,50,200] [--seed n]\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	c.config = Default()
	f.StringVar(&c.nodes, "nodes", "10,50,200", "numbers of entries, separated by commas")
	f.Uint64Var(&c.config.Seed, "seed", c.config.Seed, "seed of lost messages, probes and jitter")
	f.IntVar(&c.config.Changes, "changes", c.config.Changes, "configuration changes of each run")
	f.IntVar(&c.config.Rounds, "rounds", c.config.Rounds, "rounds of each fault")
	f.Float64Var(&c.config.Loss, "loss", c.config.Loss, "share of messages lost in each direction")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.config.Nodes = nil
	for text := range strings.SplitSeq(c.nodes, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			fmt.Fprintf(os.Stderr, "nodes %q is not a list of numbers\n", c.nodes)
			return subcommands.ExitUsageError
		}
		c.config.Nodes = append(c.config.Nodes, n)
	}
	result, err := Run(ctx, c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
