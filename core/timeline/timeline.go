// Package timeline records events of a process in a ring buffer, stamped by a hybrid
// logical clock, so that events of all processes can be merged in causal order.
package timeline

import (
	"sync"

	"github.com/siskinford/siskinford/core/id"
)

// Kind names the type of an event, for example "request.dispatched". Logs use the same names.
type Kind string

// Event is one entry of the timeline. Fields must not contain secrets.
type Event struct {
	Stamp       Stamp          `json:"stamp"`
	Process     string         `json:"process"`
	Kind        Kind           `json:"kind"`
	Request     id.Request     `json:"request,omitempty"`
	Attempt     id.Attempt     `json:"attempt,omitempty"`
	Endpoint    id.Endpoint    `json:"endpoint,omitempty"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
	Duty        string         `json:"duty,omitempty"`
	// Detail is a short text for operators.
	Detail string `json:"detail,omitempty"`
}

// Recorder accepts events. Implementations must not block.
type Recorder interface {
	// Record stores e. The recorder sets Stamp and Process.
	Record(e Event)
}

// Discard is a Recorder that drops every event.
var Discard Recorder = discard{}

type discard struct{}

func (discard) Record(Event) {}

// Ring is a ring buffer of the latest events of one process. It is safe for concurrent use.
type Ring struct {
	process string
	clock   *Clock

	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// NewRing returns a ring that holds up to size events of the named process.
func NewRing(process string, size int, clock *Clock) *Ring {
	return &Ring{process: process, clock: clock, events: make([]Event, size)}
}

// Clock returns the hybrid logical clock that stamps the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Record stamps e and stores it, overwriting the oldest event when the ring is full.
func (r *Ring) Record(e Event) {
	e.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Now()
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the stored events for which keep returns true, oldest first.
// A nil keep selects all events.
func (r *Ring) Events(keep func(Event) bool) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	add := func(events []Event) {
		for _, e := range events {
			if keep == nil || keep(e) {
				out = append(out, e)
			}
		}
	}
	if r.full {
		add(r.events[r.next:])
	}
	add(r.events[:r.next])
	return out
}
