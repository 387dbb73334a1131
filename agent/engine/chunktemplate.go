package engine

import (
	"bytes"
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// chunkTemplate is the fixed part of a stream's chunks. Engines send the same chunk
// for each token with only the text changed, so that a chunk that matches an
// earlier one needs no JSON decoding.
type chunkTemplate struct {
	prefix, suffix []byte
}

var textKey = []byte(`"text":"`)

// set derives the template from a chunk that carries only the given text. If the text
// cannot be located reliably, the template becomes empty and matches nothing.
func (t *chunkTemplate) set(data []byte, text string) {
	*t = chunkTemplate{}
	at := bytes.Index(data, textKey)
	if at < 0 || !isLiteral([]byte(text)) {
		return
	}
	start := at + len(textKey)
	if !bytes.HasPrefix(data[start:], []byte(text+`"`)) {
		return
	}
	template := chunkTemplate{prefix: bytes.Clone(data[:start]), suffix: bytes.Clone(data[start+len(text):])}
	if template.valid() {
		*t = template
	}
}

// valid reports whether the part between prefix and suffix is the text of the
// choice, and not of another field.
func (t *chunkTemplate) valid() bool {
	const probe = "probe"
	var chunk Chunk
	err := json.Unmarshal(slices.Concat(t.prefix, []byte(probe), t.suffix), &chunk)
	return err == nil && chunk.isText() && chunk.Choices[0].Text == probe
}

// match returns the text of a chunk that differs from the template in its text only.
func (t *chunkTemplate) match(data []byte) ([]byte, bool) {
	if len(t.prefix) == 0 || len(data) < len(t.prefix)+len(t.suffix) {
		return nil, false
	}
	if !bytes.HasPrefix(data, t.prefix) || !bytes.HasSuffix(data, t.suffix) {
		return nil, false
	}
	text := data[len(t.prefix) : len(data)-len(t.suffix)]
	return text, isLiteral(text)
}

// isLiteral reports whether text is the same inside a JSON string, without escapes.
func isLiteral(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
