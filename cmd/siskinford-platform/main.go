// Command siskinford-platform runs an entry on the platform:
//
//	siskinford-platform entry [flags]
//
// The platform passes its settings in a file named by an environment variable. The
// program's own settings are flags and environment variables.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	"github.com/siskinford/siskinford/cmd/internal/platformflags"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/platform/run"
	"github.com/siskinford/siskinford/platform/settings"
)

func main() { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	if len(args) == 0 || args[0] != platformflags.RoleEntry {
		fmt.Fprintf(os.Stderr, "usage: %s %s [flags]\n", platformflags.ProgramName, platformflags.RoleEntry)
		return process.ExitUsage
	}
	flags := platformflags.New()
	if code, ok := process.ParseSettings(flags.Set(), args[1:], flags.Validate, os.Stdout, os.Stderr); !ok {
		return code
	}
	s, err := settings.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitUsage
	}
	debug.SetGCPercent(flags.GCPercent)
	set := metrics.NewSet()
	log := flags.NewLog(os.Stdout, string(s.Host), set)
	code := serve(s, flags, log, set)
	if err := log.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

func serve(s settings.Settings, flags *platformflags.Settings, log *process.BoundedLog, set *metrics.Set) int {
	e, err := run.NewEdge(s, flags.Run, log.Logger, set)
	if err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("start failed")
		return process.ExitFailure
	}
	return process.Run(e, log.Logger, s.TerminationGrace)
}
