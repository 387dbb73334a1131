package serve

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/lab/ranks"
)

// Ranks is the subcommand that runs the stand-in for the engines of a group of ranks.
type Ranks struct {
	listen string
	config ranks.Config
}

// Name implements subcommands.Command.
func (*Ranks) Name() string { return "ranks" }

// Synopsis implements subcommands.Command.
func (*Ranks) Synopsis() string { return "run the stand-in of the engines of a group of ranks" }

// Usage implements subcommands.Command.
func (*Ranks) Usage() string {
	return "ranks --size N [--listen ip:port] [--layers 1] [--experts 16]\n" +
		"  Serves the engine of rank I under /ranks/I and the record of all steps under /lab/steps.\n"
}

// SetFlags implements subcommands.Command.
func (c *Ranks) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", defaultListen, "TCP address")
	f.IntVar(&c.config.Size, "size", 0, "number of ranks; required")
	f.IntVar(&c.config.Layers, "layers", 1, "layers with experts")
	f.IntVar(&c.config.Experts, "experts", 16, "experts of a layer")
	f.DurationVar(&c.config.StepTime, "step-time", 5*time.Millisecond, "time of a step without tokens")
	f.DurationVar(&c.config.TokenTime, "token-time", 0, "time added to a step for each token of a rank; 0 selects the default")
	f.DurationVar(&c.config.Jitter, "jitter", 0, "maximum random delay before a rank begins a step")
	f.DurationVar(&c.config.StageTime, "stage-time", 0, "time in which a rank loads the weights of a map; 0 selects the default")
	f.Float64Var(&c.config.TokensPerLayer, "tokens", 0, "tokens of a layer in each step; 0 selects the default")
	f.DurationVar(&c.config.DriftInterval, "drift", 0, "time between changes of the experts' popularity; 0 means none")
	f.BoolVar(&c.config.Fencing, "fencing", false, "refuse orders with an old fencing token")
	f.Uint64Var(&c.config.Seed, "seed", 1, "seed of popularity and delays")
}

// Execute implements subcommands.Command.
func (c *Ranks) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config.Size < 1 || c.config.Layers < 1 || c.config.Experts < 1 {
		fmt.Fprintln(os.Stderr, "--size, --layers and --experts must be positive")
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := ranks.New(c.config)
	go g.Run(ctx)
	return serve(c.listen, g.Handler())
}
