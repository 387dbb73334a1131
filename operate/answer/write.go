package answer

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Format is an output format.
type Format string

const (
	// Text prints aligned tables.
	Text Format = "text"
	// JSONLines prints one JSON object per line.
	JSONLines Format = "jsonl"
)

// origin is the last line of an answer in JSON Lines.
type origin struct {
	Statement string    `json:"statement"`
	AsOf      time.Time `json:"as_of"`
	Processes []string  `json:"processes"`
	Missing   []Missing `json:"missing"`
	Truncated bool      `json:"truncated"`
}

func writeLine(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(data, '\n'))
	return err
}

func (r *Reply) Write(w io.Writer, f Format) error {
	if f == JSONLines {
		return r.writeJSONLines(w)
	}
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	for i := range r.Answers {
		if err := r.Answers[i].WriteText(w); err != nil {
			return err
		}
	}
	if r.Plan != nil {
		if err := r.Plan.WriteText(w); err != nil {
			return err
		}
	}
	if r.Error != "" {
		fmt.Fprintln(w, r.Error)
	}
	return nil
}

func (r *Reply) writeJSONLines(w io.Writer) error {
	for _, f := range r.Findings {
		if err := writeLine(w, f); err != nil {
			return err
		}
	}
	for i := range r.Answers {
		if err := r.Answers[i].WriteJSONLines(w); err != nil {
			return err
		}
	}
	if r.Plan != nil {
		if err := writeLine(w, r.Plan); err != nil {
			return err
		}
	}
	if r.Error == "" {
		return nil
	}
	return writeLine(w, struct {
		Error string `json:"error"`
	}{r.Error})
}
