package relay

import "math"

// levelsPerDoubling is the resolution of levels. With 8 the error of a count is below
// 4.5 % and a byte covers 31 doublings.
const levelsPerDoubling = 8

// EncodeLevel quantizes a count to one byte on a logarithmic scale.
func EncodeLevel(n uint64) byte {
	l := math.Round(levelsPerDoubling * math.Log2(1+float64(n)))
	return byte(min(l, math.MaxUint8))
}

// countOfLevel is indexed by level.
var countOfLevel = func() (t [math.MaxUint8 + 1]float64) {
	for l := range t {
		t[l] = math.Exp2(float64(l)/levelsPerDoubling) - 1
	}
	return t
}()

// DecodeLevel returns the approximate count of a level.
func DecodeLevel(level byte) float64 { return countOfLevel[level] }
