package lang

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/operate/table"
)

// check reports the semantic errors of a parsed statement.
func (s *Statement) check(l *finding.List) {
	c := checker{statement: s, findings: l}
	switch {
	case s.Query != nil:
		c.query(s.Query)
	case s.Command != nil:
		c.command(s.Command)
	case s.Timeline != nil:
		c.timeline(s.Timeline)
	}
}

// checker collects the findings of one statement.
type checker struct {
	statement *Statement
	findings  *finding.List
}

func (c checker) addf(at lexer.Position, format string, args ...any) {
	c.findings.Addf(c.statement.Place(at), format, args...)
}

func (c checker) query(q *Query) {
	schema, ok := schemaOf(Kind(q.Kind))
	if !ok {
		names := make([]string, len(schemas))
		for i, s := range schemas {
			names[i] = string(s.kind)
		}
		c.addf(q.Pos, "%q is neither a command nor one of the kinds %s", q.Kind, strings.Join(names, ", "))
		return
	}
	if q.Where != nil {
		c.disjunction(schema, q.Where)
	}
	for _, n := range q.Show {
		c.field(schema, n)
	}
	for _, o := range q.Order {
		c.field(schema, o.Field)
	}
	if q.Limit == nil {
		return
	}
	if n := q.Limit.Rows.Number; n == nil || *n < 0 || *n != math.Trunc(*n) || *n > math.MaxInt32 {
		c.addf(q.Limit.Rows.Pos, "limit must be a whole number of rows")
	}
}

func (c checker) field(s kindSchema, n *Name) (Column, bool) {
	column, ok := s.column(n.Text)
	if !ok {
		c.addf(n.Pos, "field %q does not exist in %q; its fields are %s", n.Text, s.kind, strings.Join(s.names(), ", "))
	}
	return column, ok
}

func (c checker) disjunction(s kindSchema, o *Or) {
	for _, and := range o.Parts {
		for _, t := range and.Parts {
			c.term(s, t)
		}
	}
}

func (c checker) term(s kindSchema, t *Term) {
	switch {
	case t.Not != nil:
		c.term(s, t.Not)
	case t.Group != nil:
		c.disjunction(s, t.Group)
	default:
		c.comparison(s, t.Compare)
	}
}

func (c checker) comparison(s kindSchema, m *Comparison) {
	column, ok := c.field(s, m.Field)
	if !ok {
		return
	}
	if v := m.Value.value(); v.Type != column.Type {
		c.addf(m.Value.Pos, "field %q is %s, %q is %s", column.Name, column.Type, v, v.Type)
	}
	if m.Op == "~" && column.Type != table.TextType {
		c.addf(m.Field.Pos, "operator ~ needs a text, field %q is %s", column.Name, column.Type)
	}
}

func (c checker) command(m *Command) {
	for _, o := range []*Object{m.Drain, m.Undrain} {
		c.requireEndpoint(o)
	}
	if m.Move != nil {
		c.requireEndpoint(m.Move.From)
		c.requireEndpoint(m.Move.To)
		if n := m.Move.Weight.Number; n == nil || *n <= 0 {
			c.addf(m.Move.Weight.Pos, "weight must be a number above 0")
		}
	}
	for _, e := range []*Edit{m.Create, m.Change} {
		if e != nil {
			c.settings(e)
		}
	}
}

func (c checker) requireEndpoint(o *Object) {
	if o != nil && o.Kind != "endpoint" {
		c.addf(o.Pos, "this command applies only to an endpoint, not to a %s", o.Kind)
	}
}

func (c checker) settings(e *Edit) {
	if e == c.statement.Command.Change && len(e.Settings) == 0 {
		c.addf(e.Object.Pos, "the command changes no field")
	}
	seen := map[string]bool{}
	for _, s := range e.Settings {
		if seen[s.Field.Text] {
			c.addf(s.Field.Pos, "field %q is given twice", s.Field.Text)
		}
		seen[s.Field.Text] = true
	}
}

func (c checker) timeline(t *Timeline) {
	for _, o := range t.Options {
		switch o.Name {
		case "since":
			if d, err := time.ParseDuration(o.Value); err != nil || d <= 0 {
				c.addf(o.Pos, "since %q is not a duration such as 5m", o.Value)
			}
		case "limit":
			if n, err := strconv.Atoi(o.Value); err != nil || n <= 0 {
				c.addf(o.Pos, "limit %q is not a number of events", o.Value)
			}
		}
	}
}
