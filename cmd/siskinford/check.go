package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/cmd/internal/programs"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/operate/cli"
	"github.com/siskinford/siskinford/operate/lang"
)

// check is the subcommand that validates settings and files without a fleet.
type check struct {
	streams cli.Streams
	files   [3]string // in order of config.Kinds
	script  string
}

// Name implements subcommands.Command.
func (*check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*check) Synopsis() string { return "validate settings, configuration files and scripts" }

// Usage implements subcommands.Command.
func (*check) Usage() string {
	return `check [--services FILE] [--teams FILE] [--endpoints FILE] [--script FILE] [entry|agent [SETTINGS]]
  check entry --host=entry-0 --zone=lima-a validates the settings of siskinford-entry from
  the given flags and the environment. Files hold JSON as the platform stores it.
`
}

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) {
	for i, kind := range config.Kinds() {
		f.StringVar(&c.files[i], string(kind), "", fmt.Sprintf("(text) File with the %s as JSON.", kind))
	}
	f.StringVar(&c.script, "script", "", "(text) File with queries or commands.")
}

// Execute implements subcommands.Command.
func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	findings, err := c.check(f.Args())
	if errors.Is(err, flag.ErrHelp) {
		return process.ExitOK
	}
	for _, x := range findings {
		fmt.Fprintln(c.streams.Err, x)
	}
	if err != nil {
		fmt.Fprintln(c.streams.Err, err)
	}
	if err != nil || len(findings) > 0 {
		return process.ExitUsage
	}
	fmt.Fprintln(c.streams.Out, "ok")
	return process.ExitOK
}

// check returns all findings. The error tells why something could not be checked.
func (c *check) check(args []string) (finding.List, error) {
	findings, err := c.checkFiles()
	if c.script != "" {
		data, readErr := os.ReadFile(c.script)
		err = errors.Join(err, readErr)
		_, l := lang.Parse(string(data))
		findings.Merge(c.script+": ", l)
	}
	if len(args) == 0 {
		if c.script == "" && c.files == [3]string{} {
			return nil, errors.New("nothing to check is given")
		}
		return findings, err
	}
	p, ok := map[string]programs.Program{"entry": programs.NewEntry(), "agent": programs.NewAgent()}[args[0]]
	if !ok {
		return findings, errors.Join(err, fmt.Errorf("program %q is neither entry nor agent", args[0]))
	}
	l, helpErr := process.CheckSettings(p.Set(), args[1:], p.Validate, c.streams.Out)
	return append(findings, l...), errors.Join(err, helpErr)
}

func (c *check) checkFiles() (finding.List, error) {
	var sources []config.Source
	var all error
	for i, kind := range config.Kinds() {
		if c.files[i] == "" {
			continue
		}
		data, err := os.ReadFile(c.files[i])
		if err != nil {
			all = errors.Join(all, err)
			continue
		}
		sources = append(sources, config.Source{Kind: kind, Place: c.files[i], Value: data})
	}
	return config.Check(sources), all
}
