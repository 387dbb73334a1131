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

// operatorArg is the setting of entries that lets the cluster's operator in.
func operatorArg() string {
	return "--operator-key-hash=" + Operator + "=" + config.HashKey(OperatorKey)
}

// Result is the output of a program that has ended.
type Result struct {
	Stdout, Stderr string
	Code           int
}

// OperatorEnv is the environment in which the operators' program reaches an entry.
func (c *Cluster) OperatorEnv(e *Entry) []string {
	return []string{
		settings.EnvName("entry") + "=" + e.OperatorURL,
		settings.EnvName("operator-key") + "=" + OperatorKey,
	}
}

// RunOperator runs the operators' program against an entry and waits for its end.
func (c *Cluster) RunOperator(ctx context.Context, e *Entry, stdin string, args ...string) (Result, error) {
	cmd := exec.CommandContext(ctx, c.options.Binaries.Operator, args...)
	cmd.Env = append(os.Environ(), c.OperatorEnv(e)...)
	return RunCommand(cmd, stdin)
}

// RunCommand runs a command to its end.
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

// Secrets returns texts that no process may print: the keys of the team and of
// the operator, and lines of all private TLS keys.
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
