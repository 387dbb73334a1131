// Package groupmsg defines the messages between the coordinator of a group of
// ranks and the agents that run them. They are encoded as CBOR. Every message
// may be lost, duplicated, delayed or reordered.
package groupmsg

import (
	"github.com/siskinford/siskinford/balance/expertmap"
	"github.com/siskinford/siskinford/balance/lockstep"
	"github.com/siskinford/siskinford/core/id"
)

// Order is a message from a coordinator to one rank.
type Order struct {
	Group   id.Group         `cbor:"1,keyasint"`
	Command lockstep.Command `cbor:"2,keyasint"`
	// Weights accompanies a command of kind Stage.
	Weights *Weights `cbor:"3,keyasint,omitempty"`
	// Describe asks for the layout of a map, zero for none.
	Describe lockstep.Version `cbor:"4,keyasint,omitempty"`
}

// Weights tells one rank what to load for a map.
type Weights struct {
	Map lockstep.Version `cbor:"1,keyasint"`
	// Layout is what the rank holds under the map.
	Layout Layout `cbor:"2,keyasint"`
	// Moves are the experts that the rank lacks, by layer, with their source.
	Moves [][]expertmap.Move `cbor:"3,keyasint,omitempty"`
}

// Layout is the experts in the slots of one rank, by layer, then slot.
type Layout [][]expertmap.Expert

// Status is a message from one rank to the coordinator.
type Status struct {
	Group  id.Group        `cbor:"1,keyasint"`
	Report lockstep.Report `cbor:"2,keyasint"`
	// Loads is set at an interval.
	Loads *Loads `cbor:"3,keyasint,omitempty"`
	// Described is set in the answer to Describe.
	Described *Weights `cbor:"4,keyasint,omitempty"`
}

// Loads counts the tokens in the slots of a rank over some steps with one map.
type Loads struct {
	Map   lockstep.Version `cbor:"1,keyasint"`
	Steps uint64           `cbor:"2,keyasint"`
	// Tokens is indexed by layer, then slot.
	Tokens [][]uint64 `cbor:"3,keyasint"`
}
