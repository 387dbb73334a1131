// Package process holds what the programs share: exit codes, signals and logs.
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
	// ExitForcedShutdown means that a shutdown cut off requests in flight.
	ExitForcedShutdown = 3
	// ExitConflict means that another operator's change came first. Nothing was changed.
	ExitConflict = 4
	// ExitUnknownOutcome means that a change may or may not have been accepted.
	ExitUnknownOutcome = 5
	// ExitIncomplete means that some processes did not answer.
	ExitIncomplete = 6
)

// Daemon is what a program runs until it is told to stop.
type Daemon interface {
	// Start begins to serve and returns.
	Start() error
	// Shutdown finishes the requests in flight. When ctx ends first, they are
	// cut off and an error is returned.
	Shutdown(ctx context.Context) error
	// Reload reads key material again.
	Reload() error
}

// ParseSettings parses and validates settings and prints help or all findings.
// Ok is false if the program must exit with the returned code.
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
// was asked for, it is printed and the error is flag.ErrHelp.
func CheckSettings(s *settings.Set, args []string, validate func() finding.List, stdout io.Writer) (finding.List, error) {
	findings, err := s.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		s.WriteHelp(stdout)
		return nil, err
	}
	return append(findings, unreported(findings, validate())...), nil
}

// unreported returns the later findings whose setting has none among the earlier.
func unreported(earlier, later finding.List) finding.List {
	known := make(map[string]bool, len(earlier))
	for _, f := range earlier {
		known[f.Place] = true
	}
	var out finding.List
	for _, f := range later {
		if f.Place = "--" + strings.TrimPrefix(f.Place, "--"); !known[f.Place] {
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

// Run starts a daemon, waits for a signal and shuts down within bound. A second
// signal ends the wait for requests in flight. SIGHUP reloads key material.
func Run(d Daemon, log zerolog.Logger, bound time.Duration) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := d.Start(); err != nil {
		log.Error().Err(err).Str("event", "process.failed").Msg("start failed")
		return ExitFailure
	}
	awaitStop(d, log, signals)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}()
	log.Info().Str("event", "process.stopping").Dur("bound", bound).Msg("shutting down")
	if err := d.Shutdown(ctx); err != nil {
		log.Error().Err(err).Str("event", "process.cut_off").Msg("shutdown cut off requests")
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
			log.Error().Err(err).Str("event", "keys.reload_failed").Msg("former keys stay in use")
			continue
		}
		log.Info().Str("event", "keys.reloaded").Msg("new connections use the new keys")
	}
}
