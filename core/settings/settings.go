// Package settings reads the settings of a program from flags and environment
// variables and reports all errors together.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/siskinford/siskinford/core/finding"
)

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "SISKINFORD"

// Set is the set of settings of one program. Parse stores each value through the
// pointer with which the setting was registered.
type Set struct {
	program  string
	flags    *flag.FlagSet
	settings []*setting
}

// setting implements flag.Value. Set only stores the text, so that Parse reports all
// malformed values instead of the first.
type setting struct {
	name        string
	usage       string
	unit        string
	defaultText string
	text        string
	given       bool
	secret      bool
	required    bool
	boolean     bool
	parse       func(text string) error
}

// String implements flag.Value.
func (s *setting) String() string {
	if s == nil {
		return ""
	}
	return s.text
}

// Set implements flag.Value.
func (s *setting) Set(text string) error {
	s.text = text
	s.given = true
	return nil
}

// IsBoolFlag implements the optional interface of flag.Value.
func (s *setting) IsBoolFlag() bool { return s.boolean }

// New returns an empty set for the named program.
func New(program string) *Set {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	return &Set{program: program, flags: flags}
}

// Option modifies the handling of a setting.
type Option func(*setting)

// Required reports a finding if the setting is empty.
func Required() Option { return func(s *setting) { s.required = true } }

// Secret omits the value of a setting from the help text and from findings.
func Secret() Option { return func(s *setting) { s.secret = true } }

func (s *Set) register(name, unit, defaultText, usage string, parse func(string) error, options []Option) *setting {
	setting := &setting{name: name, unit: unit, defaultText: defaultText, text: defaultText, usage: usage, parse: parse}
	for _, o := range options {
		o(setting)
	}
	s.settings = append(s.settings, setting)
	s.flags.Var(setting, name, usage)
	return setting
}

// String registers a text setting. As in all registrations, the value of p is the default.
func (s *Set) String(p *string, name, usage string, options ...Option) {
	s.register(name, "text", *p, usage, func(text string) error {
		*p = text
		return nil
	}, options)
}

// Text registers a text setting of a named string type.
func Text[T ~string](s *Set, p *T, name, usage string, options ...Option) {
	s.register(name, "text", string(*p), usage, func(text string) error {
		*p = T(text)
		return nil
	}, options)
}

// Address registers an "ip:port" setting.
func (s *Set) Address(p *string, name, usage string, options ...Option) {
	s.register(name, "ip:port", *p, usage, func(text string) error {
		*p = text
		if text == "" {
			return nil
		}
		host, port, err := net.SplitHostPort(text)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("%q is not an address of the form ip:port", text)
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return fmt.Errorf("%q has no valid port", text)
		}
		return nil
	}, options)
}

// Duration registers a duration setting.
func (s *Set) Duration(p *time.Duration, name, usage string, options ...Option) {
	s.register(name, "duration", p.String(), usage, func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 250ms", text)
		}
		*p = d
		return nil
	}, options)
}

// Int registers an integer setting with its unit.
func (s *Set) Int(p *int, name, unit, usage string, options ...Option) {
	s.register(name, unit, strconv.Itoa(*p), usage, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not an integer", text)
		}
		*p = n
		return nil
	}, options)
}

// Bool registers a boolean setting.
func (s *Set) Bool(p *bool, name, usage string, options ...Option) {
	setting := s.register(name, "true|false", strconv.FormatBool(*p), usage, func(text string) error {
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		*p = b
		return nil
	}, options)
	setting.boolean = true
}

// Parse reads the arguments and the environment. Flags take precedence. The findings
// are all unknown flags, malformed values and missing settings. The error is
// flag.ErrHelp if help is requested, and nil otherwise.
func (s *Set) Parse(args []string) (finding.List, error) {
	var findings finding.List
	known := s.removeUnknownFlags(args, &findings)
	err := ff.Parse(s.flags, known, ff.WithEnvVarPrefix(EnvPrefix))
	if err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, flag.ErrHelp
		}
		findings.Addf("arguments", "%v", err)
	}
	for _, arg := range s.flags.Args() {
		findings.Addf("arguments", "unexpected argument %q", arg)
	}
	for _, setting := range s.settings {
		s.validate(setting, &findings)
	}
	return findings, nil
}

// removeUnknownFlags returns args without unknown flags, which it reports.
func (s *Set) removeUnknownFlags(args []string, findings *finding.List) []string {
	var known []string
	for i := 0; i < len(args); i++ {
		name, isFlag := flagName(args[i])
		if !isFlag || name == "help" || name == "h" || s.flags.Lookup(name) != nil {
			known = append(known, args[i])
			if isFlag && s.takesNextArg(name, args[i]) && i+1 < len(args) {
				i++
				known = append(known, args[i])
			}
			continue
		}
		findings.Addf("--"+name, "unknown flag%s", s.suggestion(name))
		if !strings.Contains(args[i], "=") && i+1 < len(args) && !strings.HasPrefix(args[i+1], "-") {
			i++
		}
	}
	return known
}

func flagName(arg string) (string, bool) {
	if len(arg) < 2 || arg[0] != '-' {
		return "", false
	}
	name := strings.TrimLeft(arg, "-")
	name, _, _ = strings.Cut(name, "=")
	return name, name != ""
}

func (s *Set) takesNextArg(name, arg string) bool {
	f := s.flags.Lookup(name)
	if f == nil || strings.Contains(arg, "=") {
		return false
	}
	return !f.Value.(*setting).boolean
}

func (s *Set) suggestion(name string) string {
	for _, setting := range s.settings {
		if strings.Contains(setting.name, name) || strings.Contains(name, setting.name) {
			return fmt.Sprintf(", did you mean --%s?", setting.name)
		}
	}
	return ""
}

func (s *Set) validate(setting *setting, findings *finding.List) {
	place := "--" + setting.name
	if setting.required && setting.text == "" {
		findings.Addf(place, "is not set; give the flag or %s", EnvName(setting.name))
		return
	}
	if err := setting.parse(setting.text); err != nil {
		if setting.secret {
			findings.Addf(place, "has a malformed value")
			return
		}
		findings.Addf(place, "%v", err)
	}
}

// EnvName returns the name of the environment variable of a setting.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// WriteHelp prints all settings, sorted by name.
func (s *Set) WriteHelp(w io.Writer) {
	fmt.Fprintf(w, "Usage of %s:\n\n", s.program)
	sorted := slices.Clone(s.settings)
	slices.SortFunc(sorted, func(a, b *setting) int { return strings.Compare(a.name, b.name) })
	for _, setting := range sorted {
		fmt.Fprintf(w, "  --%s (%s, %s)\n      %s.%s\n",
			setting.name, setting.unit, EnvName(setting.name), setting.usage, defaultClause(setting))
	}
}

func defaultClause(s *setting) string {
	switch {
	case s.required:
		return " Required."
	case s.secret || s.defaultText == "":
		return ""
	}
	return fmt.Sprintf(" Default: %s.", s.defaultText)
}
