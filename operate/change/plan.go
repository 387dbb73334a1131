package change

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/operate/lang"
)

// Plan is the wanted value of one kind of configuration.
type Plan struct {
	Kind config.Kind
	// Value is the JSON of a ServiceSet, TeamSet or EndpointSet.
	Value   []byte
	Changes []Change

	first string
	// places maps members and their fields to the place of the last command that
	// named them.
	places map[memberField]string
}

// KindOf returns the kind that the commands change. Commands of several kinds
// are refused: kinds are separate objects of the platform, and nothing could
// promise that either all or none of them are accepted.
func KindOf(statements []*lang.Statement) (config.Kind, finding.List) {
	var l finding.List
	var kind config.Kind
	for _, s := range statements {
		k := kindOf(s.Command)
		if kind == "" {
			kind = k
		}
		if k != kind {
			l.Addf(s.Start(), "the command changes %s, the commands before it %s; each kind is accepted by itself, give them in separate scripts",
				k, kind)
		}
	}
	return kind, l
}

func kindOf(c *lang.Command) config.Kind {
	object := "endpoint"
	for _, e := range []*lang.Edit{c.Create, c.Change} {
		if e != nil {
			object = e.Object.Kind
		}
	}
	if c.Delete != nil {
		object = c.Delete.Kind
	}
	return config.Kind(object + "s")
}

// memberField is a field of the member at a position, or the member itself.
type memberField struct {
	position int
	field    string
}

// namedField is a field of a named member, or the member itself.
type namedField struct{ name, field string }

// planner applies commands one after the other.
type planner struct {
	set       *set
	statement *lang.Statement
	findings  finding.List
	// touched maps members and fields to the place of the last command.
	touched map[namedField]string
}

// NewPlan applies commands of one kind to a value and validates the result by
// itself. The findings carry the line and column of the command that they are about.
func NewPlan(kind config.Kind, value []byte, statements []*lang.Statement) (*Plan, finding.List, error) {
	before, err := decode(kind, value)
	if err != nil {
		return nil, nil, err
	}
	after, err := decode(kind, value)
	if err != nil {
		return nil, nil, err
	}
	p := &planner{set: after, touched: make(map[namedField]string)}
	for _, s := range statements {
		p.statement = s
		p.apply(s.Command)
	}
	plan := &Plan{Kind: kind, Changes: before.diff(after), first: statements[0].Start(), places: make(map[memberField]string)}
	for named, place := range p.touched {
		if i := after.find(named.name); i >= 0 {
			plan.places[memberField{i, named.field}] = place
		}
	}
	if plan.Value, err = after.encode(); err != nil {
		return nil, nil, err
	}
	return plan, append(p.findings, plan.Locate(config.Validate(after.value))...), nil
}

func (p *planner) addf(place, format string, args ...any) { p.findings.Addf(place, format, args...) }

func (p *planner) apply(c *lang.Command) {
	switch {
	case c.Create != nil:
		p.create(c.Create)
	case c.Change != nil:
		if m, ok := p.member(c.Change.Object); ok {
			p.assign(m, c.Change.Settings)
		}
	case c.Delete != nil:
		if _, ok := p.member(c.Delete); ok {
			p.set.remove(p.set.find(name(c.Delete)))
		}
	case c.Drain != nil:
		p.drain(c.Drain, true)
	case c.Undrain != nil:
		p.drain(c.Undrain, false)
	case c.Move != nil:
		p.move(c.Move)
	}
}

// name returns the name of an object as it is written.
func name(o *lang.Object) string { return o.Name.String() }

// member returns an existing member.
func (p *planner) member(o *lang.Object) (reflect.Value, bool) {
	i := p.set.find(name(o))
	if i < 0 {
		p.addf(p.statement.Place(o.Name.Pos), "%s %q does not exist", o.Kind, name(o))
		return reflect.Value{}, false
	}
	p.touched[namedField{name: name(o)}] = p.statement.Start()
	return p.set.member(i), true
}

