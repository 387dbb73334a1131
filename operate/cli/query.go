package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/client"
	"github.com/siskinford/siskinford/operate/lang"
)

// Query is the subcommand that runs queries and commands.
type Query struct {
	remoteCommand
	file        string
	dryRun      bool
	seenVersion uint64
}

// NewQuery returns the subcommand.
func NewQuery(s Streams) *Query { return &Query{remoteCommand: remoteCommand{streams: s}} }

// Name implements subcommands.Command.
func (*Query) Name() string { return "query" }

// Synopsis implements subcommands.Command.
func (*Query) Synopsis() string { return "run queries, or commands that change a configuration" }

// Usage implements subcommands.Command.
func (*Query) Usage() string {
	return `query [flags] [STATEMENT]
  Without a STATEMENT, reads --file or the standard input.
  endpoints where zone = lima-a and queue > 4 order by queue desc limit 10
  drain endpoint NAME; set endpoint NAME weight 0.5
`
}

// SetFlags implements subcommands.Command.
func (c *Query) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.file, "file", "", usage("file", "text", "", "File with the statements; - means the standard input."))
	f.BoolVar(&c.dryRun, "dry-run", false, usage("dry-run", "true|false", "false", "Show what commands would change."))
	f.Uint64Var(&c.seenVersion, "seen", 0, usage("seen", "version", "0", "Version of the configuration that the commands are based on; 0 means the current one."))
}

// Execute implements subcommands.Command.
func (c *Query) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.validateFlags(f) {
		return process.ExitUsage
	}
	script, err := c.script(f.Args())
	if err != nil {
		fmt.Fprintln(c.streams.Err, err)
		return process.ExitUsage
	}
	return c.run(ctx, script)
}

func (c *Query) script(args []string) (string, error) {
	if len(args) > 0 {
		return strings.Join(args, " "), nil
	}
	in := c.streams.In
	if c.file != "" && c.file != "-" {
		file, err := os.Open(c.file)
		if err != nil {
			return "", err
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, lang.MaxScriptBytes+1))
	return string(data), err
}

// run sends a dry run first, then applies commands to the version that the dry run
// was based on.
func (c *Query) run(ctx context.Context, script string) subcommands.ExitStatus {
	q := answer.Request{Script: script, DryRun: true, SeenVersion: c.seenVersion}
	reply, err := client.New(c.client).Send(ctx, q)
	if err != nil {
		return c.reportError(err, false)
	}
	if c.dryRun || reply.Plan == nil || reply.Plan.State != answer.DryRun {
		if err := c.writeReply(reply); err != nil {
			return c.reportError(err, false)
		}
		return c.exitStatus(reply)
	}
	c.printChanges(reply.Plan)
	return c.apply(ctx, answer.Request{Script: script, SeenVersion: reply.Plan.SeenVersion})
}

// printChanges prints the planned changes.
func (c *Query) printChanges(p *answer.Plan) {
	if c.format != string(answer.Text) {
		return
	}
	for _, x := range p.Changes {
		fmt.Fprintln(c.streams.Out, x)
	}
}

func (c *Query) apply(ctx context.Context, q answer.Request) subcommands.ExitStatus {
	reply, err := client.New(c.client).Send(ctx, q)
	if err != nil {
		return c.reportError(err, true)
	}
	if c.format == string(answer.Text) && reply.Plan != nil {
		reply.Plan.Changes = nil // Already printed.
	}
	if err := c.writeReply(reply); err != nil {
		return c.reportError(err, false)
	}
	return c.exitStatus(reply)
}
