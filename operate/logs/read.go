// Package logs determines the outcome of a request from collected log lines of all
// processes. No process needs to be running.
package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one log line.
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

// lineFields are the names of the fields that Line.Fields does not hold.
var lineFields = []string{"time", "level", "program", "host", "event", "request", "service", "message"}

// maxLineBytes bounds a line, far above what processes write.
const maxLineBytes = 1 << 20

// Read returns the lines that have an event and the number of other lines.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		var l Line
		if json.Unmarshal(scan.Bytes(), &l) != nil || l.Event == "" {
			skipped++
			continue
		}
		if err := json.Unmarshal(scan.Bytes(), &l.Fields); err != nil {
			return lines, skipped, errors.Wrap(err, "decode the fields of a log line")
		}
		for _, name := range lineFields {
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

// number returns a numeric field, or zero.
func (l Line) number(name string) float64 {
	v, ok := l.Fields[name].(float64)
	if !ok {
		return 0
	}
	return v
}

// text returns a string field, or the empty string.
func (l Line) text(name string) string {
	v, ok := l.Fields[name].(string)
	if !ok {
		return ""
	}
	return v
}

// durationPrecision is the precision of durations in reports.
const durationPrecision = 100 * time.Microsecond

// duration returns a field in milliseconds.
func (l Line) duration(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Millisecond)).Round(durationPrecision)
}
