// Package lang parses, checks and evaluates the operators' query and command
// language.
//
// A script is a sequence of statements. Each begins on its own line or after a
// semicolon; an indented line continues the statement on the line above it. Text
// from # to the end of a line is a comment.
package lang

import (
	"bytes"
	"slices"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/siskinford/siskinford/operate/table"
)

// Statement is one statement of a script. Exactly one of the pointer fields is set.
type Statement struct {
	Explain  *Explain  `parser:"( @@"`
	Timeline *Timeline `parser:"| @@"`
	Command  *Command  `parser:"| @@"`
	Query    *Query    `parser:"| @@ )"`

	// Text is the source text.
	Text string `parser:""`
	// start is the position of the first character in the script.
	start position
}

// Query selects rows of a kind.
type Query struct {
	Pos   lexer.Position
	Kind  string     `parser:"@Word"`
	Where *Or        `parser:"( 'where' @@ )?"`
	Show  []*Name    `parser:"( 'show' @@ ( ',' @@ )* )?"`
	Order []*Sorting `parser:"( 'order' 'by' @@ ( ',' @@ )* )?"`
	Limit *Limit     `parser:"( 'limit' @@ )?"`
}

// Name is the name of a field.
type Name struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// Sorting is one sort key.
type Sorting struct {
	Field *Name `parser:"@@"`
	Desc  bool  `parser:"( @'desc' | 'asc' )?"`
}

// Limit bounds the number of rows.
type Limit struct {
	Pos  lexer.Position
	Rows *Literal `parser:"@@"`
}

// Or is a disjunction.
type Or struct {
	Parts []*And `parser:"@@ ( 'or' @@ )*"`
}

// And is a conjunction.
type And struct {
	Parts []*Term `parser:"@@ ( 'and' @@ )*"`
}

// Term is a comparison, a negation or a condition in parentheses.
type Term struct {
	Not     *Term       `parser:"( 'not' @@"`
	Group   *Or         `parser:"| '(' @@ ')'"`
	Compare *Comparison `parser:"| @@ )"`
}

// Comparison compares a field with a literal. The operator ~ tests whether the
// field contains the literal as a substring.
type Comparison struct {
	Field *Name    `parser:"@@"`
	Op    string   `parser:"@Op"`
	Value *Literal `parser:"@@"`
}

// Literal is a quoted string, a number or a bare word.
type Literal struct {
	Pos    lexer.Position
	Text   *string  `parser:"( @String"`
	Number *float64 `parser:"| @Number"`
	Word   *string  `parser:"| @Word )"`
}

// value converts the literal. The words true and false are booleans.
func (l *Literal) value() table.Value {
	switch {
	case l.Number != nil:
		return table.Number(*l.Number)
	case l.Text != nil:
		return table.Text(*l.Text)
	case *l.Word == "true" || *l.Word == "false":
		return table.Bool(*l.Word == "true")
	}
	return table.Text(*l.Word)
}

// Object refers to a member of a configuration by kind and name.
type Object struct {
	Pos  lexer.Position
	Kind string   `parser:"@( 'service' | 'team' | 'endpoint' )"`
	Name *Literal `parser:"@@"`
}

// Setting assigns a value or a list of values to a field of a member.
type Setting struct {
	Field *Name    `parser:"@@"`
	List  *List    `parser:"( @@"`
	Value *Literal `parser:"| @@ )"`
}

// List is a list of values.
type List struct {
	Items []*Literal `parser:"'[' ( @@ ( ',' @@ )* )? ']'"`
}

// Edit creates or changes a member of a configuration.
type Edit struct {
	Object   *Object    `parser:"@@"`
	Settings []*Setting `parser:"@@*"`
}

// Move transfers weight from one endpoint to another.
type Move struct {
	Weight *Literal `parser:"'weight' @@"`
	From   *Object  `parser:"'from' @@"`
	To     *Object  `parser:"'to' @@"`
}

// Command changes a configuration. Exactly one field is set.
type Command struct {
	Pos     lexer.Position
	Create  *Edit   `parser:"( 'create' @@"`
	Change  *Edit   `parser:"| ( 'change' | 'set' ) @@"`
	Delete  *Object `parser:"| 'delete' @@"`
	Drain   *Object `parser:"| 'drain' @@"`
	Undrain *Object `parser:"| 'undrain' @@"`
	Move    *Move   `parser:"| 'move' @@ )"`
}

// Explain asks for the outcome of a request or the state of an endpoint, with the cause.
type Explain struct {
	Pos  lexer.Position
	Kind string   `parser:"'explain' @( 'request' | 'endpoint' )"`
	Name *Literal `parser:"@@"`
}

// Timeline queries the events of all processes.
type Timeline struct {
	Pos     lexer.Position
	Options []*TimelineOption `parser:"'timeline' @@*"`
}

// TimelineOption filters the events or limits their number.
type TimelineOption struct {
	Pos   lexer.Position
	Name  string `parser:"@( 'since' | 'request' | 'endpoint' | 'kind' | 'limit' )"`
	Value string `parser:"@( Duration | Number | Word | String )"`
}

// String returns the literal without quotes.
func (l *Literal) String() string { return l.value().String() }

// JSON returns the setting's value as JSON. List items, and any single value if
// asText is true, are encoded as strings.
func (s *Setting) JSON(asText bool) []byte {
	if s.List == nil {
		return s.Value.json(asText)
	}
	parts := make([][]byte, len(s.List.Items))
	for i, item := range s.List.Items {
		parts[i] = item.json(true)
	}
	return slices.Concat([]byte("["), bytes.Join(parts, []byte(",")), []byte("]"))
}

func (l *Literal) json(asText bool) []byte {
	v := l.value()
	if asText {
		v = table.Text(v.String())
	}
	data, _ := v.MarshalJSON() // Strings, finite numbers and booleans always encode.
	return data
}
