package lockstep

import (
	"math"

	"github.com/siskinford/siskinford/core/id"
)

// leaseShift is the number of low bits of an Epoch or Version that count the values of one lease.
const leaseShift = 16

// Epoch is the fencing token of a coordinator's commands. The upper bits hold the
// fencing token of its lease, the lower 16 bits count the epochs of that lease.
type Epoch uint64

// NewEpoch returns the first epoch of a lease.
func NewEpoch(lease uint64) Epoch { return Epoch(lease << leaseShift) }

// Lease returns the fencing token of the lease that e belongs to.
func (e Epoch) Lease() uint64 { return uint64(e) >> leaseShift }

// Next returns the next epoch of the same lease, or false if the lease has none left.
func (e Epoch) Next() (Epoch, bool) {
	next := e + 1
	return next, next.Lease() == e.Lease()
}

// Version identifies one expert map. Versions must be unique and grow with
// time; zero means no map.
type Version uint64

// NewVersion returns the version of the n-th map that is created under a lease.
func NewVersion(lease uint64, n uint16) Version {
	return Version(lease<<leaseShift | uint64(n))
}

// Step numbers the steps of one formation of a group, from zero.
type Step uint64

// Never is a step that no group reaches.
const Never Step = math.MaxUint64

// Decision selects the map of a group: from Step on, the formation uses Map until
// the decision with the next Index.
type Decision struct {
	// Formation is the epoch in which the group was formed. Zero means none.
	Formation Epoch `cbor:"1,keyasint,omitempty"`
	// Index counts the decisions of a formation. Index zero forms the group at step zero.
	Index uint64  `cbor:"2,keyasint,omitempty"`
	Step  Step    `cbor:"3,keyasint,omitempty"`
	Map   Version `cbor:"4,keyasint,omitempty"`
}

// IsZero reports whether d is unset.
func (d Decision) IsZero() bool { return d == Decision{} }

// IsFormation reports whether d forms a group, as opposed to changing its map.
func (d Decision) IsFormation() bool { return !d.IsZero() && d.Index == 0 }

// After reports whether d was made later than other.
func (d Decision) After(other Decision) bool {
	if d.Formation != other.Formation {
		return d.Formation > other.Formation
	}
	return d.Index > other.Index
}

// CommandKind is the kind of a Command.
type CommandKind uint8

const (
	// Join requests that the rank ignores lower epochs from then on and sends a report.
	Join CommandKind = iota + 1
	// Stage requests loading the weights of a map.
	Stage
	// Prepare requests the promise not to begin the decision's step on the old map.
	Prepare
	// Commit announces that every rank gave the promise.
	Commit
	// Abort cancels a promise that was given in a lower epoch.
	Abort
)

// Command is a message from a coordinator to a rank. All commands are idempotent.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint"`
	Rank int         `cbor:"2,keyasint"`
	// Incarnation identifies the agent process that the command is for. Join is for any.
	Incarnation id.Incarnation `cbor:"3,keyasint,omitempty"`
	Epoch       Epoch          `cbor:"4,keyasint"`
	// Decision is set for Prepare and Commit.
	Decision Decision `cbor:"5,keyasint,omitempty"`
	// Map is set for Stage.
	Map Version `cbor:"6,keyasint,omitempty"`
}

// Report is a message from a rank to a coordinator. It always holds the full state.
type Report struct {
	Rank        int            `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	// Seq counts the reports of an incarnation.
	Seq uint64 `cbor:"3,keyasint"`
	// Epoch is the highest epoch that the rank joined.
	Epoch Epoch `cbor:"4,keyasint"`
	// Committed is the latest decision, zero for a rank outside any formation.
	Committed Decision `cbor:"5,keyasint,omitempty"`
	// Pending is the decision that the rank was asked to promise in PendingEpoch.
	Pending      Decision `cbor:"6,keyasint,omitempty"`
	PendingEpoch Epoch    `cbor:"7,keyasint,omitempty"`
	// Promised means that the engine will not begin the step of Pending without a commit.
	Promised bool `cbor:"8,keyasint,omitempty"`
	// Refused means that the engine was already past the step of Pending, or lacks
	// the weights of its map.
	Refused bool `cbor:"9,keyasint,omitempty"`
	// Diverged means that the engine ran a step against its orders.
	Diverged bool `cbor:"10,keyasint,omitempty"`
	// Next is the next step of the engine when last read.
	Next Step `cbor:"11,keyasint,omitempty"`
	// Staged are the maps whose weights the engine holds, in ascending order.
	Staged []Version `cbor:"12,keyasint,omitempty"`
}

// HasStaged reports whether the engine holds the weights of map v.
func (r Report) HasStaged(v Version) bool {
	for _, s := range r.Staged {
		if s == v {
			return true
		}
	}
	return false
}

// EngineOrder is the wanted state of an engine. For step s the engine uses Map
// if s < SwitchAt, otherwise Next; it does not begin a step whose map is zero.
type EngineOrder struct {
	// Epoch and Turn are the fencing token: an engine that checks it refuses an
	// order whose pair is lower than that of its current order.
	Epoch     Epoch   `cbor:"1,keyasint"`
	Turn      uint64  `cbor:"2,keyasint"`
	Formation Epoch   `cbor:"3,keyasint"`
	Map       Version `cbor:"4,keyasint"`
	SwitchAt  Step    `cbor:"5,keyasint"`
	Next      Version `cbor:"6,keyasint,omitempty"`
}

// MapAt returns the map for step s, zero if the engine must not begin it.
func (o EngineOrder) MapAt(s Step) Version {
	if s < o.SwitchAt {
		return o.Map
	}
	return o.Next
}

// EntersFormation reports whether o allows no step. Only such an order takes an engine
// into another formation, which then starts at step zero.
func (o EngineOrder) EntersFormation() bool { return o.SwitchAt == 0 && o.Next == 0 }

// Older reports whether o has a lower fencing token than p.
func (o EngineOrder) Older(p EngineOrder) bool {
	if o.Epoch != p.Epoch {
		return o.Epoch < p.Epoch
	}
	return o.Turn < p.Turn
}

// EngineState is the state that an engine reports.
type EngineState struct {
	// Order is the order in force, zero for an engine outside any formation.
	Order EngineOrder
	// Next is the next step to begin in the order's formation.
	Next Step
	// LastMap is the map of step Next-1, zero if there was none.
	LastMap Version
	// Staged are the maps whose weights are present, in ascending order.
	Staged []Version
}
