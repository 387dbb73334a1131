package itest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/lab/procs"
)

// command is a shell command of a page and the texts that its output must contain.
type command struct {
	line string
	want []string
}

// commands returns the commands of a page's code blocks after a line "# run"; a line
// "#= TEXT" after a command adds an expected text.
func commands(t *testing.T, page string) []command {
	t.Helper()
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	var out []command
	running := false
	for line := range strings.Lines(string(data)) {
		line = strings.TrimRight(line, "\n")
		want, isWant := strings.CutPrefix(line, "#= ")
		switch {
		case strings.HasPrefix(line, "```"):
			running = false
		case line == "# run":
			running = true
		case running && isWant:
			last := &out[len(out)-1]
			last.want = append(last.want, want)
		case running:
			out = append(out, command{line: line})
		}
	}
	return out
}

var assignment = regexp.MustCompile(`^([A-Z]+)=\$\((.*)\)$`)

// shell runs commands and keeps the variables that they assign by VAR=$(command).
type shell struct{ env []string }

func (s *shell) run(t *testing.T, line string) procs.Result {
	t.Helper()
	set := assignment.FindStringSubmatch(line)
	if set != nil {
		line = set[2]
	}
	cmd := exec.Command("bash", "-o", "pipefail", "-c", line)
	cmd.Env = append(os.Environ(), s.env...)
	r, err := procs.RunCommand(cmd, "")
	assert.NilError(t, err)
	if set != nil {
		assert.Assert(t, strings.TrimSpace(r.Stdout) != "", "%s is empty: %s%s", set[1], line, r.Stderr)
		s.env = append(s.env, set[1]+"="+strings.TrimSpace(r.Stdout))
	}
	return r
}

// readOnly matches commands that change nothing and are safe to repeat.
var readOnly = regexp.MustCompile(`^siskinford (explain|timeline|query '(endpoints|configurations) )`)

// check runs a command and fails the test if its output lacks an expected text.
// Read-only commands are repeated until ctx ends.
func (s *shell) check(ctx context.Context, t *testing.T, c command) {
	t.Helper()
	for {
		r := s.run(t, c.line)
		missing := ""
		for _, want := range c.want {
			if !strings.Contains(withoutSpace(r.Stdout), want) {
				missing = want
			}
		}
		if missing == "" && r.Code == process.ExitOK {
			return
		}
		if !readOnly.MatchString(c.line) || ctx.Err() != nil {
			t.Fatalf("%s\nexit code %d, %q is missing in:\n%s%s", c.line, r.Code, missing, r.Stdout, r.Stderr)
		}
		<-time.After(pollInterval)
	}
}

// TestOperationsPage runs the commands of docs/OPERATIONS.md.
func TestOperationsPage(t *testing.T) {
	ctx, c := cluster(t, procs.Options{Entries: 2, ModelEndpoints: 2, PlainEndpoints: 2, EngineArgs: []string{"--step-time=1ms"}})
	ctx, cancel := context.WithTimeout(ctx, testTimeout/2)
	defer cancel()
	for _, e := range c.Endpoints {
		if e.Config.Name == "mostrador-0" {
			e.Backend.Kill()
		}
	}
	path := filepath.Dir(binaries.Operator) + string(os.PathListSeparator) + os.Getenv("PATH")
	s := &shell{env: append(c.OperatorEnv(c.Entries[0]), "PATH="+path, "URL="+c.Entries[0].URL, "KEY="+procs.TeamKey)}
	all := commands(t, filepath.Join("..", "docs", "OPERATIONS.md"))
	assert.Assert(t, len(all) >= 17, "%d commands", len(all))
	for _, x := range all {
		s.check(ctx, t, x)
	}
}
