// Package cli implements the subcommands of the operators' program.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/operate/answer"
	"github.com/siskinford/siskinford/operate/client"
)

// Streams are the standard streams of a program.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// StandardStreams returns the standard streams of the process.
func StandardStreams() Streams { return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr} }

// remoteCommand holds the flags that all subcommands with a request to an entry share.
type remoteCommand struct {
	streams    Streams
	client     client.Config
	format     string
	requireAll bool
}

// defaultTimeout bounds the request to each entry.
const defaultTimeout = 30 * time.Second

func (a *remoteCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&a.client.Entries, "entry", "", usage("entry", "text", "", "Operator URLs of entries, separated by commas; the first reachable one is used. Required."))
	f.StringVar(&a.client.Key, "operator-key", "", usage("operator-key", "text", "", "The operator's key. Required."))
	f.DurationVar(&a.client.Timeout, "timeout", defaultTimeout, usage("timeout", "duration", "30s", "Time limit of the request to each entry."))
	f.StringVar(&a.format, "format", string(answer.Text), usage("format", "text or jsonl", "text", "Output format."))
	f.BoolVar(&a.requireAll, "all", false, usage("all", "true|false", "false", "Exit with code 6 if a process did not answer."))
}

// usage describes a flag with its environment variable, unit and default.
func usage(name, unit, defaultValue, description string) string {
	if defaultValue != "" {
		description += " Default: " + defaultValue + "."
	}
	return fmt.Sprintf("(%s, %s) %s", unit, settings.EnvName(name), description)
}

// WriteFlags prints the flags of a subcommand without their current values.
func WriteFlags(w io.Writer, f *flag.FlagSet) {
	f.VisitAll(func(x *flag.Flag) { fmt.Fprintf(w, "  --%s\n      %s\n", x.Name, x.Usage) })
}

// setFromEnvironment sets flags that are not on the command line from the environment.
func setFromEnvironment(f *flag.FlagSet) error {
	given := map[string]bool{}
	f.Visit(func(x *flag.Flag) { given[x.Name] = true })
	var all error
	f.VisitAll(func(x *flag.Flag) {
		value, ok := os.LookupEnv(settings.EnvName(x.Name))
		if !ok || given[x.Name] {
			return
		}
		if x.Value.Set(value) != nil {
			all = errors.CombineErrors(all, errors.Newf("%s: the value is malformed", settings.EnvName(x.Name)))
		}
	})
	return all
}

// validateFlags applies the environment to the flags and prints findings, if any.
func (a *remoteCommand) validateFlags(f *flag.FlagSet) bool {
	var findings finding.List
	if err := setFromEnvironment(f); err != nil {
		findings.Addf("environment", "%v", err)
	}
	findings = append(findings, a.client.Validate()...)
	if a.format != string(answer.Text) && a.format != string(answer.JSONLines) {
		findings.Addf("--format", "%q is neither text nor jsonl", a.format)
	}
	if len(findings) > 0 {
		fmt.Fprintf(a.streams.Err, "invalid settings:\n%v\n", findings)
		return false
	}
	return true
}

// send sends a request and prints the reply.
func (a *remoteCommand) send(ctx context.Context, q answer.Request) subcommands.ExitStatus {
	reply, err := client.New(a.client).Send(ctx, q)
	if err != nil {
		return a.reportError(err, !q.DryRun)
	}
	if err := a.writeReply(reply); err != nil {
		return a.reportError(err, false)
	}
	return a.exitStatus(reply)
}

// reportError prints an error. Once a command was sent, its outcome is unknown.
func (a *remoteCommand) reportError(err error, sent bool) subcommands.ExitStatus {
	fmt.Fprintln(a.streams.Err, err)
	var unreachable *client.UnreachableError
	if sent && !errors.As(err, &unreachable) {
		return process.ExitUnknownOutcome
	}
	return process.ExitFailure
}

func (a *remoteCommand) writeReply(r *answer.Reply) error {
	w := a.streams.Out
	if len(r.Findings) > 0 || r.Error != "" {
		w = a.streams.Err
	}
	return r.Write(w, answer.Format(a.format))
}

// exitStatus returns the exit code for a reply.
func (a *remoteCommand) exitStatus(r *answer.Reply) subcommands.ExitStatus {
	switch {
	case len(r.Findings) > 0:
		return process.ExitUsage
	case r.Plan != nil && r.Plan.State == answer.LostRace:
		return process.ExitConflict
	case r.Plan != nil && r.Plan.State == answer.OutcomeUnknown:
		return process.ExitUnknownOutcome
	case r.Error != "":
		return process.ExitFailure
	case a.requireAll && incomplete(r):
		return process.ExitIncomplete
	}
	return process.ExitOK
}

func incomplete(r *answer.Reply) bool {
	for _, x := range r.Answers {
		if len(x.Missing) > 0 || x.Truncated {
			return true
		}
	}
	return false
}

// quoteName returns a name as a string literal of the language.
func quoteName(name string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(name) + `"`
}

// WriteHelp prints the usage and flags of a subcommand.
func WriteHelp(w io.Writer, c subcommands.Command) {
	fmt.Fprint(w, c.Usage())
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(f)
	WriteFlags(w, f)
}
