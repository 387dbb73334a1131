package relay

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMapSurvivesJSON(t *testing.T) {
	for name, m := range map[string]ExpertMap{
		"none":            nil,
		"no ranks":        {{}, {}},
		"an empty rank":   {{{0, 2}, {}}, {{1}, {300, 70000}}},
		"ranks and slots": {{{0, 2}, {1, 0}}, {{1, 3}, {2, 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := json.Marshal(Order{Op: Prepare, Experts: m})
			assert.NilError(t, err)
			var got Order
			assert.NilError(t, json.Unmarshal(b, &got))
			assert.DeepEqual(t, got.Experts, m)
		})
	}
}

// TestEncodedMapOfLargeGroupIsCompact bounds the traffic of a change of the map, in which
// each rank receives the whole map.
func TestEncodedMapOfLargeGroupIsCompact(t *testing.T) {
	const sets, ranks, slots, experts = 12, 72, 3, 144
	m := make(ExpertMap, sets)
	for s := range m {
		m[s] = make([][]int, ranks)
		for r := range m[s] {
			for range slots {
				m[s][r] = append(m[s][r], rand.IntN(experts))
			}
		}
	}
	b, err := m.MarshalText()
	assert.NilError(t, err)
	assert.Assert(t, len(b) < 8*1024, "%d bytes", len(b))
}

func TestMalformedMapsAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"not base64":           "?",
		"truncated":            "AQ",
		"more ranks than text": "AQH_____Dw",
		"trailing bytes":       "AAAA",
		"unterminated varint":  "_____________w",
	} {
		t.Run(name, func(t *testing.T) {
			var m ExpertMap
			assert.Assert(t, m.UnmarshalText([]byte(text)) != nil, "%v", m)
		})
	}
}

func FuzzMap(f *testing.F) {
	f.Add([]byte("AgIC"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var m ExpertMap
		if m.UnmarshalText(text) != nil {
			return
		}
		b, err := m.MarshalText()
		assert.NilError(t, err)
		var again ExpertMap
		assert.NilError(t, again.UnmarshalText(b))
		assert.DeepEqual(t, again, m)
	})
}
