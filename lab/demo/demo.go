// Package demo implements the subcommand that runs a whole fleet in one process, sends
// a request of each kind, prints its route and outcome, and shuts down gracefully.
package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/lab/fleet"
)

// startTimeout bounds the start of the fleet.
const startTimeout = 30 * time.Second

// Command is the demo subcommand.
type Command struct {
	keep bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run a whole fleet in one process and send it requests" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "demo [--keep]\n  Runs 4 entries, 19 agents and stand-ins on free ports of loopback.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.keep, "keep", false, "leave the fleet running until interrupted")
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
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, fleet.BaulAndino())
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "fleet: %d entries, %d agents, %d zones\n\n", len(f.Entries), len(f.Agents), len(f.Config.Zones))
	if err := Tour(ctx, f, out); err != nil {
		_ = f.Close()
		return err
	}
	if c.keep {
		printAddresses(f, out)
		awaitInterrupt()
	}
	if err := f.Close(); err != nil {
		return err
	}
	fmt.Fprintln(out, "stopped: no request was cut off")
	return nil
}

func printAddresses(f *fleet.Fleet, out io.Writer) {
	fmt.Fprintf(out, "platform   %s\n", f.PlatformURL)
	for _, e := range f.Entries {
		fmt.Fprintf(out, "%s    callers %s  operators http://%s  zone %s\n", e.Host, e.URL(), e.Server.OperatorAddress(), e.Zone)
	}
	fmt.Fprintf(out, "\nexport SISKINFORD_ENTRY=http://%s SISKINFORD_OPERATOR_KEY=%s URL=%s KEY=%s\n",
		f.Entries[0].Server.OperatorAddress(), fleet.DemoOperatorKey, f.Entries[0].URL(), fleet.DemoKey)
	url := f.Entries[0].URL()
	fmt.Fprintf(out, `
curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"asistente-1","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"a chest for Candelaria"}]}'
curl %[1]s/v1/models -H 'Authorization: Bearer %[2]s'
curl %[1]s/v1/services/mostrador/stock/devil-mask -H 'Authorization: Bearer %[2]s'
curl -X POST %[1]s/v1/services/mostrador/tickets -H 'Authorization: Bearer %[2]s'

press Ctrl-C to stop
`, url, fleet.DemoKey)
}

func awaitInterrupt() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
