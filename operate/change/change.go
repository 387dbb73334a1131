// Package change applies operators' commands to a configuration and lists the changes.
package change

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/siskinford/siskinford/fleet/config"
)

// Action is the kind of a change.
type Action string

const (
	// Create adds a member.
	Create Action = "create"
	// Update changes fields of a member.
	Update Action = "change"
	// Delete removes a member.
	Delete Action = "delete"
)

// Change is a change of one member of a configuration.
type Change struct {
	Action Action  `json:"action"`
	Object string  `json:"object"`
	Name   string  `json:"name"`
	Fields []Field `json:"fields,omitempty"`
}

// Field is the JSON of one field before and after a change. Before is nil if the
// member is created.
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

// diff returns the changes from s to t in member order, deletions last.
func (s *memberSet) diff(t *memberSet) []Change {
	var out []Change
	for i := range t.len() {
		after := t.member(i)
		c := Change{Action: Create, Object: s.object(), Name: nameOf(after)}
		if index := s.find(c.Name); index >= 0 {
			c.Action = Update
			c.Fields = changedFields(s.member(index), after)
		} else {
			c.Fields = changedFields(reflect.Zero(after.Type()), after)
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

// changedFields returns the fields that differ, without the name.
func changedFields(before, after reflect.Value) []Field {
	var out []Field
	for i := range after.NumField() {
		name := jsonName(after.Type().Field(i))
		a, b := before.Field(i).Interface(), after.Field(i).Interface()
		if name == "name" || reflect.DeepEqual(a, b) {
			continue
		}
		out = append(out, Field{Name: name, Before: encodeField(name, a), After: encodeField(name, b)})
	}
	return out
}

// shownHashDigits is the number of leading digits of a key hash that are shown.
const shownHashDigits = 8

// encodeField returns a field as JSON. Key hashes are shortened; an unset weight is
// shown as its default, 1.
func encodeField(name string, v any) json.RawMessage {
	if hashes, ok := v.([]string); ok && name == "key_hashes" {
		shortened := slices.Clone(hashes)
		for i, h := range shortened {
			shortened[i] = h[:min(len(h), shownHashDigits)] + "..."
		}
		v = shortened
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
