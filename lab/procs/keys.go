package procs

import (
	"context"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/wire/keys"
)

// keyFileMode is the permission of files with private keys.
const keyFileMode = 0o600

// identity is the role and host of one process.
type identity struct {
	role keys.Role
	host id.Host
}

// keyFile returns the file of an identity's certificate, key or authority.
func (c *Cluster) keyFile(i identity, name string) string {
	return filepath.Join(c.options.KeyDir, string(i.role)+"-"+string(i.host)+"."+name)
}

// keyEnv issues a TLS certificate and returns the environment variables that hold it
// as PEM or, if Options.KeyDir is set, name its files.
func (c *Cluster) keyEnv(role keys.Role, host id.Host) ([]string, error) {
	material, err := c.authority.Issue(role, host, certValidity)
	if err != nil {
		return nil, err
	}
	if c.options.KeyDir != "" {
		i := identity{role: role, host: host}
		c.identities = append(c.identities, i)
		if err := c.writeKeys(i, material); err != nil {
			return nil, err
		}
		material = keys.Config{Certificate: c.keyFile(i, "crt"), Key: c.keyFile(i, "key"), Authority: c.keyFile(i, "authority")}
	}
	return []string{
		settings.EnvName("tls-certificate") + "=" + material.Certificate,
		settings.EnvName("tls-key") + "=" + material.Key,
		settings.EnvName("tls-authority") + "=" + material.Authority,
	}, nil
}

func (c *Cluster) writeKeys(i identity, m keys.Config) error {
	for name, text := range map[string]string{"crt": m.Certificate, "key": m.Key, "authority": m.Authority} {
		if err := os.WriteFile(c.keyFile(i, name), []byte(text), keyFileMode); err != nil {
			return errors.Wrapf(err, "write keys of %q", i.host)
		}
	}
	return nil
}

// WriteKeys writes new certificates for all processes, signed by issuer and with the
// trusted authorities as trust bundle. It is one step of a rotation.
func (c *Cluster) WriteKeys(issuer *keys.Authority, trusted ...*keys.Authority) error {
	bundle := ""
	for _, a := range trusted {
		bundle += a.PEM()
	}
	for _, i := range c.identities {
		material, err := issuer.Issue(i.role, i.host, certValidity)
		if err != nil {
			return err
		}
		material.Authority = bundle
		if err := c.writeKeys(i, material); err != nil {
			return err
		}
	}
	return nil
}

// Authority returns the authority that signed the initial certificates.
func (c *Cluster) Authority() *keys.Authority { return c.authority }

// ReloadKeys makes all processes reload their keys by SIGHUP and waits until each has
// logged the given event count times since its start.
func (c *Cluster) ReloadKeys(ctx context.Context, event string, count int) error {
	var all []*Process
	for _, e := range c.Entries {
		all = append(all, e.Process)
	}
	for _, e := range c.Endpoints {
		all = append(all, e.Agent)
	}
	for _, p := range all {
		p.Signal(syscall.SIGHUP)
	}
	for _, p := range all {
		if err := p.AwaitEvents(ctx, event, count); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) KeyDir() string { return c.options.KeyDir }

// ReloadKeys makes the entry reload its keys by SIGHUP.
func (e *Entry) ReloadKeys() { e.Process.Signal(syscall.SIGHUP) }

// ReloadKeys makes the agent reload its keys by SIGHUP.
func (e *Endpoint) ReloadKeys() { e.Agent.Signal(syscall.SIGHUP) }
