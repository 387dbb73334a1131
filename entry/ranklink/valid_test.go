package ranklink

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/wire/relay"
)

var testShape = relay.Shape{LayerSets: 2, ExpertsPerSet: 4}

func validEvent() Event {
	return Event{
		State:  &relay.State{Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true, Step: 7, Slowdown: 1},
		Layout: &relay.Layout{Epoch: 1, Experts: [][]int{{0, 2}, {1, 3}}},
		Sample: &relay.Sample{Epoch: 1, From: 3, To: 7, Levels: make([]byte, 8)},
	}
}

// TestAnswersOutOfRangeAreDropped guards against a wrong bit in an answer of a rank that ends the
// entry which plans: an expert, a rank or a count that does not exist is used as an index.
func TestAnswersOutOfRangeAreDropped(t *testing.T) {
	for name, c := range map[string]struct {
		kind  AnswerKind
		spoil func(Event)
	}{
		"expert beyond the last":  {LayoutAnswer, func(e Event) { e.Layout.Experts[1][0] = 4 }},
		"negative expert":         {LayoutAnswer, func(e Event) { e.Layout.Experts[0][1] = -2 }},
		"expert of an empty slot": {LayoutAnswer, func(e Event) { e.Layout.Experts[0][1] = -1 }},
		"expert twice":            {LayoutAnswer, func(e Event) { e.Layout.Experts[0] = []int{2, 2} }},
		"a set is missing":        {LayoutAnswer, func(e Event) { e.Layout.Experts = e.Layout.Experts[:1] }},
		"one set more":            {LayoutAnswer, func(e Event) { e.Layout.Experts = append(e.Layout.Experts, []int{0}) }},
		"no sets":                 {LayoutAnswer, func(e Event) { e.Layout.Experts = nil }},
		"rank beyond the last":    {StateAnswer, func(e Event) { e.State.Rank = 2 }},
		"negative rank":           {StateAnswer, func(e Event) { e.State.Rank = -1 }},
		"no ranks":                {StateAnswer, func(e Event) { e.State.Size = 0 }},
		"too many ranks":          {StateAnswer, func(e Event) { e.State.Size = relay.MaxGroupSize + 1 }},
		"negative requests":       {StateAnswer, func(e Event) { e.State.Running = -1 }},
		"negative slowdown":       {StateAnswer, func(e Event) { e.State.Slowdown = -1 }},
		"a count is missing":      {SampleAnswer, func(e Event) { e.Sample.Levels = e.Sample.Levels[1:] }},
		"no counts":               {SampleAnswer, func(e Event) { e.Sample.Levels = nil }},
		"sample that ends early":  {SampleAnswer, func(e Event) { e.Sample.To = 2 }},
	} {
		t.Run(name, func(t *testing.T) {
			e := validEvent()
			c.spoil(e)
			dropped := make(map[AnswerKind]int)
			got := e.Valid(testShape, func(k AnswerKind, err error) {
				assert.ErrorIs(t, err, relay.ErrInvalid)
				dropped[k]++
			})
			assert.DeepEqual(t, dropped, map[AnswerKind]int{c.kind: 1})
			assert.Equal(t, got.State == nil, c.kind == StateAnswer)
			assert.Equal(t, got.Layout == nil, c.kind == LayoutAnswer)
			assert.Equal(t, got.Sample == nil, c.kind == SampleAnswer)
		})
	}
}

func TestValidAnswersAreKept(t *testing.T) {
	e := validEvent()
	got := e.Valid(testShape, func(k AnswerKind, err error) { t.Error(k, err) })
	assert.Assert(t, got == e)
	got = e.Valid(relay.Shape{}, func(k AnswerKind, err error) { t.Error(k, err) })
	assert.Assert(t, got.State != nil && got.Layout == nil && got.Sample == nil)
}

// FuzzRelayMessage requires that what is left of a relay's message can be used as indexes.
func FuzzRelayMessage(f *testing.F) {
	valid, err := json.Marshal(relay.FromRelay{State: validEvent().State, Layout: validEvent().Layout, Sample: validEvent().Sample})
	assert.NilError(f, err)
	f.Add(valid)
	f.Add([]byte(`{"layout":{"epoch":1,"version":0,"experts":[[0,64],[1,3]]}}`))
	f.Add([]byte(`{"layout":{"epoch":1,"version":0,"experts":null}}`))
	f.Add([]byte(`{"state":{"born":1796607356441,"group":"g","epoch":1,"rank":7,"size":2,"open":true,"step":7,"map":0}}`))
	f.Add([]byte(`{"sample":{"epoch":1,"from":3,"to":7,"levels":"AA=="}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var m relay.FromRelay
		if json.Unmarshal(line, &m) != nil {
			return
		}
		e := Event{State: m.State, Layout: m.Layout, Sample: m.Sample, Result: m.Result}.Valid(testShape, func(AnswerKind, error) {})
		if e.State != nil && e.State.Group != "" {
			_ = make([]struct{}, e.State.Size)[e.State.Rank]
		}
		if e.Layout != nil {
			for set := range testShape.LayerSets {
				for _, expert := range e.Layout.Experts[set] {
					_ = [4]struct{}{}[expert]
				}
			}
		}
		if e.Sample != nil {
			assert.Equal(t, len(e.Sample.Levels), 8)
		}
	})
}
