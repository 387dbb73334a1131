package programs

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/process"
)

func all() map[string]Settings { return map[string]Settings{"entry": NewEntry(), "agent": NewAgent()} }

func TestHelpListsEachSettingWithVariableAndDefault(t *testing.T) {
	for name, p := range all() {
		for _, flag := range []string{"--help", "-h"} {
			var stdout, stderr bytes.Buffer
			code, ok := process.ParseSettings(p.Set(), []string{flag}, p.Validate, &stdout, &stderr)
			assert.Equal(t, code, process.ExitOK, "%s: %s", name, stderr.String())
			assert.Assert(t, !ok)
			for _, want := range []string{
				"--host (text, SISKINFORD_HOST)", "Required.",
				"--shutdown-timeout (duration, SISKINFORD_SHUTDOWN_TIMEOUT)", "Time for requests in flight at shutdown. Default: 30s.",
			} {
				assert.Assert(t, strings.Contains(stdout.String(), want), "%s: %q is missing in\n%s", name, want, stdout.String())
			}
		}
	}
}

// TestFindingsNameSettings checks that the place of each finding is a flag in the help.
func TestFindingsNameSettings(t *testing.T) {
	wrong := map[string][]string{
		"entry": {
			"--caller-listen=x", "--policy=none", "--events=0", "--silence-timeout=1ms", "--recovery-timeout=-1s",
			"--operator-key-hash=ana", "--operator-rate=0", "--max-tokens=-1", "--platform-url=nowhere", "--key-retention=0s",
		},
		"agent": {"--slots=0", "--max-actions=0", "--action-retention=0s", "--queue-policy=none", "--events=0"},
	}
	for name, p := range all() {
		set := p.Set()
		var help bytes.Buffer
		set.WriteHelp(&help)
		findings, err := process.CheckSettings(set, wrong[name], p.Validate, &help)
		assert.NilError(t, err)
		seen := map[string]bool{}
		for _, f := range findings {
			seen[f.Place] = true
			assert.Assert(t, strings.Contains(help.String(), "  "+f.Place+" ("), "%s: %v", name, f)
		}
		for _, arg := range wrong[name] {
			flag, _, _ := strings.Cut(arg, "=")
			assert.Assert(t, seen[flag], "%s: no finding at %s", name, flag)
		}
		assert.Assert(t, seen["--tls-key"] && seen["--host"], "%v", findings)
	}
}
