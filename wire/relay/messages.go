// Package relay defines the messages between entries and the relay that runs
// beside an endpoint whose engine is a rank of a group. They are JSON lines over
// TCP. The relay keeps nothing that must last: it samples the rank and passes
// orders on.
//
// The package has no dependency outside the standard library and core, so that
// the relay stays a small process.
package relay

import (
	"github.com/siskinford/siskinford/core/id"
)

// ToRelay is a message of an entry. One field is set.
type ToRelay struct {
	Watch *Watch `json:"watch,omitempty"`
	Order *Order `json:"order,omitempty"`
}

// Watch asks to be told of the rank. It replaces an earlier one of the connection.
type Watch struct {
	// StateMillis is the interval at which the state is looked at. A state is
	// sent if it differs from the last one sent, and with each third look or each
	// second in any case.
	StateMillis int `json:"state_ms"`
	// ChangeMillis takes the place of StateMillis for a while after each order of
	// the connection. Zero changes nothing.
	ChangeMillis int `json:"change_ms,omitempty"`
	// SampleMillis is the least interval between samples of the experts' use.
	// Zero asks for none.
	SampleMillis int `json:"sample_ms,omitempty"`
}

// FromRelay is a message of a relay: what a look showed (State, Layout and
// Sample, as far as they are due), or one of the other fields.
type FromRelay struct {
	State *State `json:"state,omitempty"`
	// Layout is sent with the first state with another map.
	Layout *Layout `json:"layout,omitempty"`
	Sample *Sample `json:"sample,omitempty"`
	Result *Result `json:"result,omitempty"`
	// Unreachable tells why the rank could not be asked.
	Unreachable string `json:"unreachable,omitempty"`
}

// Layout tells which experts a rank holds under the map in use.
type Layout struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	// Experts is indexed by set.
	Experts [][]int `json:"experts"`
}

// State is what a rank reports of itself.
type State struct {
	// StartMillis is the start of the rank in milliseconds since the Unix epoch.
	StartMillis int64    `json:"born"`
	Group       id.Group `json:"group"`
	// Epoch grows each time that the group forms.
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	// Size is the number of ranks of the group.
	Size int `json:"size"`
	// Open is false while the group lacks a rank.
	Open bool `json:"open"`
	// Step is the last pass that was begun.
	Step uint64 `json:"step"`
	// MapVersion is the version of the expert map in use, zero for the initial one.
	MapVersion uint64 `json:"map"`
	// Prepared is the version that the rank holds ready, zero for none.
	Prepared uint64 `json:"prepared,omitempty"`
	// Armed is the version that the rank takes into use at its armed step, zero for none.
	Armed uint64 `json:"armed,omitempty"`
	// Held is the pass that the group does not begin, zero for none.
	Held uint64 `json:"held,omitempty"`
	// Waiting and Running count requests.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Pace is above one while the rank is slow.
	Pace float64 `json:"pace"`
}

// Sample counts the experts' tokens at a rank between two passes.
type Sample struct {
	StartMillis int64  `json:"born"`
	Epoch       uint64 `json:"epoch"`
	// From and To are the last passes counted before and with the sample.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Levels holds the tokens of each expert, set by set, as Level encodes them.
	Levels []byte `json:"levels"`
}

// Op names what an order asks of a rank.
type Op string

const (
	// Prepare copies the weights that a map needs.
	Prepare Op = "prepare"
	// Arm lets the rank take a prepared map into use at a step.
	Arm Op = "arm"
	// Disarm withdraws an Arm.
	Disarm Op = "disarm"
	// Hold keeps the group from beginning a step.
	Hold Op = "hold"
	// Release ends a Hold.
	Release Op = "release"
	// Ping is answered by the relay itself and does not reach the rank.
	Ping Op = "ping"
)

// Order asks a rank for a change. Each order is answered by a Result with its ID,
// but for those that are lost with the connection.
type Order struct {
	ID uint64 `json:"id"`
	// Endpoint is the only one that may carry the order out.
	Endpoint id.Endpoint `json:"endpoint"`
	// Address is the "ip:port" of the endpoint if it is not the one beside the relay.
	Address string `json:"address,omitempty"`
	Op      Op     `json:"op"`
	Epoch   uint64 `json:"epoch"`
	// Version is the map that Prepare, Arm and Disarm name.
	Version uint64 `json:"version,omitempty"`
	// Step is the pass that Arm, Hold and Release name.
	Step uint64 `json:"step,omitempty"`
	// Experts is the map that Prepare brings, by set, rank and place.
	Experts ExpertMap `json:"experts,omitempty"`
	// FencingToken is the fencing number of the sender.
	FencingToken uint64 `json:"fence,omitempty"`
}

// Outcome tells how a rank answered an order.
type Outcome string

const (
	// Done means that the order is carried out, or begun.
	Done Outcome = "done"
	// Conflict means that the order does not fit the state of the rank and was not carried out.
	Conflict Outcome = "conflict"
	// Refused means that the rank does not take the order at all.
	Refused Outcome = "refused"
	// Unknown means that the order may be carried out now or later.
	Unknown Outcome = "unknown"
)

// Result answers the order with the same ID.
type Result struct {
	ID      uint64  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Detail tells what the rank or the connection reported.
	Detail string `json:"detail,omitempty"`
}
