// Package relay defines the messages between entries and the relay, a stateless process
// on the host of each rank of a group that samples the rank and forwards orders to it.
// They are JSON lines over TCP.
//
// The package has no dependency outside the standard library and core, so that
// the relay stays a small process.
package relay

import (
	"github.com/siskinford/siskinford/core/id"
)

// ToRelay is a message from an entry. Exactly one field is set.
type ToRelay struct {
	Watch *Watch `json:"watch,omitempty"`
	Order *Order `json:"order,omitempty"`
}

// Watch subscribes to the rank. It replaces an earlier subscription of the connection.
type Watch struct {
	// StateMillis is the poll interval of the state. A state is sent if it differs from
	// the last one sent, and otherwise after three intervals, at least every second.
	StateMillis int `json:"state_ms"`
	// ChangeMillis replaces StateMillis for 500 ms after each order of the connection.
	// Zero keeps StateMillis.
	ChangeMillis int `json:"change_ms,omitempty"`
	// SampleMillis is the minimum interval between samples. Zero disables them.
	SampleMillis int `json:"sample_ms,omitempty"`
	// LayoutMillis is the interval at which the layout is read again although the map in use is
	// the same. Zero reads it once for each map.
	LayoutMillis int `json:"layout_ms,omitempty"`
}

// FromRelay is a message from a relay: the result of a poll (any of State, Layout and
// Sample), or one of the other fields.
type FromRelay struct {
	State *State `json:"state,omitempty"`
	// Layout is sent when it has changed.
	Layout *Layout `json:"layout,omitempty"`
	Sample *Sample `json:"sample,omitempty"`
	Result *Result `json:"result,omitempty"`
	// Unreachable is the error of a failed poll.
	Unreachable string `json:"unreachable,omitempty"`
	// Invalid is the error of a poll whose answer was read but cannot be true.
	Invalid string `json:"invalid,omitempty"`
}

// Layout lists the experts on a rank under the map in use.
type Layout struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	// Experts is indexed by layer set.
	Experts [][]int `json:"experts"`
}

// State is a snapshot of a rank.
type State struct {
	// StartMillis is the start time of the rank in milliseconds since the Unix epoch.
	StartMillis int64    `json:"born"`
	Group       id.Group `json:"group"`
	// Epoch increases each time the group forms.
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	// Size is the number of ranks of the group.
	Size int `json:"size"`
	// Open is false while a rank of the group is missing.
	Open bool `json:"open"`
	// Step is the last step that began, a joint pass of all ranks.
	Step uint64 `json:"step"`
	// MapVersion is the version of the expert map in use, zero for the initial one.
	MapVersion uint64 `json:"map"`
	// Prepared is the map version whose weights are loaded, zero for none.
	Prepared uint64 `json:"prepared,omitempty"`
	// Armed is the map version to which the rank switches at its armed step, zero for none.
	Armed uint64 `json:"armed,omitempty"`
	// Held is the step that the group must not begin, zero for none.
	Held uint64 `json:"held,omitempty"`
	// Waiting and Running count requests.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Slowdown is the step time relative to the usual one, one at full speed.
	Slowdown float64 `json:"pace"`
	// Leaving is true once the rank's answers say that it is about to leave.
	Leaving bool `json:"leaving,omitempty"`
}

// Sample counts the tokens routed to the experts of a rank between two steps.
type Sample struct {
	StartMillis int64  `json:"born"`
	Epoch       uint64 `json:"epoch"`
	// The sample counts the steps after From up to and including To.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Levels has the tokens of each expert, set by set, encoded by EncodeLevel.
	Levels []byte `json:"levels"`
}

// Op is the operation of an order.
type Op string

const (
	// Prepare copies the weights that a map needs.
	Prepare Op = "prepare"
	// Arm schedules the switch to a prepared map at a step.
	Arm Op = "arm"
	// Disarm cancels Arm.
	Disarm Op = "disarm"
	// Hold prevents the group from beginning a step.
	Hold Op = "hold"
	// Release cancels Hold.
	Release Op = "release"
	// Ping is answered by the relay and not forwarded to the rank.
	Ping Op = "ping"
)

// Order requests an operation of a rank. Each is answered by a Result with its ID, unless
// the connection is lost.
type Order struct {
	ID uint64 `json:"id"`
	// Endpoint is the only endpoint that may execute the order.
	Endpoint id.Endpoint `json:"endpoint"`
	// Address is the "ip:port" of a rank on another host, empty for the relay's own host.
	Address string `json:"address,omitempty"`
	Op      Op     `json:"op"`
	Epoch   uint64 `json:"epoch"`
	// Version is the map version for Prepare, Arm and Disarm.
	Version uint64 `json:"version,omitempty"`
	// Step is the step for Arm, Hold and Release.
	Step uint64 `json:"step,omitempty"`
	// Experts is the map for Prepare.
	Experts ExpertMap `json:"experts,omitempty"`
	// FencingToken is the fencing token of the sender.
	FencingToken uint64 `json:"fence,omitempty"`
}

// Outcome is the result of an order at a rank.
type Outcome string

const (
	// Done means that the order was executed or started.
	Done Outcome = "done"
	// Conflict means that the order does not fit the state of the rank and was not executed.
	Conflict Outcome = "conflict"
	// Refused means that the order was rejected for another reason or not sent.
	Refused Outcome = "refused"
	// Unknown means that the order may or may not be executed, now or later.
	Unknown Outcome = "unknown"
)

// Result answers the order with the same ID.
type Result struct {
	ID      uint64  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Detail is the message of the rank or the error of the connection.
	Detail string `json:"detail,omitempty"`
}
