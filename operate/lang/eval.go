package lang

import (
	"slices"
	"strings"

	"github.com/siskinford/siskinford/operate/table"
)

// Apply filters, sorts, limits and projects a table that has the columns of the
// query's kind. The query must have no findings.
func (q *Query) Apply(t *table.Table) *table.Table {
	out := &table.Table{Columns: t.Columns}
	for _, r := range t.Rows {
		if q.Where == nil || q.Where.holds(t, r) {
			out.Rows = append(out.Rows, r)
		}
	}
	q.sort(out)
	if q.Limit != nil {
		out.Rows = out.Rows[:min(len(out.Rows), int(*q.Limit.Rows.Number))]
	}
	return q.project(out)
}

// sort sorts the rows by the sort keys, then by all columns from the left.
func (q *Query) sort(t *table.Table) {
	slices.SortStableFunc(t.Rows, func(a, b table.Row) int {
		for _, o := range q.Order {
			i := t.ColumnIndex(o.Field.Text)
			c := table.Compare(a[i], b[i])
			if o.Desc {
				c = -c
			}
			if c != 0 {
				return c
			}
		}
		return slices.CompareFunc(a, b, table.Compare)
	})
}

func (q *Query) project(t *table.Table) *table.Table {
	if len(q.Show) == 0 {
		return t
	}
	out := &table.Table{}
	positions := make([]int, len(q.Show))
	for i, n := range q.Show {
		positions[i] = t.ColumnIndex(n.Text)
		out.Columns = append(out.Columns, n.Text)
	}
	for _, r := range t.Rows {
		row := make(table.Row, len(positions))
		for i, p := range positions {
			row[i] = r[p]
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

func (o *Or) holds(t *table.Table, r table.Row) bool {
	return slices.ContainsFunc(o.Parts, func(a *And) bool { return a.holds(t, r) })
}

func (a *And) holds(t *table.Table, r table.Row) bool {
	return !slices.ContainsFunc(a.Parts, func(x *Term) bool { return !x.holds(t, r) })
}

func (x *Term) holds(t *table.Table, r table.Row) bool {
	switch {
	case x.Not != nil:
		return !x.Not.holds(t, r)
	case x.Group != nil:
		return x.Group.holds(t, r)
	}
	return x.Compare.holds(r[t.ColumnIndex(x.Compare.Field.Text)])
}

// holds evaluates the comparison. Null satisfies != with every literal and no other
// operator.
func (m *Comparison) holds(v table.Value) bool {
	if v.Type == table.NullType {
		return m.Op == "!="
	}
	want := m.Value.value()
	if m.Op == "~" {
		return strings.Contains(v.Text, want.Text)
	}
	c := table.Compare(v, want)
	switch m.Op {
	case "=":
		return c == 0
	case "!=":
		return c != 0
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	}
	return c >= 0
}
