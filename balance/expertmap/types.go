package expertmap

import (
	"fmt"
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/finding"
)

// Expert is the index of an expert in its layer.
type Expert int32

// NoExpert marks an empty slot.
const NoExpert Expert = -1

// Load holds the tokens per step of each expert of a layer.
type Load []float64

// Total returns the tokens per step of all experts.
func (l Load) Total() float64 {
	var sum float64
	for _, v := range l {
		sum += v
	}
	return sum
}

// Map assigns an expert to each slot of each rank. A rank holds an expert at most once.
type Map struct {
	// Slots is indexed by rank, then slot.
	Slots [][]Expert `json:"slots"`
}

// NewMap returns a map with empty slots.
func NewMap(ranks, slotsPerRank int) Map {
	m := Map{Slots: make([][]Expert, ranks)}
	for r := range m.Slots {
		m.Slots[r] = slices.Repeat([]Expert{NoExpert}, slotsPerRank)
	}
	return m
}

// Clone returns a deep copy.
func (m Map) Clone() Map {
	c := Map{Slots: make([][]Expert, len(m.Slots))}
	for r := range m.Slots {
		c.Slots[r] = slices.Clone(m.Slots[r])
	}
	return c
}

// WithoutRank returns a copy in which a rank holds no experts, as after its replacement.
func (m Map) WithoutRank(rank int) Map {
	c := m.Clone()
	for s := range c.Slots[rank] {
		c.Slots[rank][s] = NoExpert
	}
	return c
}

// Holds reports whether rank r holds expert e.
func (m Map) Holds(r int, e Expert) bool { return slices.Contains(m.Slots[r], e) }

// Replicas returns the number of replicas of each expert.
func (m Map) Replicas(experts int) []int {
	n := make([]int, experts)
	for _, slots := range m.Slots {
		for _, e := range slots {
			if e != NoExpert {
				n[e]++
			}
		}
	}
	return n
}

// RankLoads returns the tokens per step of each rank. Tokens of experts without
// a replica are not counted.
func (m Map) RankLoads(load Load) []float64 {
	n := m.Replicas(len(load))
	out := make([]float64, len(m.Slots))
	for r, slots := range m.Slots {
		for _, e := range slots {
			if e != NoExpert {
				out[r] += load[e] / float64(n[e])
			}
		}
	}
	return out
}

// Skew returns the largest rank load over the mean, 1 without load.
func (m Map) Skew(load Load) float64 { return m.WeightedSkew(load, nil) }

// WeightedSkew is Skew with each rank's load multiplied by its slowdown. Nil means
// that no rank is slow.
func (m Map) WeightedSkew(load Load, slowdowns []float64) float64 {
	loads := m.RankLoads(load)
	mean := load.Total() / float64(len(loads))
	if mean == 0 {
		return 1
	}
	for r, factor := range slowdowns {
		loads[r] *= factor
	}
	return slices.Max(loads) / mean
}

// Validate reports all mismatches between m and cfg.
func (m Map) Validate(cfg Config) error {
	var found finding.List
	if len(m.Slots) != cfg.Ranks {
		found.Addf("slots", "map has %d ranks, want %d", len(m.Slots), cfg.Ranks)
	}
	replicas := make([]int, cfg.Experts)
	for r, slots := range m.Slots {
		place := fmt.Sprintf("slots[%d]", r)
		if len(slots) != cfg.SlotsPerRank {
			found.Addf(place, "rank has %d slots, want %d", len(slots), cfg.SlotsPerRank)
		}
		for s, e := range slots {
			switch {
			case e == NoExpert:
			case e < 0 || int(e) >= cfg.Experts:
				found.Addf(place, "expert %d does not exist", e)
			case slices.Contains(slots[:s], e):
				found.Addf(place, "expert %d is held twice", e)
			default:
				replicas[e]++
			}
		}
	}
	for e, n := range replicas {
		if n == 0 {
			found.Addf("slots", "expert %d has no replica", e)
		}
	}
	return found.Err()
}

// FromStore is the source rank of weights that no rank holds.
const FromStore = -1

// Move loads the weights of an expert into a slot.
type Move struct {
	Expert Expert `json:"expert" cbor:"1,keyasint"`
	Rank   int    `json:"rank" cbor:"2,keyasint"`
	Slot   int    `json:"slot" cbor:"3,keyasint"`
	// Source is the rank to load from, or FromStore.
	Source int `json:"source" cbor:"4,keyasint"`
}

// Plan is a proposed change of the map of one layer.
type Plan struct {
	// Target is the map after the change. It equals the current one if Moves is empty.
	Target Map    `json:"target"`
	Moves  []Move `json:"moves"`
	// SkewBefore and SkewAfter are the largest rank load over the mean.
	SkewBefore float64 `json:"skew_before"`
	SkewAfter  float64 `json:"skew_after"`
	// RankBytes and StoreBytes are the weights to load, by kind of source.
	RankBytes  int64 `json:"rank_bytes"`
	StoreBytes int64 `json:"store_bytes"`
	// Transfer is the duration of the moves.
	Transfer time.Duration `json:"transfer"`
	// Gain is the step time saved over the horizon, Cost the step time lost to the change.
	Gain time.Duration `json:"gain"`
	Cost time.Duration `json:"cost"`
	// Repairs is true if the current map leaves an expert without a replica.
	Repairs bool `json:"repairs"`
}

// Bytes returns the weights to load in bytes.
func (p Plan) Bytes() int64 { return p.RankBytes + p.StoreBytes }

// Changes reports whether the plan moves any expert.
func (p Plan) Changes() bool { return len(p.Moves) > 0 }

// Policy plans map changes. Implementations are safe for concurrent use.
type Policy interface {
	// Plan returns the change from current under load. It does not block.
	Plan(current Map, load Load) Plan
}
