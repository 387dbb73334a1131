// Package groupmsg defines the CBOR messages between the coordinator of a group of
// ranks and the agents that run them. Any may be lost, duplicated, delayed or reordered.
// Weights, Layout and Loads are also exchanged with engines, as JSON.
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
	// Describe requests the layout of a map, zero for none.
	Describe lockstep.Version `cbor:"4,keyasint,omitempty"`
}

// Weights describes what one rank holds under a map and what it has to load for it.
type Weights struct {
	Map lockstep.Version `cbor:"1,keyasint"`
	// Layout is the rank's part of the map.
	Layout Layout `cbor:"2,keyasint"`
	// Moves are the experts that the rank lacks, by layer, with their source.
	Moves [][]expertmap.Move `cbor:"3,keyasint,omitempty"`
}

// Layout lists the experts in the slots of one rank, by layer, then slot.
type Layout [][]expertmap.Expert

// Status is a message from one rank to the coordinator.
type Status struct {
	Group  id.Group        `cbor:"1,keyasint"`
	Report lockstep.Report `cbor:"2,keyasint"`
	// Loads is sent at an interval.
	Loads *Loads `cbor:"3,keyasint,omitempty"`
	// Described answers Describe.
	Described *Weights `cbor:"4,keyasint,omitempty"`
}

// Loads counts the tokens per slot of a rank over a number of steps with one map.
type Loads struct {
	Map   lockstep.Version `cbor:"1,keyasint"`
	Steps uint64           `cbor:"2,keyasint"`
	// Tokens is indexed by layer, then slot.
	Tokens [][]uint64 `cbor:"3,keyasint"`
}
