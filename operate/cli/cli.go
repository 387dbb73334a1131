// Package cli holds the subcommands of the operators' program.
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

// Streams are the standard streams of the program.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Standard returns the streams of the process.
func Standard() Streams { return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr} }

// asker holds the flags of all subcommands that ask an entry.
type asker struct {
	streams Streams
	client  client.Config
	format  string
	all     bool
}

// defaultTimeout bounds one question.
const defaultTimeout = 30 * time.Second

func (a *asker) setFlags(f *flag.FlagSet) {
	f.StringVar(&a.client.Entries, "entry", "", usage("entry", "text", "", "Operator URLs of entries, separated by commas; the first that can be reached is asked. Required."))
	f.StringVar(&a.client.Key, "operator-key", "", usage("operator-key", "text", "", "The operator's key. Required."))
	f.DurationVar(&a.client.Timeout, "timeout", defaultTimeout, usage("timeout", "duration", "30s", "Bound of one question."))
	f.StringVar(&a.format, "format", string(answer.Text), usage("format", "text or jsonl", "text", "Form of the output."))
	f.BoolVar(&a.all, "all", false, usage("all", "true|false", "false", "Exit with code 6 if a process did not answer."))
}

// usage describes a flag with its environment variable, unit and default.
func usage(name, unit, fallback, sentence string) string {
	if fallback != "" {
		sentence += " Default: " + fallback + "."
	}
	return fmt.Sprintf("(%s, %s) %s", unit, settings.EnvName(name), sentence)
}

// WriteFlags prints the flags of a subcommand without the values given to them.
func WriteFlags(w io.Writer, f *flag.FlagSet) {
	f.VisitAll(func(x *flag.Flag) { fmt.Fprintf(w, "  --%s\n      %s\n", x.Name, x.Usage) })
}

// fromEnvironment sets the flags that were not given from the environment.
func fromEnvironment(f *flag.FlagSet) error {
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

// ready completes the flags and reports all that is wrong with them.
func (a *asker) ready(f *flag.FlagSet) bool {
	var findings finding.List
	if err := fromEnvironment(f); err != nil {
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

// ask asks one question and writes the answer.
func (a *asker) ask(ctx context.Context, q answer.Question) subcommands.ExitStatus {
	reply, err := client.New(a.client).Ask(ctx, q)
	if err != nil {
		return a.failed(err, !q.DryRun)
	}
	if err := a.write(reply); err != nil {
		return a.failed(err, false)
	}
	return a.status(reply)
}

// failed reports an error. After a command was sent its outcome is not known.
func (a *asker) failed(err error, sent bool) subcommands.ExitStatus {
	fmt.Fprintln(a.streams.Err, err)
	var unreachable *client.UnreachableError
	if sent && !errors.As(err, &unreachable) {
		return process.ExitUnknownOutcome
	}
	return process.ExitFailure
}

func (a *asker) write(r *answer.Reply) error {
	w := a.streams.Out
	if len(r.Findings) > 0 || r.Error != "" {
		w = a.streams.Err
	}
	return r.Write(w, answer.Format(a.format))
}

// status returns the exit code for a reply.
func (a *asker) status(r *answer.Reply) subcommands.ExitStatus {
	switch {
	case len(r.Findings) > 0:
		return process.ExitUsage
	case r.Plan != nil && r.Plan.State == answer.LostRace:
		return process.ExitConflict
	case r.Plan != nil && r.Plan.State == answer.OutcomeUnknown:
		return process.ExitUnknownOutcome
	case r.Error != "":
		return process.ExitFailure
	case a.all && incomplete(r):
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

// quoteName writes a name as a literal of the language.
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
