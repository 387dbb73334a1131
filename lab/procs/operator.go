package procs

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/fleet/config"
)

// Operator and OperatorKey are the name and key of the cluster's operator.
const (
	Operator    = "ana"
	OperatorKey = "cluster-operator-key"
)

// operatorKeyFlag is the flag by which entries accept the operator's key.
func operatorKeyFlag() string {
	return "--operator-key-hash=" + Operator + "=" + config.HashKey(OperatorKey)
}

// Result is the output and exit code of a program.
type Result struct {
	Stdout, Stderr string
	Code           int
}

// OperatorEnv returns the environment variables that connect the operator CLI to an entry.
func (c *Cluster) OperatorEnv(e *Entry) []string {
	return []string{
		settings.EnvName("entry") + "=" + e.OperatorURL,
		settings.EnvName("operator-key") + "=" + OperatorKey,
	}
}

// RunOperator runs the operator CLI against an entry and waits for it to exit.
func (c *Cluster) RunOperator(ctx context.Context, e *Entry, stdin string, args ...string) (Result, error) {
	cmd := exec.CommandContext(ctx, c.options.Binaries.Operator, args...)
	cmd.Env = append(os.Environ(), c.OperatorEnv(e)...)
	return RunCommand(cmd, stdin)
}

// RunCommand runs a command until it exits. A nonzero exit code is not an error.
func RunCommand(cmd *exec.Cmd, stdin string) (Result, error) {
	var stdout, stderr bytes.Buffer
	cmd.Stdin = strings.NewReader(stdin)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	r := Result{Stdout: stdout.String(), Stderr: stderr.String(), Code: cmd.ProcessState.ExitCode()}
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return r, errors.Wrapf(err, "run %s", cmd.Path)
	}
	return r, nil
}

// Secrets returns strings that must not appear in any output: the keys of the team
// and of the operator, and the lines of all private TLS keys passed in the environment.
func (c *Cluster) Secrets() []string {
	out := []string{TeamKey, OperatorKey}
	var env []string
	for _, e := range c.Entries {
		env = append(env, e.env...)
	}
	for _, e := range c.Endpoints {
		env = append(env, e.env...)
	}
	for _, variable := range env {
		pem, ok := strings.CutPrefix(variable, settings.EnvName("tls-key")+"=")
		if !ok {
			continue
		}
		for line := range strings.Lines(pem) {
			if line = strings.TrimSpace(line); !strings.HasPrefix(line, "-----") && line != "" {
				out = append(out, line)
			}
		}
	}
	return out
}
