// Package lang is the operators' query and command language.
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

// Statement is one query, command or question. Exactly one of the pointer fields is set.
type Statement struct {
	Explain  *Explain  `parser:"( @@"`
	Timeline *Timeline `parser:"| @@"`
	Command  *Command  `parser:"| @@"`
	Query    *Query    `parser:"| @@ )"`

	// Text is the statement as it was written.
	Text string `parser:""`
	// start is the place of the statement's first character.
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

// Sorting is one field of an order.
type Sorting struct {
	Field *Name `parser:"@@"`
	Desc  bool  `parser:"( @'desc' | 'asc' )?"`
}

// Limit bounds the number of rows.
type Limit struct {
	Pos  lexer.Position
	Rows *Literal `parser:"@@"`
}

// Or holds if one of its parts does.
type Or struct {
	Parts []*And `parser:"@@ ( 'or' @@ )*"`
}

// And holds if all of its parts do.
type And struct {
	Parts []*Term `parser:"@@ ( 'and' @@ )*"`
}

// Term is a comparison, a negation or a condition in parentheses.
type Term struct {
	Not     *Term       `parser:"( 'not' @@"`
	Group   *Or         `parser:"| '(' @@ ')'"`
	Compare *Comparison `parser:"| @@ )"`
}

// Comparison compares a field with a literal. The operator ~ tests whether a
// text contains another.
type Comparison struct {
	Field *Name    `parser:"@@"`
	Op    string   `parser:"@Op"`
	Value *Literal `parser:"@@"`
}

// Literal is a value as it is written.
type Literal struct {
	Pos    lexer.Position
	Text   *string  `parser:"( @String"`
	Number *float64 `parser:"| @Number"`
	Word   *string  `parser:"| @Word )"`
}

// value returns the literal as a value of the type that it was written as.
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

// Object names a kind of configuration and one of its members.
type Object struct {
	Pos  lexer.Position
	Kind string   `parser:"@( 'service' | 'team' | 'endpoint' )"`
	Name *Literal `parser:"@@"`
}

// Setting gives a field of a configuration a value or a list of values.
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

// Move moves a part of the weight of one endpoint to another.
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

// Explain asks why a request or an endpoint is treated as it is.
type Explain struct {
	Pos  lexer.Position
	Kind string   `parser:"'explain' @( 'request' | 'endpoint' )"`
	Name *Literal `parser:"@@"`
}

// Timeline asks for the events of all processes.
type Timeline struct {
	Pos     lexer.Position
	Options []*TimelineOption `parser:"'timeline' @@*"`
}

// TimelineOption restricts the events.
type TimelineOption struct {
	Pos   lexer.Position
	Name  string `parser:"@( 'since' | 'request' | 'endpoint' | 'kind' | 'limit' )"`
	Value string `parser:"@( Duration | Number | Word | String )"`
}

// String returns the literal as text.
func (l *Literal) String() string { return l.value().String() }

// JSON returns the setting's value as JSON. If asText is true, a word or number
// is taken as text.
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
	data, _ := v.MarshalJSON() // Texts, finite numbers and truth values always encode.
	return data
}
