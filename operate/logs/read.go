// Package logs explains what became of a request from the log lines of all
// processes, as they were collected. It needs no process to be up.
package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Program string    `json:"program"`
	Host    string    `json:"host"`
	Event   string    `json:"event"`
	Request string    `json:"request"`
	Service string    `json:"service"`
	Message string    `json:"message"`
	// Fields holds the other fields of the line.
	Fields map[string]any `json:"-"`
}

// known lists the fields of a Line that are no other fields.
var known = []string{"time", "level", "program", "host", "event", "request", "service", "message"}

// maxLine bounds a line, far above what processes write. Unit: bytes.
const maxLine = 1 << 20

// Read returns the lines that hold an event. Other output of the processes is
// skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		var l Line
		if json.Unmarshal(scan.Bytes(), &l) != nil || l.Event == "" {
			skipped++
			continue
		}
		if err := json.Unmarshal(scan.Bytes(), &l.Fields); err != nil {
			return lines, skipped, errors.Wrap(err, "fields of a line")
		}
		for _, name := range known {
			delete(l.Fields, name)
		}
		lines = append(lines, l)
	}
	return lines, skipped, scan.Err()
}

// Sort orders lines of several logs by time. Lines of one log keep their order.
func Sort(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// number returns a field's number, zero if there is none.
func (l Line) number(name string) float64 {
	v, ok := l.Fields[name].(float64)
	if !ok {
		return 0
	}
	return v
}

// text returns a field's text, empty if there is none.
func (l Line) text(name string) string {
	v, ok := l.Fields[name].(string)
	if !ok {
		return ""
	}
	return v
}

// shown is the precision of durations in reports.
const shown = 100 * time.Microsecond

// duration returns a field that holds milliseconds.
func (l Line) duration(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Millisecond)).Round(shown)
}
