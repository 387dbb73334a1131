// Package finding collects validation errors with their location, so that all of
// them are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error.
type Finding struct {
	// Place locates the error, for example a flag, a field path or "line 3, column 7".
	Place string `json:"place"`
	// Message describes the error and names the invalid value.
	Message string `json:"message"`
}

// String returns the finding as "place: message".
func (f Finding) String() string {
	if f.Place == "" {
		return f.Message
	}
	return f.Place + ": " + f.Message
}

// List is a list of findings. It is an error if it is not empty; see Err.
// The zero value is ready to use.
type List []Finding

// Addf appends a finding at place.
func (l *List) Addf(place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Merge appends the findings of other, with prefix put before each place.
func (l *List) Merge(prefix string, other List) {
	for _, f := range other {
		*l = append(*l, Finding{Place: prefix + f.Place, Message: f.Message})
	}
}

// Err returns l as an error, or nil if l is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
