package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// Row holds one value for each column.
type Row []Value

// Table is a list of rows with named columns.
type Table struct {
	Columns []string `json:"columns" cbor:"1,keyasint"`
	Rows    []Row    `json:"rows" cbor:"2,keyasint"`
}

// ColumnIndex returns the index of a column, or -1.
func (t *Table) ColumnIndex(name string) int {
	for i, c := range t.Columns {
		if c == name {
			return i
		}
	}
	return -1
}

// WriteText writes the table with aligned columns.
func (t *Table) WriteText(w io.Writer) error {
	widths := make([]int, len(t.Columns))
	for i, c := range t.Columns {
		widths[i] = utf8.RuneCountInString(c)
	}
	for _, r := range t.Rows {
		for i, v := range r {
			widths[i] = max(widths[i], utf8.RuneCountInString(replaceControl(v.String())))
		}
	}
	var b strings.Builder
	header := make([]string, len(t.Columns))
	for i, c := range t.Columns {
		header[i] = strings.ToUpper(c)
	}
	writeLine(&b, header, widths)
	for _, r := range t.Rows {
		cells := make([]string, len(r))
		for i, v := range r {
			cells[i] = replaceControl(v.String())
		}
		writeLine(&b, cells, widths)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// replaceControl replaces control characters by spaces, so that a value cannot send
// escape sequences to the operator's terminal.
func replaceControl(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}

func writeLine(b *strings.Builder, cells []string, widths []int) {
	var line strings.Builder
	for i, c := range cells {
		fmt.Fprintf(&line, "%s%s  ", c, strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c)))
	}
	b.WriteString(strings.TrimRight(line.String(), " "))
	b.WriteByte('\n')
}

// WriteJSONLines writes one JSON object for each row, its members in column order.
func (t *Table) WriteJSONLines(w io.Writer) error {
	var b bytes.Buffer
	for _, r := range t.Rows {
		b.WriteByte('{')
		for i, v := range r {
			if i > 0 {
				b.WriteByte(',')
			}
			if err := writeMember(&b, t.Columns[i], v); err != nil {
				return err
			}
		}
		b.WriteString("}\n")
	}
	_, err := w.Write(b.Bytes())
	return err
}

func writeMember(b *bytes.Buffer, name string, v Value) error {
	key, err := json.Marshal(name)
	if err != nil {
		return err
	}
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b.Write(key)
	b.WriteByte(':')
	b.Write(value)
	return nil
}
