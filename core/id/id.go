// Package id defines the types of identifiers shared by all processes and generates random ones.
package id

import (
	"crypto/rand"
	"encoding/hex"
)

// randomBytes is the number of random bytes in an identifier.
const randomBytes = 16

type (
	// Request identifies one request of a caller. It appears in responses, logs and the timeline.
	Request string
	// Attempt identifies one dispatch of a request to one endpoint. It is never reused.
	Attempt string
	// Action identifies a non-idempotent action over all attempts to run it.
	// It is empty for requests that carry neither ticket nor idempotency key.
	Action string
	// Incarnation identifies one run of an agent process. It changes at each start.
	Incarnation string
	// Host names a machine that runs processes of the system.
	Host string
	// Zone names an availability zone.
	Zone string
	// Region names a group of availability zones.
	Region string
	// Endpoint names a configured back end.
	Endpoint string
	// Service names a service that callers address.
	Service string
	// Team names a customer.
	Team string
	// Group names a group of model engine ranks that run in lockstep.
	Group string
	// Part identifies a part of a prompt that several requests may share.
	Part string
)

// NewRequest returns a random request ID.
func NewRequest() Request { return Request("req_" + random()) }

// NewAttempt returns a random attempt ID.
func NewAttempt() Attempt { return Attempt("att_" + random()) }

// NewIncarnation returns a random incarnation ID.
func NewIncarnation() Incarnation { return Incarnation("inc_" + random()) }

func random() string {
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b[:])
}