func (p *planner) create(e *lang.Edit) {
	if p.set.find(name(e.Object)) >= 0 {
		p.addf(p.statement.Place(e.Object.Name.Pos), "%s %q exists already", e.Object.Kind, name(e.Object))
		return
	}
	p.touched[namedField{name: name(e.Object)}] = p.statement.Start()
	p.assign(p.set.add(name(e.Object)), e.Settings)
}

func (p *planner) drain(o *lang.Object, drain bool) {
	if m, ok := p.member(o); ok {
		m.FieldByName("Drain").SetBool(drain)
	}
}

// move moves weight from one endpoint to another of the same service.
func (p *planner) move(m *lang.Move) {
	from, ok := p.member(m.From)
	to, also := p.member(m.To)
	if !ok || !also {
		return
	}
	a, b := from.Addr().Interface().(*config.Endpoint), to.Addr().Interface().(*config.Endpoint)
	amount := *m.Weight.Number
	switch {
	case a.Name == b.Name:
		p.addf(p.statement.Place(m.To.Name.Pos), "endpoint %q is both source and target", a.Name)
	case a.Service != b.Service:
		p.addf(p.statement.Place(m.To.Name.Pos), "endpoint %q belongs to service %q, endpoint %q to %q", b.Name, b.Service, a.Name, a.Service)
	case weight(a) < amount:
		p.addf(p.statement.Place(m.Weight.Pos), "endpoint %q has weight %v, less than %v", a.Name, weight(a), amount)
	default:
		x, y := weight(a)-amount, weight(b)+amount
		a.Weight, b.Weight = &x, &y
	}
}

func weight(e *config.Endpoint) float64 {
	if e.Weight == nil {
		return 1
	}
	return *e.Weight
}

var memberPlace = regexp.MustCompile(`^[a-z]+\[(\d+)\]\.?`)

// Locate replaces places inside the value, such as "endpoints[3].weight", by the
// line and column of the command that last named the member.
func (p *Plan) Locate(l finding.List) finding.List {
	out := make(finding.List, 0, len(l))
	for _, f := range l {
		out = append(out, p.locate(f))
	}
	return out
}

func (p *Plan) locate(f finding.Finding) finding.Finding {
	m := memberPlace.FindStringSubmatch(f.Place)
	if m == nil {
		return finding.Finding{Place: p.first, Message: f.Message}
	}
	i, _ := strconv.Atoi(m[1])
	field := strings.TrimPrefix(f.Place, m[0])
	name, _, _ := strings.Cut(field, "[")
	place, ok := p.places[memberField{i, name}]
	if !ok {
		place, ok = p.places[memberField{position: i}]
	}
	if !ok {
		return finding.Finding{Place: p.first, Message: fmt.Sprintf("%s: %s", f.Place, f.Message)}
	}
	return finding.Finding{Place: place, Message: strings.TrimPrefix(fmt.Sprintf("%s: %s", field, f.Message), ": ")}
}

// assign gives fields of a member their values.
func (p *planner) assign(member reflect.Value, settings []*lang.Setting) {
	for _, s := range settings {
		field, ok := fieldOf(member, s.Field.Text)
		if !ok {
			p.addf(p.statement.Place(s.Field.Pos), "field %q does not exist on a %s", s.Field.Text, p.set.object())
			continue
		}
		data := s.JSON(field.Kind() == reflect.String)
		fresh := reflect.New(field.Type())
		if err := json.Unmarshal(data, fresh.Interface()); err != nil {
			p.addf(p.statement.Place(s.Field.Pos), "field %q cannot have the value %s", s.Field.Text, data)
			continue
		}
		field.Set(fresh.Elem())
		p.touched[namedField{nameOf(member), s.Field.Text}] = p.statement.Place(s.Field.Pos)
	}
}

func fieldOf(member reflect.Value, name string) (reflect.Value, bool) {
	for i := range member.NumField() {
		if jsonName(member.Type().Field(i)) == name && name != "name" {
			return member.Field(i), true
		}
	}
	return reflect.Value{}, false
}
