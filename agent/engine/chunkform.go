package engine

import (
	"bytes"
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// chunkForm is what the chunks of one stream have in common. Engines repeat
// the same chunk for each token with another text, so that after one chunk was
// decoded, those of the same form need no decoding.
type chunkForm struct {
	prefix, suffix []byte
}

var textKey = []byte(`"text":"`)

// learn takes the form of a chunk that was decoded to the given text only.
func (f *chunkForm) learn(data []byte, text string) {
	*f = chunkForm{}
	at := bytes.Index(data, textKey)
	if at < 0 || !isPlain([]byte(text)) {
		return
	}
	start := at + len(textKey)
	if !bytes.HasPrefix(data[start:], []byte(text+`"`)) {
		return
	}
	form := chunkForm{prefix: bytes.Clone(data[:start]), suffix: bytes.Clone(data[start+len(text):])}
	if form.holdsText() {
		*f = form
	}
}

// holdsText verifies that what stands between prefix and suffix is the text of
// the choice, and not of another part of the chunk.
func (f *chunkForm) holdsText() bool {
	const probe = "probe"
	var chunk Chunk
	err := json.Unmarshal(slices.Concat(f.prefix, []byte(probe), f.suffix), &chunk)
	return err == nil && chunk.isText() && chunk.Choices[0].Text == probe
}

// text returns the text of a chunk that differs from the learned one in its
// text only.
func (f *chunkForm) text(data []byte) ([]byte, bool) {
	if len(f.prefix) == 0 || len(data) < len(f.prefix)+len(f.suffix) {
		return nil, false
	}
	if !bytes.HasPrefix(data, f.prefix) || !bytes.HasSuffix(data, f.suffix) {
		return nil, false
	}
	text := data[len(f.prefix) : len(data)-len(f.suffix)]
	return text, isPlain(text)
}

// isPlain reports whether the text stands for itself in a JSON string.
func isPlain(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
