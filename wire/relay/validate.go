package relay

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalid is wrapped by errors about answers of ranks that were read but cannot be true.
var ErrInvalid = errors.New("invalid answer")

// MaxGroupSize bounds the ranks of a group, far above the 64 ranks of the largest planned groups.
const MaxGroupSize = 4096

// Shape holds the dimensions of the expert maps of a service.
type Shape struct {
	LayerSets, ExpertsPerSet int
}

// Validate reports the first field that no rank can have. A rank without a group has no other
// fields to check.
func (s State) Validate() error {
	switch {
	case s.Group == "":
		return nil
	case s.Size < 1 || s.Size > MaxGroupSize:
		return fmt.Errorf("%w: size %d of group %q is not between 1 and %d", ErrInvalid, s.Size, s.Group, MaxGroupSize)
	case s.Rank < 0 || s.Rank >= s.Size:
		return fmt.Errorf("%w: rank %d is not in a group of %d", ErrInvalid, s.Rank, s.Size)
	case s.Waiting < 0 || s.Running < 0:
		return fmt.Errorf("%w: %d waiting and %d running requests", ErrInvalid, s.Waiting, s.Running)
	case !(s.Slowdown >= 0) || math.IsInf(s.Slowdown, 1):
		return fmt.Errorf("%w: slowdown %v", ErrInvalid, s.Slowdown)
	}
	return nil
}

// Validate reports the first mismatch between the layout and the shape. It requires each expert
// to exist and to be on the rank at most once in a set.
func (l Layout) Validate(shape Shape) error {
	if len(l.Experts) != shape.LayerSets {
		return fmt.Errorf("%w: layout of map %d has %d sets, want %d", ErrInvalid, l.Version, len(l.Experts), shape.LayerSets)
	}
	seen := make([]bool, shape.ExpertsPerSet)
	for set, experts := range l.Experts {
		clear(seen)
		for slot, e := range experts {
			if e < 0 || e >= shape.ExpertsPerSet {
				return fmt.Errorf("%w: layout of map %d names expert %d in set %d, slot %d; there are %d", ErrInvalid, l.Version, e, set, slot, shape.ExpertsPerSet)
			}
			if seen[e] {
				return fmt.Errorf("%w: layout of map %d names expert %d of set %d twice", ErrInvalid, l.Version, e, set)
			}
			seen[e] = true
		}
	}
	return nil
}

// Validate reports the first mismatch between the sample and the shape.
func (s Sample) Validate(shape Shape) error {
	switch want := shape.LayerSets * shape.ExpertsPerSet; {
	case len(s.Levels) != want:
		return fmt.Errorf("%w: sample has %d counts, want %d", ErrInvalid, len(s.Levels), want)
	case s.To <= s.From:
		return fmt.Errorf("%w: sample ends with step %d, before its first step", ErrInvalid, s.To)
	}
	return nil
}
