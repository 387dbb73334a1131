// Package table represents query results as rows with named columns and renders
// them as text or JSON Lines.
package table

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Type is the type of a value.
type Type uint8

const (
	// NullType is the type of an unknown value.
	NullType Type = iota
	// TextType is the type of strings.
	TextType
	// NumberType is the type of numbers.
	NumberType
	// BoolType is the type of booleans.
	BoolType
)

// String returns the type as findings print it.
func (t Type) String() string {
	switch t {
	case TextType:
		return "a text"
	case NumberType:
		return "a number"
	case BoolType:
		return "true or false"
	}
	return "nothing"
}

// Value is the content of one cell. The zero Value is null. A boolean is stored in
// Number as 0 or 1.
type Value struct {
	Type   Type    `cbor:"1,keyasint,omitempty"`
	Text   string  `cbor:"2,keyasint,omitempty"`
	Number float64 `cbor:"3,keyasint,omitempty"`
}

// Text returns a string value.
func Text[T ~string](text T) Value { return Value{Type: TextType, Text: string(text)} }

// Number returns a number value.
func Number[T ~int | ~int64 | ~uint32 | ~uint64 | ~float64](n T) Value {
	return Value{Type: NumberType, Number: float64(n)}
}

// Bool returns a boolean value.
func Bool(b bool) Value {
	v := Value{Type: BoolType}
	if b {
		v.Number = 1
	}
	return v
}

// List returns the items as one string, separated by commas.
func List[T ~string](items []T) Value {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return Text(strings.Join(texts, ","))
}

// String returns the value as a table prints it.
func (v Value) String() string {
	switch v.Type {
	case TextType:
		return v.Text
	case NumberType:
		return strconv.FormatFloat(v.Number, 'f', -1, 64)
	case BoolType:
		return strconv.FormatBool(v.Number != 0)
	}
	return "-"
}

// Compare orders values by type, then by value. Null comes first.
func Compare(a, b Value) int {
	if a.Type != b.Type {
		return cmp.Compare(a.Type, b.Type)
	}
	if a.Type == TextType {
		return cmp.Compare(a.Text, b.Text)
	}
	return cmp.Compare(a.Number, b.Number)
}

// MarshalJSON implements json.Marshaler.
func (v Value) MarshalJSON() ([]byte, error) {
	switch v.Type {
	case TextType:
		return json.Marshal(v.Text)
	case NumberType:
		return json.Marshal(v.Number)
	case BoolType:
		return json.Marshal(v.Number != 0)
	}
	return []byte("null"), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *Value) UnmarshalJSON(data []byte) error {
	var decoded any
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	switch x := decoded.(type) {
	case nil:
		*v = Value{}
	case string:
		*v = Text(x)
	case float64:
		*v = Number(x)
	case bool:
		*v = Bool(x)
	default:
		return fmt.Errorf("value %s is neither null, a string, a number nor a boolean", data)
	}
	return nil
}
