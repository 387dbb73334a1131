// Package faults names what goes wrong with stand-ins of back ends and of the
// platform, for tests that drive the real programs.
package faults

import (
	"net/netip"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// Behavior is how a back end treats a request.
type Behavior int

const (
	// Proper runs the request and answers it.
	Proper Behavior = iota
	// Shed refuses the request without running it.
	Shed
	// LoseAnswer runs the request and resets the connection.
	LoseAnswer
	// Fail runs the request and answers that it failed.
	Fail
	// Hang runs the request and does not answer.
	Hang
	// Tear breaks the answer off in its middle.
	Tear
	// Append sends a second answer after the first one.
	Append
	// Confuse answers with the ID of another request.
	Confuse
	// Unsigned leaves the signature out.
	Unsigned
	// Unframed sends an answer without a length, which ends with its connection; a
	// stream ends so within an event.
	Unframed
)

// Trouble is what goes wrong with the platform's calls of one caller.
type Trouble struct {
	// Silent leaves calls without an answer, Busy refuses them, and Reset closes
	// their connections.
	Silent, Busy, Reset bool
	// Delay is added to each answer.
	Delay time.Duration
	// Lost is the share of writes that are not answered. They are carried out
	// after LostFor, if their condition still holds then.
	Lost    float64
	LostFor time.Duration
}

// Arrival is a request at a back end.
type Arrival struct {
	Request  id.Request
	Endpoint id.Endpoint
	Service  id.Service
	Path     string
	// From is the address of the host that sent it.
	From netip.Addr
	// Team is the one that the entry named.
	Team id.Team
	At   time.Time
}
