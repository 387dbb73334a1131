package change

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/fleet/config"
)

// memberSet gives access by name to the members of a *config.ServiceSet,
// *config.TeamSet or *config.EndpointSet.
type memberSet struct {
	kind  config.Kind
	value any
	// members is the slice inside value.
	members reflect.Value
}

// decode decodes the value of a kind. An empty value is an empty set.
func decode(kind config.Kind, data []byte) (*memberSet, error) {
	s := &memberSet{kind: kind}
	switch kind {
	case config.KindServices:
		s.value = &config.ServiceSet{}
	case config.KindTeams:
		s.value = &config.TeamSet{}
	case config.KindEndpoints:
		s.value = &config.EndpointSet{}
	default:
		return nil, errors.Newf("unknown kind of configuration %q", string(kind))
	}
	if len(data) > 0 {
		if err := json.Unmarshal(data, s.value); err != nil {
			return nil, errors.Wrapf(err, "configuration %q cannot be decoded", string(kind))
		}
	}
	s.members = reflect.ValueOf(s.value).Elem().Field(0)
	return s, nil
}

// object returns the kind in the singular, such as "endpoint".
func (s *memberSet) object() string { return string(s.kind[:len(s.kind)-1]) }

func (s *memberSet) len() int { return s.members.Len() }

// member returns the addressable struct of the member at an index.
func (s *memberSet) member(i int) reflect.Value { return s.members.Index(i) }

// find returns the index of a member, or -1.
func (s *memberSet) find(name string) int {
	for i := range s.len() {
		if nameOf(s.member(i)) == name {
			return i
		}
	}
	return -1
}

// add appends a member and returns it.
func (s *memberSet) add(name string) reflect.Value {
	m := reflect.New(s.members.Type().Elem()).Elem()
	m.FieldByName("Name").SetString(name)
	s.members.Set(reflect.Append(s.members, m))
	return s.member(s.len() - 1)
}

func (s *memberSet) remove(i int) {
	rest := reflect.AppendSlice(s.members.Slice(0, i), s.members.Slice(i+1, s.len()))
	s.members.Set(rest)
}

func nameOf(member reflect.Value) string { return member.FieldByName("Name").String() }

// encode returns the set as JSON, never with a null list.
func (s *memberSet) encode() ([]byte, error) {
	if s.members.IsNil() {
		s.members.Set(reflect.MakeSlice(s.members.Type(), 0, 0))
	}
	return json.Marshal(s.value)
}
