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

// Plan is the result of applying commands to one kind of configuration.
type Plan struct {
	Kind config.Kind
	// Value is the JSON of a ServiceSet, TeamSet or EndpointSet.
	Value   []byte
	Changes []Change

	// firstPlace is the place of the first command.
	firstPlace string
	// places maps members and fields to the place of the last command that set them.
	places map[memberField]string
}

// KindOf returns the kind that the commands change. Commands of several kinds
// are refused: each kind is a separate object of the platform, so the commands could
// not be committed atomically.
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

// memberField is a field of the member at an index, or the member if field is empty.
type memberField struct {
	index int
	field string
}

// namedField is a field of a named member, or the member if field is empty.
type namedField struct{ name, field string }

// planner applies commands to a set in sequence.
type planner struct {
	set       *memberSet
	statement *lang.Statement
	findings  finding.List
	// places is Plan.places by name, since deletions shift indices.
	places map[namedField]string
}

// NewPlan applies commands of one kind to a value and validates the result
// without the other kinds. Findings have the line and column of their command.
func NewPlan(kind config.Kind, value []byte, statements []*lang.Statement) (*Plan, finding.List, error) {
	before, err := decode(kind, value)
	if err != nil {
		return nil, nil, err
	}
	after, err := decode(kind, value)
	if err != nil {
		return nil, nil, err
	}
	p := &planner{set: after, places: make(map[namedField]string)}
	for _, s := range statements {
		p.statement = s
		p.apply(s.Command)
	}
	plan := &Plan{Kind: kind, Changes: before.diff(after), firstPlace: statements[0].Start(), places: make(map[memberField]string)}
	for named, place := range p.places {
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
		if m, ok := p.lookup(c.Change.Object); ok {
			p.assign(m, c.Change.Settings)
		}
	case c.Delete != nil:
		if _, ok := p.lookup(c.Delete); ok {
			p.set.remove(p.set.find(objectName(c.Delete)))
		}
	case c.Drain != nil:
		p.drain(c.Drain, true)
	case c.Undrain != nil:
		p.drain(c.Undrain, false)
	case c.Move != nil:
		p.move(c.Move)
	}
}

func objectName(o *lang.Object) string { return o.Name.String() }

// lookup returns the member that o refers to, or adds a finding if there is none.
func (p *planner) lookup(o *lang.Object) (reflect.Value, bool) {
	i := p.set.find(objectName(o))
	if i < 0 {
		p.addf(p.statement.Place(o.Name.Pos), "%s %q does not exist", o.Kind, objectName(o))
		return reflect.Value{}, false
	}
	p.places[namedField{name: objectName(o)}] = p.statement.Start()
	return p.set.member(i), true
}

func (p *planner) create(e *lang.Edit) {
	if p.set.find(objectName(e.Object)) >= 0 {
		p.addf(p.statement.Place(e.Object.Name.Pos), "%s %q exists already", e.Object.Kind, objectName(e.Object))
		return
	}
	p.places[namedField{name: objectName(e.Object)}] = p.statement.Start()
	p.assign(p.set.add(objectName(e.Object)), e.Settings)
}

func (p *planner) drain(o *lang.Object, drain bool) {
	if m, ok := p.lookup(o); ok {
		m.FieldByName("Drain").SetBool(drain)
	}
}

// move moves weight from one endpoint to another of the same service.
func (p *planner) move(m *lang.Move) {
	from, fromExists := p.lookup(m.From)
	to, toExists := p.lookup(m.To)
	if !fromExists || !toExists {
		return
	}
	a, b := from.Addr().Interface().(*config.Endpoint), to.Addr().Interface().(*config.Endpoint)
	amount := *m.Weight.Number
	switch {
	case a.Name == b.Name:
		p.addf(p.statement.Place(m.To.Name.Pos), "endpoint %q is both source and target", a.Name)
	case a.Service != b.Service:
		p.addf(p.statement.Place(m.To.Name.Pos), "endpoint %q belongs to service %q, endpoint %q to %q", b.Name, b.Service, a.Name, a.Service)
	case effectiveWeight(a) < amount:
		p.addf(p.statement.Place(m.Weight.Pos), "endpoint %q has weight %v, less than %v", a.Name, effectiveWeight(a), amount)
	default:
		x, y := effectiveWeight(a)-amount, effectiveWeight(b)+amount
		a.Weight, b.Weight = &x, &y
	}
}

func effectiveWeight(e *config.Endpoint) float64 {
	if e.Weight == nil {
		return 1
	}
	return *e.Weight
}

var memberPlacePattern = regexp.MustCompile(`^[a-z]+\[(\d+)\]\.?`)

// Locate replaces places inside the value, such as "endpoints[3].weight", by the
// line and column of the command that last set the member.
func (p *Plan) Locate(l finding.List) finding.List {
	out := make(finding.List, 0, len(l))
	for _, f := range l {
		out = append(out, p.locate(f))
	}
	return out
}

func (p *Plan) locate(f finding.Finding) finding.Finding {
	m := memberPlacePattern.FindStringSubmatch(f.Place)
	if m == nil {
		return finding.Finding{Place: p.firstPlace, Message: f.Message}
	}
	i, _ := strconv.Atoi(m[1])
	field := strings.TrimPrefix(f.Place, m[0])
	name, _, _ := strings.Cut(field, "[")
	place, ok := p.places[memberField{i, name}]
	if !ok {
		place, ok = p.places[memberField{index: i}]
	}
	if !ok {
		return finding.Finding{Place: p.firstPlace, Message: fmt.Sprintf("%s: %s", f.Place, f.Message)}
	}
	return finding.Finding{Place: place, Message: strings.TrimPrefix(fmt.Sprintf("%s: %s", field, f.Message), ": ")}
}

// assign sets fields of a member.
func (p *planner) assign(member reflect.Value, settings []*lang.Setting) {
	for _, s := range settings {
		field, ok := fieldOf(member, s.Field.Text)
		if !ok {
			p.addf(p.statement.Place(s.Field.Pos), "field %q does not exist on a %s", s.Field.Text, p.set.object())
			continue
		}
		data := s.JSON(field.Kind() == reflect.String)
		value := reflect.New(field.Type())
		if err := json.Unmarshal(data, value.Interface()); err != nil {
			p.addf(p.statement.Place(s.Field.Pos), "field %q cannot have the value %s", s.Field.Text, data)
			continue
		}
		field.Set(value.Elem())
		p.places[namedField{nameOf(member), s.Field.Text}] = p.statement.Place(s.Field.Pos)
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
