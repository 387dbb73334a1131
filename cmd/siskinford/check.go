package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/cmd/internal/platformflags"
	"github.com/siskinford/siskinford/cmd/internal/programs"
	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/operate/cli"
	"github.com/siskinford/siskinford/operate/lang"
	"github.com/siskinford/siskinford/platform/catalog"
	"github.com/siskinford/siskinford/platform/deploy"
	"github.com/siskinford/siskinford/platform/settings"
)

// check is the subcommand that validates settings and files without a fleet.
type check struct {
	streams cli.Streams
	files   [3]string // in order of config.Kinds
	script  string
	// deploy, settings and config are files in the formats of the platform.
	deploy, settings, config string
}

// Name implements subcommands.Command.
func (*check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*check) Synopsis() string { return "validate settings, configuration files and scripts" }

// Usage implements subcommands.Command.
func (*check) Usage() string {
	return `check [--services FILE] [--teams FILE] [--endpoints FILE] [--script FILE] [entry|agent|platform [SETTINGS]]
check [--deploy FILE] [--platform-settings FILE] [--platform-config FILE] [platform [SETTINGS]]
  check entry --host=entry-0 --zone=zone-a validates the settings of siskinford-entry from
  the given flags and the environment, check platform those of siskinford-platform. Files
  hold JSON as the platform stores it, the deployment file TOML.
`
}

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) {
	for i, kind := range config.Kinds() {
		f.StringVar(&c.files[i], string(kind), "", fmt.Sprintf("(text) File with the %s as JSON.", kind))
	}
	f.StringVar(&c.deploy, "deploy", "", "(text) Deployment file of the platform.")
	f.StringVar(&c.settings, "platform-settings", "", "(text) Settings file that the platform gives to a process.")
	f.StringVar(&c.config, "platform-config", "", "(text) The operators' configuration on the platform.")
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

// check returns all findings. The error reports unreadable files and unknown programs.
func (c *check) check(args []string) (finding.List, error) {
	findings, err := c.checkFiles()
	if c.script != "" {
		data, readErr := os.ReadFile(c.script)
		err = errors.Join(err, readErr)
		_, l := lang.Parse(string(data))
		findings.Merge(c.script+": ", l)
	}
	l, platformErr := c.checkPlatform()
	findings, err = append(findings, l...), errors.Join(err, platformErr)
	if len(args) == 0 {
		if c.hasNoFiles() {
			return nil, errors.New("no file or program to check")
		}
		return findings, err
	}
	p, ok := map[string]programs.Settings{
		"entry": programs.NewEntry(), "agent": programs.NewAgent(), "platform": platformflags.New(),
	}[args[0]]
	if !ok {
		return findings, errors.Join(err, fmt.Errorf("program %q is none of entry, agent and platform", args[0]))
	}
	l, helpErr := process.CheckSettings(p.Set(), args[1:], p.Validate, c.streams.Out)
	return append(findings, l...), errors.Join(err, helpErr)
}

func (c *check) hasNoFiles() bool {
	return c.script == "" && c.files == [3]string{} && c.deploy == "" && c.settings == "" && c.config == ""
}

// checkPlatform checks the files in the formats of the platform.
func (c *check) checkPlatform() (finding.List, error) {
	var (
		findings finding.List
		all      error
	)
	for _, f := range []struct {
		name  string
		check func([]byte) error
	}{
		{c.deploy, func(data []byte) error { return deploy.Check(string(data)).Err() }},
		{c.settings, func(data []byte) error { _, err := settings.Parse(data); return err }},
		{c.config, checkConfig},
	} {
		if f.name == "" {
			continue
		}
		data, err := os.ReadFile(f.name)
		if err != nil {
			all = errors.Join(all, err)
			continue
		}
		err = f.check(data)
		var list finding.List
		switch {
		case errors.As(err, &list):
			findings.Merge(f.name+": ", list)
		case err != nil:
			findings.Addf(f.name, "%v", err)
		}
	}
	return findings, all
}

func checkConfig(data []byte) error {
	c, err := catalog.DecodeConfig(data)
	if err != nil {
		return err
	}
	_, err = routes.NewTable(c)
	return err
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
