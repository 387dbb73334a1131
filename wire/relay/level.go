package relay

import "math"

// levelsPerDoubling is the resolution of a level: 8 keep the error of one count
// below 4.5 % and fit 31 doublings into a byte.
const levelsPerDoubling = 8

// EncodeLevel encodes a count in one byte on a logarithmic scale.
func EncodeLevel(n uint64) byte {
	l := math.Round(levelsPerDoubling * math.Log2(1+float64(n)))
	return byte(min(l, math.MaxUint8))
}

// levels holds the count of each level.
var levels = func() (t [math.MaxUint8 + 1]float64) {
	for l := range t {
		t[l] = math.Exp2(float64(l)/levelsPerDoubling) - 1
	}
	return t
}()

// DecodeLevel returns the count that a level stands for.
func DecodeLevel(level byte) float64 { return levels[level] }
