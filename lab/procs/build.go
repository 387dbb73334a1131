package procs

import (
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// modulePath is the import path of the module that holds the programs.
const modulePath = "github.com/siskinford/siskinford/cmd/"

// Binaries are the paths of the programs.
type Binaries struct {
	Entry, Agent, Operator, Lab string
	// Platform is the entry that calls endpoints without agents, and Relay runs
	// beside such endpoints.
	Platform, Relay string
}

// Build compiles the programs into dir. The working directory must be in the workspace.
func Build(dir string, race bool) (Binaries, error) {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if race {
		args = append(args, "-race")
	}
	args = append(args, modulePath+"...")
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return Binaries{}, errors.Wrapf(err, "build programs: %s", out)
	}
	return Binaries{
		Entry:    filepath.Join(dir, "siskinford-entry"),
		Agent:    filepath.Join(dir, "siskinford-agent"),
		Operator: filepath.Join(dir, "siskinford"),
		Lab:      filepath.Join(dir, "siskinford-lab"),
		Platform: filepath.Join(dir, "siskinford-platform"),
		Relay:    filepath.Join(dir, "siskinford-relay"),
	}, nil
}
