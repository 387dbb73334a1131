// Package platformflags holds the settings that siskinford-platform reads from
// flags and environment variables; the platform's settings file holds the others.
package platformflags

import (
	"io"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/process"
	"github.com/siskinford/siskinford/core/settings"
	"github.com/siskinford/siskinford/platform/run"
)

// ProgramName is the name of the program.
const ProgramName = "siskinford-platform"

// RoleEntry is the role of an entry that reaches endpoints without agents.
const RoleEntry = "entry"

// LogMode selects which log lines are written.
type LogMode string

const (
	// LogFull writes every line.
	LogFull LogMode = "full"
	// LogBounded bounds the lines per second below level warn.
	LogBounded LogMode = "bounded"
	// LogOff writes errors only.
	LogOff LogMode = "off"
)

const (
	// defaultLogLinesPerSecond permits several lines for each request at five times
	// the current load of an entry.
	defaultLogLinesPerSecond = 1000
	// defaultGCPercent saves memory at the cost of CPU time, since hosts may be billed
	// by peak memory.
	defaultGCPercent = 50
	maxPort          = 65535
)

// Settings are the program's own settings.
type Settings struct {
	Run run.Options
	Log LogMode
	// LogLines bounds the lines per second below level warn if Log is LogBounded.
	LogLines int
	// GCPercent is the heap growth that triggers a garbage collection.
	GCPercent int
}

// New returns the default settings.
func New() *Settings {
	return &Settings{Log: LogBounded, LogLines: defaultLogLinesPerSecond, GCPercent: defaultGCPercent}
}

// Set returns the settings as flags and environment variables.
func (s *Settings) Set() *settings.Set {
	set := settings.New(ProgramName)
	set.Bool(&s.Run.RedirectIsolated, "redirect-isolated", "Send the callers of an entry that is cut off to other zones")
	set.Int(&s.Run.MetricsPort, "metrics-port", "port", "Port of an additional listener for metrics, 0 for none")
	set.Bool(&s.Run.BindSource, "bind-source", "Open connections from the host's own address, for hosts with several")
	set.String(&s.Run.AdvertiseAddress, "advertise", "Address (ip:port) that other entries connect to, if it is not the listen address")
	set.Bool(&s.Run.LearnedLimits, "learned-limits", "Learn how fast each endpoint is and how many requests it takes well")
	settings.Text(set, &s.Log, "log", "How much is logged: full, bounded or off")
	set.Int(&s.LogLines, "log-lines", "lines per second", "Limit of lines below level warn in mode bounded")
	set.Int(&s.GCPercent, "gc-percent", "percent", "Heap growth that triggers a garbage collection")
	return set
}

// Validate reports malformed values and values out of range.
func (s *Settings) Validate() finding.List {
	var l finding.List
	if s.Run.MetricsPort < 0 || s.Run.MetricsPort > maxPort {
		l.Addf("metrics-port", "%d is not a port", s.Run.MetricsPort)
	}
	if _, err := netip.ParseAddrPort(s.Run.AdvertiseAddress); err != nil && s.Run.AdvertiseAddress != "" {
		l.Addf("advertise", "%q is not ip:port", s.Run.AdvertiseAddress)
	}
	switch s.Log {
	case LogFull, LogBounded, LogOff:
	default:
		l.Addf("log", "%q is none of full, bounded and off", string(s.Log))
	}
	if s.LogLines <= 0 {
		l.Addf("log-lines", "%d is not positive", s.LogLines)
	}
	if s.GCPercent <= 0 {
		l.Addf("gc-percent", "%d is not positive", s.GCPercent)
	}
	return l
}

// NewLog returns a log that writes the lines that the settings select.
func (s *Settings) NewLog(w io.Writer, host string, set *metrics.Set) *process.BoundedLog {
	cfg := process.LogConfig{Program: ProgramName, Host: host, Level: zerolog.InfoLevel}
	switch s.Log {
	case LogBounded:
		cfg.LinesPerSecond = s.LogLines
	case LogOff:
		cfg.Level = zerolog.ErrorLevel
	case LogFull:
	}
	return process.NewBoundedLog(w, cfg, set)
}
