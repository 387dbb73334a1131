// Package faults defines the faults that test stand-ins for back ends and for
// the platform inject.
package faults

import (
	"net/netip"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Behavior is how a back end handles a request.
type Behavior int

const (
	// Normal runs the request and answers it.
	Normal Behavior = iota
	// Refuse rejects the request without running it, and asks for RefusalPause.
	Refuse
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer
	// Fail runs the request and answers with an error.
	Fail
	// Hang runs the request and does not answer.
	Hang
	// Truncate closes the connection in the middle of the answer.
	Truncate
	// DuplicateAnswer sends a second answer after the first one.
	DuplicateAnswer
	// WrongRequestID answers with the ID of another request.
	WrongRequestID
	// Unsigned leaves the signature out.
	Unsigned
	// CloseDelimited sends an answer without a length, which ends where its
	// connection closes. A stream is closed in the middle of an event.
	CloseDelimited
)

// PlatformFaults are the faults of the platform's API towards one caller.
type PlatformFaults struct {
	// Silent leaves calls unanswered, Busy rejects them, and Reset closes their
	// connections.
	Silent, Busy, Reset bool
	// Delay is added to each answer.
	Delay time.Duration
	// LateWrites is the share of writes that get no answer. They are applied after
	// LateWriteDelay, if their precondition still holds then.
	LateWrites     float64
	LateWriteDelay time.Duration
}

// Arrival is a request as received by a back end.
type Arrival struct {
	Request  id.Request
	Endpoint id.Endpoint
	Service  id.Service
	Path     string
	// From is the address of the host that sent the request.
	From netip.Addr
	// Team is the team that the entry named.
	Team id.Team
	At   time.Time
	// Pause is the time for which the back end then asks the host for no more requests.
	Pause time.Duration
	// Leaving is true if the back end's answers say that it is leaving.
	Leaving bool
}

// RefusalPause is the time for which a back end with the behavior Refuse wants no requests.
const RefusalPause = 1500 * time.Millisecond
