package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/lab/procs"
)

// Command is the load subcommand.
type Command struct {
	scenario string
	seed     uint64
	plot     string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "compare a policy with its baseline under open-loop load" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	var b strings.Builder
	b.WriteString("load --scenario NAME [--seed N] [--plot FILE.svg]\n")
	for _, s := range Scenarios() {
		fmt.Fprintf(&b, "  %-10s %s\n", s.Name, s.Description)
	}
	return b.String()
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", "steady", "name of the scenario")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the arrivals")
	f.StringVar(&c.plot, "plot", "", "file for a plot of the service over time (SVG or PNG); empty draws none")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context, out io.Writer) error {
	scenario, err := findScenario(c.scenario)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "siskinford-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binaries, err := procs.Build(dir, false)
	if err != nil {
		return err
	}
	var results []Result
	for _, v := range scenario.Variants {
		r, err := runVariant(ctx, binaries, scenario, v, c.seed)
		if err != nil {
			return errors.Wrapf(err, "variant %q", v.Name)
		}
		results = append(results, r)
	}
	printTable(out, scenario, results)
	if err := printJSON(out, results); err != nil {
		return err
	}
	if c.plot == "" {
		return nil
	}
	return savePlot(c.plot, scenario, results)
}

func findScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, errors.Newf("scenario %q does not exist", name)
}

func printTable(w io.Writer, s Scenario, results []Result) {
	fmt.Fprintf(w, "%s: %s\n", s.Name, s.Description)
	fmt.Fprintf(w, "%-18s %-8s %7s %7s %7s %7s %7s | %24s | %24s | %8s %7s\n", "variant", "class", "sent", "good",
		"late", "refused", "unknown", "first token ms p50/95/99", "token gap ms p50/95/99", "ref. p95", "cpu s")
	for _, r := range results {
		for _, c := range append(r.Classes, r.Teams...) {
			fmt.Fprintf(w, "%-18s %-8s %7d %7d %7d %7d %7d | %7.0f %7.0f %8.0f | %7.1f %7.1f %8.1f | %8.1f %7.1f\n", r.Variant, c.Class,
				c.Requests, c.Good, c.Late, c.Refused, c.Unknown, c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99,
				c.TokenGap.P50, c.TokenGap.P95, c.TokenGap.P99, c.RefusalP95, r.ProductCPUSeconds)
		}
	}
}

func printJSON(w io.Writer, results []Result) error {
	line, err := json.Marshal(results)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", line)
	return err
}
