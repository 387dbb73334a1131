package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/operate/answer"
)

// Timeline is the subcommand that shows the events of all processes.
type Timeline struct {
	remoteCommand
	since                   time.Duration
	request, endpoint, kind string
	limit                   int
}

// NewTimeline returns the subcommand.
func NewTimeline(s Streams) *Timeline { return &Timeline{remoteCommand: remoteCommand{streams: s}} }

// Name implements subcommands.Command.
func (*Timeline) Name() string { return "timeline" }

// Synopsis implements subcommands.Command.
func (*Timeline) Synopsis() string { return "show the events of all processes in causal order" }

// Usage implements subcommands.Command.
func (*Timeline) Usage() string {
	return "timeline --since 5m [--request ID] [--endpoint ID] [--kind K]\n"
}

// SetFlags implements subcommands.Command.
func (c *Timeline) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.DurationVar(&c.since, "since", 5*time.Minute, usage("since", "duration", "5m", "Age of the oldest event."))
	f.StringVar(&c.request, "request", "", usage("request", "text", "", "Only events of this request."))
	f.StringVar(&c.endpoint, "endpoint", "", usage("endpoint", "text", "", "Only events of this endpoint."))
	f.StringVar(&c.kind, "kind", "", usage("kind", "text", "", "Only events of this kind, such as request.dispatched."))
	f.IntVar(&c.limit, "limit", 0, usage("limit", "events", "0", "Newest events of each answer; 0 means as many as fit."))
}

// Execute implements subcommands.Command.
func (c *Timeline) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.validateFlags(f) {
		return process.ExitUsage
	}
	statement := fmt.Sprintf("timeline since %q", c.since.String())
	for _, o := range []struct{ name, value string }{{"request", c.request}, {"endpoint", c.endpoint}, {"kind", c.kind}} {
		if o.value != "" {
			statement += fmt.Sprintf(" %s %s", o.name, quoteName(o.value))
		}
	}
	if c.limit > 0 {
		statement += fmt.Sprintf(" limit %d", c.limit)
	}
	return c.send(ctx, answer.Request{Script: statement, DryRun: true})
}

// Explain is the subcommand that explains the outcome of a request or the state of an endpoint.
type Explain struct {
	remoteCommand
	logs string
}

// NewExplain returns the subcommand.
func NewExplain(s Streams) *Explain { return &Explain{remoteCommand: remoteCommand{streams: s}} }

// Name implements subcommands.Command.
func (*Explain) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*Explain) Synopsis() string { return "explain a request's outcome or an endpoint's state" }

// Usage implements subcommands.Command.
func (*Explain) Usage() string {
	return "explain [flags] request|endpoint ID\n" +
		"explain --logs FILE,... request ID\n" +
		"  With --logs, reads the collected logs of processes instead of querying an entry; - is standard input.\n"
}

// SetFlags implements subcommands.Command.
func (c *Explain) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.logs, "logs", "", usage("logs", "text", "", "Collected logs of processes, separated by commas."))
}

// Execute implements subcommands.Command.
func (c *Explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.logs != "" {
		return c.explainFromLogs(f)
	}
	if !c.validateFlags(f) {
		return process.ExitUsage
	}
	if f.NArg() != 2 {
		fmt.Fprint(c.streams.Err, c.Usage())
		return process.ExitUsage
	}
	return c.send(ctx, answer.Request{Script: fmt.Sprintf("explain %s %s", f.Arg(0), quoteName(f.Arg(1))), DryRun: true})
}
