// Package change applies commands to a configuration and tells what they change.
package change

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/siskinford/siskinford/fleet/config"
)

// Action tells what happens to a member of a configuration.
type Action string

const (
	// Create adds a member.
	Create Action = "create"
	// Update changes fields of a member.
	Update Action = "change"
	// Delete removes a member.
	Delete Action = "delete"
)

// Change is what happens to one member of a configuration.
type Change struct {
	Action Action  `json:"action"`
	Object string  `json:"object"`
	Name   string  `json:"name"`
	Fields []Field `json:"fields,omitempty"`
}

// Field is one field before and after a change, as JSON.
type Field struct {
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %q", c.Action, c.Object, c.Name)
	for _, f := range c.Fields {
		if f.Before == nil {
			fmt.Fprintf(&b, " %s=%s", f.Name, f.After)
			continue
		}
		fmt.Fprintf(&b, " %s: %s -> %s", f.Name, f.Before, f.After)
	}
	return b.String()
}

// Diff returns the changes from one value of a kind to another. Both are the
// JSON of a ServiceSet, TeamSet or EndpointSet.
func Diff(kind config.Kind, before, after []byte) ([]Change, error) {
	a, err := decode(kind, before)
	if err != nil {
		return nil, err
	}
	b, err := decode(kind, after)
	if err != nil {
		return nil, err
	}
	return a.diff(b), nil
}

// diff returns the changes from s to t, in order of the members.
func (s *set) diff(t *set) []Change {
	var out []Change
	for i := range t.len() {
		after := t.member(i)
		c := Change{Action: Create, Object: s.object(), Name: nameOf(after)}
		if at := s.find(c.Name); at >= 0 {
			c.Action = Update
			c.Fields = fields(s.member(at), after)
		} else {
			c.Fields = fields(reflect.Zero(after.Type()), after)
			clearBefore(c.Fields)
		}
		if c.Action == Create || len(c.Fields) > 0 {
			out = append(out, c)
		}
	}
	for i := range s.len() {
		if name := nameOf(s.member(i)); t.find(name) < 0 {
			out = append(out, Change{Action: Delete, Object: s.object(), Name: name})
		}
	}
	return out
}

func clearBefore(f []Field) {
	for i := range f {
		f[i].Before = nil
	}
}

// fields returns the fields that differ, apart from the name.
func fields(before, after reflect.Value) []Field {
	var out []Field
	for i := range after.NumField() {
		name := jsonName(after.Type().Field(i))
		a, b := before.Field(i).Interface(), after.Field(i).Interface()
		if name == "name" || reflect.DeepEqual(a, b) {
			continue
		}
		out = append(out, Field{Name: name, Before: encode(name, a), After: encode(name, b)})
	}
	return out
}

// shownHash is the number of digits of a key hash that are shown.
const shownHash = 8

// encode returns a field as JSON. Key hashes are shortened. A weight that is not
// set is the default.
func encode(name string, v any) json.RawMessage {
	if hashes, ok := v.([]string); ok && name == "key_hashes" {
		short := slices.Clone(hashes)
		for i, h := range short {
			short[i] = h[:min(len(h), shownHash)] + "..."
		}
		v = short
	}
	if weight, ok := v.(*float64); ok && weight == nil {
		v = 1
	}
	data, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
