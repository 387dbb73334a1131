package sitelab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/lab/procs"
	"github.com/siskinford/siskinford/lab/soak"
	"github.com/siskinford/siskinford/platform/standin"
)

// Soak is the soak subcommand.
type Soak struct {
	seeds, parallel, processes int
	firstSeed                  uint64
	minutes                    float64
	length                     time.Duration
	only, dir, network         string
}

// Name implements subcommands.Command.
func (*Soak) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*Soak) Synopsis() string {
	return "run entries and relays under random faults and check the promises"
}

// Usage implements subcommands.Command.
func (*Soak) Usage() string {
	return "soak [--seed n] [--seeds n | --minutes m] [--processes n] [--parallel n] [--only fault,...] [--dir reports]\n" +
		"  A seed gives the same faults at the same times. Each broken promise is reported with the merged logs around it.\n" +
		"  Exit status 1 means that a promise was broken.\n"
}

// SetFlags implements subcommands.Command.
func (c *Soak) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.firstSeed, "seed", 0, "first seed; 0 derives one from the time")
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds in a row")
	f.Float64Var(&c.minutes, "minutes", 0, "run seeds for this time instead of a fixed number")
	f.IntVar(&c.parallel, "parallel", 1, "number of seeds that run at the same time")
	f.IntVar(&c.processes, "processes", defaultProcesses, "number of processes of a site, a third of them entries")
	f.DurationVar(&c.length, "length", soak.DefaultLoadDuration, "duration of the load of a seed")
	f.StringVar(&c.only, "only", "", "kinds of faults to inject, separated by commas; empty for all")
	f.StringVar(&c.dir, "dir", "soak-reports", "directory of the reports")
	f.StringVar(&c.network, "network", "127.88", "first two octets of the addresses")
}

const (
	defaultProcesses = 9
	// minProcesses allows two entries and four ranks.
	minProcesses   = 6
	plainEndpoints = 3
	zones          = 2
)

// Execute implements subcommands.Command.
func (c *Soak) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	broken, err := c.run(ctx, os.Stdout)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	case broken > 0:
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Soak) run(ctx context.Context, out io.Writer) (broken int, err error) {
	if c.processes < minProcesses {
		return 0, fmt.Errorf("--processes: %d is less than %d", c.processes, minProcesses)
	}
	if c.firstSeed == 0 {
		c.firstSeed = uint64(time.Now().UnixMilli())
	}
	dir, err := os.MkdirTemp("", "siskinford-soak")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Fprintln(out, "building the programs")
	programs, err := procs.Build(dir, false)
	if err != nil {
		return 0, err
	}
	o := soak.Options{Parallel: c.parallel, LoadDuration: c.length, Dir: c.dir, Out: out, Shape: c.shape(), Open: c.siteOpener(dir, programs)}
	if c.only != "" {
		o.Only = strings.Split(c.only, ",")
	}
	end := time.Now().Add(time.Duration(c.minutes * float64(time.Minute)))
	completed := 0
	for seed := c.firstSeed; ; {
		batch := c.seeds
		if c.minutes > 0 {
			batch = c.parallel
		}
		o.Seeds = nil
		for range batch {
			o.Seeds = append(o.Seeds, seed)
			seed++
		}
		results, err := soak.Run(ctx, o)
		if err != nil {
			return broken, err
		}
		for _, r := range results {
			completed++
			if len(r.Violations) > 0 {
				broken++
			}
		}
		if c.minutes == 0 || time.Now().After(end) {
			fmt.Fprintf(out, "%d seeds from %d on: %d broke a promise\n", completed, c.firstSeed, broken)
			return broken, nil
		}
	}
}

func (c *Soak) shape() soak.Shape {
	entries := c.processes / 3
	return soak.Shape{Entries: entries, Ranks: c.processes - entries, Plains: plainEndpoints, Zones: zones}
}

// siteOpener returns a function that starts each site on its own network.
func (c *Soak) siteOpener(dir string, programs procs.Binaries) func(soak.Shape) (soak.Site, error) {
	var sites atomic.Int32
	return func(s soak.Shape) (soak.Site, error) {
		n := sites.Add(1)
		d := filepath.Join(dir, fmt.Sprint(n))
		if err := os.Mkdir(d, 0o755); err != nil {
			return nil, err
		}
		return standin.OpenSoakSite(fmt.Sprintf("%s.%d", c.network, n%250), d, s, programs)
	}
}
