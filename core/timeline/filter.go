package timeline

import (
	"slices"
	"strings"

	"github.com/siskinford/siskinford/core/id"
)

// Filter selects events. Zero fields match all events.
type Filter struct {
	// Since is the earliest wall time in nanoseconds since the Unix epoch.
	Since    int64
	Request  id.Request
	Endpoint id.Endpoint
	Kind     Kind
	// Limit keeps only the newest events. Zero means no limit.
	Limit int
}

// Match reports whether e matches all fields but Limit.
func (f Filter) Match(e Event) bool {
	switch {
	case e.Stamp.Wall < f.Since:
		return false
	case f.Request != "" && e.Request != f.Request:
		return false
	case f.Endpoint != "" && e.Endpoint != f.Endpoint:
		return false
	case f.Kind != "" && e.Kind != f.Kind:
		return false
	}
	return true
}

// Select returns the events of r that f selects, oldest first.
func Select(r *Ring, f Filter) []Event {
	events := r.Events(f.Match)
	if f.Limit > 0 && len(events) > f.Limit {
		events = events[len(events)-f.Limit:]
	}
	return events
}

// Sort orders events of several processes by stamp, then by process.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		}
		return strings.Compare(a.Process, b.Process)
	})
}
