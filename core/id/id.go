// Package id defines the identifiers that the processes exchange and creates new ones.
package id

import (
	"crypto/rand"
	"encoding/hex"
)

// randomLen is the length of a random identifier in bytes before encoding.
const randomLen = 16

type (
	// Request identifies one call of a caller. It appears in answers, logs and the time line.
	Request string
	// Attempt identifies one dispatch of a request to one endpoint. It is never reused.
	Attempt string
	// Action identifies a non-idempotent action over all attempts to run it.
	// It is empty for requests that carry neither ticket nor idempotency key.
	Action string
	// Incarnation identifies one run of an agent process. It changes at each start.
	Incarnation string
	// Host names a machine that runs a process of the system.
	Host string
	// Zone names an availability zone.
	Zone string
	// Region names a group of availability zones.
	Region string
	// Endpoint names a back end as the operators configured it.
	Endpoint string
	// Service names a service as callers and operators use it.
	Service string
	// Team names a customer.
	Team string
	// Group names a group of ranks that run in lock-step.
	Group string
)

// NewRequest returns a random request ID.
func NewRequest() Request { return Request("req_" + random()) }

// NewAttempt returns a random attempt ID.
func NewAttempt() Attempt { return Attempt("att_" + random()) }

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation { return Incarnation("inc_" + random()) }

func random() string {
	var b [randomLen]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b[:])
}
