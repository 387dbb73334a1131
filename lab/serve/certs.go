package serve

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/keys"
)

// keyFileMode is the permission of files with private keys.
const keyFileMode = 0o600

// Certs is the subcommand that creates TLS certificates and keys for development.
type Certs struct {
	dir     string
	entries int
	agents  int
	valid   time.Duration
}

// Name implements subcommands.Command.
func (*Certs) Name() string { return "certs" }

// Synopsis implements subcommands.Command.
func (*Certs) Synopsis() string { return "create certificates for development" }

// Usage implements subcommands.Command.
func (*Certs) Usage() string {
	return "certs --dir DIR [--entries N] [--agents N]\n  Writes NAME.crt, NAME.key and authority.crt for entry-0.., agent-0...\n"
}

// SetFlags implements subcommands.Command.
func (c *Certs) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "directory for the files; required")
	f.IntVar(&c.entries, "entries", 1, "number of entries")
	f.IntVar(&c.agents, "agents", 1, "number of agents")
	f.DurationVar(&c.valid, "valid", 24*time.Hour, "validity period")
}

// Execute implements subcommands.Command.
func (c *Certs) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.dir == "" {
		fmt.Fprintln(os.Stderr, "--dir is not set")
		return subcommands.ExitUsageError
	}
	if err := c.write(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Certs) write() error {
	authority, err := keys.NewAuthority(c.valid)
	if err != nil {
		return err
	}
	for i := range c.entries {
		if err := c.issue(authority, keys.RoleEntry, fmt.Sprintf("entry-%d", i)); err != nil {
			return err
		}
	}
	for i := range c.agents {
		if err := c.issue(authority, keys.RoleAgent, fmt.Sprintf("agent-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Certs) issue(a *keys.Authority, role keys.Role, name string) error {
	material, err := a.Issue(role, id.Host(name), c.valid)
	if err != nil {
		return err
	}
	for _, f := range []struct{ name, text string }{
		{name + ".crt", material.Certificate},
		{name + ".key", material.Key},
		{"authority.crt", material.Authority},
	} {
		if err := os.WriteFile(filepath.Join(c.dir, f.name), []byte(f.text), keyFileMode); err != nil {
			return err
		}
	}
	return nil
}
