package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/finding"
)

func places(l finding.List) []string {
	var out []string
	for _, f := range l {
		out = append(out, f.Place)
	}
	return out
}

func groupService(e *Experts) Service {
	return Service{Name: "asistente", Type: ServiceTypeModel, Model: "m", Group: "g", Experts: e}
}

func TestExpertsAreValidated(t *testing.T) {
	tests := []struct {
		name    string
		service Service
		want    []string
	}{
		{"valid", groupService(&Experts{Ranks: 2, Layers: 1, PerLayer: 3, SlotsPerRank: 2}), nil},
		{"empty", groupService(&Experts{}), []string{
			"services[0].experts.ranks", "services[0].experts.layers",
			"services[0].experts.per_layer", "services[0].experts.slots_per_rank",
		}},
		{
			"too few slots", groupService(&Experts{Ranks: 2, Layers: 1, PerLayer: 5, SlotsPerRank: 2}),
			[]string{"services[0].experts.slots_per_rank"},
		},
		{
			"too many slots", groupService(&Experts{Ranks: 2, Layers: 1, PerLayer: 2, SlotsPerRank: 3}),
			[]string{"services[0].experts.slots_per_rank"},
		},
		{"no group", Service{
			Name: "s", Type: ServiceTypeModel, Model: "m", Experts: &Experts{Ranks: 1, Layers: 1, PerLayer: 1, SlotsPerRank: 1},
		}, []string{"services[0].group"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := ServiceSet{Services: []Service{tt.service}}
			assert.DeepEqual(t, places(set.validate()), tt.want)
		})
	}
}

func TestRanksAreChecked(t *testing.T) {
	experts := &Experts{Ranks: 4, Layers: 1, PerLayer: 3, SlotsPerRank: 2}
	tests := []struct {
		name    string
		experts *Experts
		ranks   [2][]int
		want    []string
	}{
		{"valid", experts, [2][]int{{0, 1}, {2, 3}}, nil},
		{"one host missing", experts, [2][]int{{0, 1}, nil}, nil},
		{"twice", experts, [2][]int{{0, 1}, {1}}, []string{"endpoints[1].ranks[0]"}},
		{"out of range", experts, [2][]int{{4}, {-1}}, []string{"endpoints[0].ranks[0]", "endpoints[1].ranks[0]"}},
		{"no group", nil, [2][]int{{0}, nil}, []string{"endpoints[0].ranks[0]"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSnapshot().withSet(&ServiceSet{Services: []Service{groupService(tt.experts)}})
			s = s.withSet(&EndpointSet{Endpoints: []Endpoint{
				{Name: "a", Service: "asistente", Ranks: tt.ranks[0]}, {Name: "b", Service: "asistente", Ranks: tt.ranks[1]},
			}})
			assert.DeepEqual(t, places(validateAcross(KindEndpoints, s)), tt.want)
		})
	}
}
