package lang

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/finding"
)

const (
	// MaxScriptBytes bounds a script.
	MaxScriptBytes = 256 << 10
	// maxDepth bounds nested parentheses and negations of a condition.
	maxDepth = 64
)

var parser = participle.MustBuild[Statement](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Duration", Pattern: `\d+(\.\d+)?(ms|s|m|h)\b`},
		{Name: "Number", Pattern: `-?\d+(\.\d+)?\b`},
		{Name: "Word", Pattern: `[\pL_][\pL\pN_.:-]*`},
		{Name: "Op", Pattern: `!=|<=|>=|=|<|>|~`},
		{Name: "Punct", Pattern: `[(),\[\]]`},
		{Name: "space", Pattern: `[ \t\r\n]+`},
	})),
	participle.Unquote("String"),
	participle.Elide("space"),
	participle.UseLookahead(2),
)

// position is a line and column, both starting at 1.
type position struct{ line, column int }

// String returns the position as the place of a finding.
func (p position) String() string { return fmt.Sprintf("line %d, column %d", p.line, p.column) }

// resolve converts a position in a statement that starts at p to one in the script.
func (p position) resolve(inner lexer.Position) position {
	if inner.Line <= 1 {
		return position{line: p.line, column: p.column + max(inner.Column, 1) - 1}
	}
	return position{line: p.line + inner.Line - 1, column: inner.Column}
}

// Place converts a position in the statement to the place of a finding.
func (s *Statement) Place(inner lexer.Position) string { return s.start.resolve(inner).String() }

// Start returns the place of the first character, for a finding.
func (s *Statement) Start() string { return s.start.String() }

// Parse returns the statements of a script, without those that have syntax errors,
// and the findings of all statements with line and column.
func Parse(script string) ([]*Statement, finding.List) {
	var l finding.List
	if len(script) > MaxScriptBytes {
		l.Addf("", "the script has %d bytes, the limit is %d", len(script), MaxScriptBytes)
		return nil, l
	}
	var out []*Statement
	for _, p := range split(script) {
		s, err := parseOne(p)
		if err != nil {
			l.Addf(errorPlace(p, err), "%s", errorMessage(err))
			continue
		}
		s.check(&l)
		out = append(out, s)
	}
	return out, l
}

func parseOne(p sourceText) (*Statement, error) {
	if d := depth(p.text); d > maxDepth {
		return nil, errors.Newf("the condition is nested %d deep, the limit is %d", d, maxDepth)
	}
	s, err := parser.ParseString("", p.text)
	if err != nil {
		return nil, err
	}
	s.Text = p.text
	s.start = p.start
	return s, nil
}

// depth returns an upper bound of the nesting depth of a condition.
func depth(text string) int {
	return strings.Count(text, "(") + strings.Count(text, "not ") + strings.Count(text, "not\n")
}

func errorPlace(p sourceText, err error) string {
	var parse participle.Error
	if errors.As(err, &parse) {
		return p.start.resolve(parse.Position()).String()
	}
	return p.start.String()
}

func errorMessage(err error) string {
	var parse participle.Error
	if errors.As(err, &parse) {
		return parse.Message()
	}
	return err.Error()
}

// sourceText is one unparsed statement.
type sourceText struct {
	text  string
	start position
}

// splitter splits a script into statements.
type splitter struct {
	out  []sourceText
	text strings.Builder
	// start is the position of text in the script. It is valid if text is not empty.
	start position
}

// split splits a script at semicolons, empty lines and lines that are not indented.
// Dropping comments shifts no column, since they run to the end of the line.
func split(script string) []sourceText {
	var s splitter
	for i, line := range strings.Split(script, "\n") {
		if strings.TrimSpace(line) == "" || line[0] != ' ' && line[0] != '\t' {
			s.finish()
		}
		s.line(line, i+1)
	}
	s.finish()
	return s.out
}

// line adds one line, which may hold several statements.
func (s *splitter) line(line string, number int) {
	if s.text.Len() > 0 {
		s.text.WriteByte('\n')
	}
	quoted, escaped := false, false
	column := 0
	for _, r := range line {
		column++
		switch {
		case escaped:
			escaped = false
		case quoted && r == '\\':
			escaped = true
		case r == '"':
			quoted = !quoted
		case quoted:
		case r == '#':
			return
		case r == ';':
			s.finish()
			continue
		}
		s.add(r, position{line: number, column: column})
	}
}

func (s *splitter) add(r rune, at position) {
	if s.text.Len() == 0 {
		if r == ' ' || r == '\t' || r == '\r' {
			return
		}
		s.start = at
	}
	s.text.WriteRune(r)
}

func (s *splitter) finish() {
	if text := strings.TrimRight(s.text.String(), " \t\r\n"); text != "" {
		s.out = append(s.out, sourceText{text: text, start: s.start})
	}
	s.text.Reset()
}
