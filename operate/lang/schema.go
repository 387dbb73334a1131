package lang

import (
	"slices"

	"github.com/siskinford/siskinford/operate/table"
)

// Kind is a queryable kind of row, such as endpoints.
type Kind string

const (
	Services       Kind = "services"
	Teams          Kind = "teams"
	Endpoints      Kind = "endpoints"
	Replicas       Kind = "replicas"
	Groups         Kind = "groups"
	Maps           Kind = "maps"
	Configurations Kind = "configurations"
	Requests       Kind = "requests"
	Hosts          Kind = "hosts"
	Zones          Kind = "zones"
	Duties         Kind = "duties"
)

// Column is one field of a kind.
type Column struct {
	Name string
	Type table.Type
}

func text(name string) Column { return Column{Name: name, Type: table.TextType} }

func number(name string) Column { return Column{Name: name, Type: table.NumberType} }

func boolean(name string) Column { return Column{Name: name, Type: table.BoolType} }

// kindSchema lists the columns of one kind.
type kindSchema struct {
	kind    Kind
	columns []Column
	// keys is the number of leading columns that identify a row.
	keys int
}

// Columns whose names end in _ms are in milliseconds.
var schemas = []kindSchema{
	{Services, []Column{text("name"), text("type"), text("model"), number("deadline_ms"), boolean("idempotent"), text("group"), number("endpoints"), number("version")}, 1},
	{Teams, []Column{text("name"), number("weight"), number("tokens_per_second"), text("services"), number("keys"), number("version")}, 1},
	{Endpoints, []Column{
		text("name"), text("service"), text("zone"), text("host"), text("address"), number("weight"), boolean("drain"),
		text("state"), number("queue"), number("running"), number("slots"), number("step_ms"), number("report_age_ms"), number("version"),
	}, 1},
	{Replicas, []Column{
		text("endpoint"), text("entry"), text("service"), text("zone"), text("incarnation"), text("state"), number("wait_ms"),
		number("error_ms"), number("report_age_ms"), number("open_requests"), number("open_tokens"),
	}, 2},
	{Groups, []Column{text("name"), text("service"), number("ranks"), number("epoch"), text("state")}, 1},
	{Maps, []Column{text("group"), number("version"), text("state")}, 2},
	{Configurations, []Column{text("kind"), text("process"), number("version"), text("writer"), text("written_at")}, 2},
	{Requests, []Column{
		text("request"), text("entry"), text("team"), text("service"), text("endpoint"), number("tries"),
		text("state"), text("detail"), text("started_at"), number("age_ms"),
	}, 2},
	{Hosts, []Column{text("name"), text("zone"), text("role"), text("address"), text("state"), text("seen_by")}, 1},
	{Zones, []Column{text("name"), text("seen_by"), boolean("reachable"), number("entries"), number("age_ms")}, 2},
	{Duties, []Column{text("name"), text("zone"), text("holder"), text("seen_by")}, 4},
}

func schemaOf(k Kind) (kindSchema, bool) {
	i := slices.IndexFunc(schemas, func(s kindSchema) bool { return s.kind == k })
	if i < 0 {
		return kindSchema{}, false
	}
	return schemas[i], true
}

// Kinds returns all kinds of rows.
func Kinds() []Kind {
	out := make([]Kind, len(schemas))
	for i, s := range schemas {
		out[i] = s.kind
	}
	return out
}

// Columns returns the columns of a kind and the number of leading ones that identify a row.
func Columns(k Kind) (columns []Column, keys int) {
	s, _ := schemaOf(k)
	return s.columns, s.keys
}

// NewTable returns an empty table with the columns of a kind.
func NewTable(k Kind) *table.Table {
	columns, _ := Columns(k)
	t := &table.Table{}
	for _, c := range columns {
		t.Columns = append(t.Columns, c.Name)
	}
	return t
}

func (s kindSchema) column(name string) (Column, bool) {
	for _, c := range s.columns {
		if c.Name == name {
			return c, true
		}
	}
	return Column{}, false
}

func (s kindSchema) names() []string {
	out := make([]string, len(s.columns))
	for i, c := range s.columns {
		out[i] = c.Name
	}
	return out
}
