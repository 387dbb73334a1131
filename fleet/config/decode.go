package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"strings"

	"github.com/siskinford/siskinford/core/finding"
)

// decodeStrict decodes JSON into v, a pointer to a struct. It reports all unknown,
// duplicate and mistyped fields with their place, such as "services[3].name", and a
// syntax error with line and column. Field names are case-sensitive.
func decodeStrict(data []byte, v any) finding.List {
	d := &strictDecoder{data: data, json: json.NewDecoder(bytes.NewReader(data))}
	d.json.UseNumber()
	d.value("", reflect.TypeOf(v).Elem())
	if !d.malformed {
		d.checkEnd()
	}
	if len(d.findings) > 0 {
		return d.findings
	}
	if err := json.Unmarshal(data, v); err != nil {
		d.findings.Addf("", "%v", err)
	}
	return d.findings
}

// strictDecoder compares the tokens of a document with a Go type.
type strictDecoder struct {
	data     []byte
	json     *json.Decoder
	findings finding.List
	// malformed is set after a syntax error, which ends the decoding.
	malformed bool
}

func (d *strictDecoder) token() json.Token {
	t, err := d.json.Token()
	if err == nil {
		return t
	}
	d.malformed = true
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	line, column := position(d.data, d.syntaxOffset())
	d.findings.Addf(fmt.Sprintf("line %d, column %d", line, column), "%v", err)
	return nil
}

// syntaxOffset returns the number of bytes up to and including the syntax error. The
// offsets in errors of json.Decoder.Token are relative to its buffer.
func (d *strictDecoder) syntaxOffset() int64 {
	var discard any
	err := json.Unmarshal(d.data, &discard)
	if syntax, ok := err.(*json.SyntaxError); ok {
		return syntax.Offset
	}
	return d.json.InputOffset()
}

// position converts a byte offset into a one-based line and column.
func position(data []byte, offset int64) (line, column int) {
	before := data[:min(int(offset), len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = max(1, len(before)-(bytes.LastIndexByte(before, '\n')+1))
	return line, column
}

func (d *strictDecoder) checkEnd() {
	if _, err := d.json.Token(); err != io.EOF {
		line, column := position(d.data, d.json.InputOffset())
		d.findings.Addf(fmt.Sprintf("line %d, column %d", line, column), "text follows the document")
	}
}

// value checks one value against t. A nil t accepts anything.
func (d *strictDecoder) value(place string, t reflect.Type) {
	if t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	token := d.token()
	if d.malformed {
		return
	}
	delim, ok := token.(json.Delim)
	switch {
	case !ok:
		d.scalar(place, t, token)
	case delim == '{':
		d.object(place, d.container(place, t, reflect.Struct))
	default:
		d.array(place, d.container(place, t, reflect.Slice))
	}
}

// container returns t if it is nil or of kind found, and otherwise nil after a finding.
func (d *strictDecoder) container(place string, t reflect.Type, found reflect.Kind) reflect.Type {
	if t == nil || t.Kind() == found {
		return t
	}
	d.findings.Addf(place, "must be %s, not %s", kindText(t.Kind()), kindText(found))
	return nil
}

func (d *strictDecoder) object(place string, t reflect.Type) {
	seen := make(map[string]bool)
	for d.json.More() {
		token := d.token()
		if d.malformed {
			return
		}
		name, _ := token.(string)
		inner := joinPlace(place, name)
		if seen[name] {
			d.findings.Addf(inner, "field %q is repeated", name)
		}
		seen[name] = true
		d.value(inner, d.field(inner, name, t))
		if d.malformed {
			return
		}
	}
	d.token()
}

func (d *strictDecoder) field(place, name string, t reflect.Type) reflect.Type {
	if t == nil {
		return nil
	}
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type
		}
	}
	d.findings.Addf(place, "unknown field %q", name)
	return nil
}

func (d *strictDecoder) array(place string, t reflect.Type) {
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; d.json.More(); i++ {
		d.value(fmt.Sprintf("%s[%d]", place, i), element)
		if d.malformed {
			return
		}
	}
	d.token()
}

func (d *strictDecoder) scalar(place string, t reflect.Type, token json.Token) {
	if t == nil {
		return
	}
	ok := false
	switch x := token.(type) {
	case string:
		ok = t.Kind() == reflect.String
	case bool:
		ok = t.Kind() == reflect.Bool
	case json.Number:
		ok = fitsKind(x, t.Kind())
	}
	if !ok {
		d.findings.Addf(place, "must be %s, not %s", kindText(t.Kind()), tokenText(token))
	}
}

func fitsKind(n json.Number, k reflect.Kind) bool {
	switch k {
	case reflect.Int:
		_, err := n.Int64()
		return err == nil
	case reflect.Float64:
		f, err := n.Float64()
		return err == nil && !math.IsInf(f, 0)
	default:
		return false
	}
}

func kindText(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	default:
		return "an object"
	}
}

func tokenText(token json.Token) string {
	if token == nil {
		return "null"
	}
	return fmt.Sprintf("%#v", token)
}

func joinPlace(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}
