// Package process implements the lifecycle of a program: exit codes, signals and logs.
package process

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/settings"
)

// Exit codes of all programs.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means that the program failed after it started.
	ExitFailure = 1
	// ExitUsage means that settings or arguments are invalid. No port was opened.
	ExitUsage = 2
	// ExitForcedShutdown means that a shutdown aborted requests in flight.
	ExitForcedShutdown = 3
	// ExitConflict means that a concurrent change took precedence. Nothing was changed.
	ExitConflict = 4
	// ExitUnknownOutcome means that a change may or may not have been accepted.
	ExitUnknownOutcome = 5
	// ExitIncomplete means that some processes did not respond.
	ExitIncomplete = 6
)

// Daemon is a server that runs until a signal stops it.
type Daemon interface {
	// Start begins serving and returns.
	Start() error
	// Shutdown waits for the requests in flight. If ctx ends first, it aborts them
	// and returns an error.
	Shutdown(ctx context.Context) error
	// Reload reloads key material.
	Reload() error
}

// ParseSettings parses and validates settings and prints the help text or all findings.
// If ok is false, the program must exit with code.
func ParseSettings(s *settings.Set, args []string, validate func() finding.List, stdout, stderr io.Writer) (code int, ok bool) {
	findings, err := CheckSettings(s, args, validate, stdout)
	if err != nil {
		return ExitOK, false
	}
	if len(findings) == 0 {
		return ExitOK, true
	}
	fmt.Fprintf(stderr, "invalid settings:\n%v\n", findings)
	return ExitUsage, false
}

// CheckSettings parses and validates settings and returns all findings. If help
// is requested, it prints the help text and returns flag.ErrHelp.
func CheckSettings(s *settings.Set, args []string, validate func() finding.List, stdout io.Writer) (finding.List, error) {
	findings, err := s.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		s.WriteHelp(stdout)
		return nil, err
	}
	return append(findings, withoutReported(findings, validate())...), nil
}

// withoutReported returns the findings of later for settings without one in earlier.
func withoutReported(earlier, later finding.List) finding.List {
	reported := make(map[string]bool, len(earlier))
	for _, f := range earlier {
		reported[f.Place] = true
	}
	var out finding.List
	for _, f := range later {
		if f.Place = "--" + strings.TrimPrefix(f.Place, "--"); !reported[f.Place] {
			out = append(out, f)
		}
	}
	return out
}

// NewLog returns a logger that writes JSON lines to w.
func NewLog(w io.Writer, program, host string, debug bool) zerolog.Logger {
	level := zerolog.InfoLevel
	if debug {
		level = zerolog.DebugLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("program", program).Str("host", host).Logger()
}

// Run starts a daemon, waits for SIGTERM or SIGINT and shuts it down within timeout. A
// second signal aborts the requests in flight. SIGHUP reloads key material.
func Run(d Daemon, log zerolog.Logger, timeout time.Duration) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := d.Start(); err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("start failed")
		return ExitFailure
	}
	awaitStop(d, log, signals)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}()
	log.Info().Str("event", "process.stopping").Dur("bound", timeout).Msg("shutting down")
	if err := d.Shutdown(ctx); err != nil {
		log.Error().Err(err).Str("event", "process.cut_off").Msg("shutdown aborted requests in flight")
		return ExitForcedShutdown
	}
	return ExitOK
}

func awaitStop(d Daemon, log zerolog.Logger, signals <-chan os.Signal) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			return
		}
		if err := d.Reload(); err != nil {
			log.Error().Err(err).Str("event", "keys.reload_failed").Msg("cannot reload key material; the previous keys stay in use")
			continue
		}
		log.Info().Str("event", "keys.reloaded").Msg("key material reloaded; new connections use it")
	}
}
