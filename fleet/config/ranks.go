package config

import (
	"fmt"

	"github.com/siskinford/siskinford/core/finding"
	"github.com/siskinford/siskinford/core/id"
)

const (
	// maxRanks bounds the number of ranks of a group.
	maxRanks = 4096
	// maxLayers bounds the number of layers of a model.
	maxLayers = 1024
	// maxExperts bounds the number of experts of a layer and of slots of a rank.
	maxExperts = 4096
)

func (e Experts) validate(l *finding.List, place string, group id.Group) {
	checkName(l, place+".group", string(group))
	place += ".experts"
	for _, f := range []struct {
		name         string
		value, limit int
	}{
		{"ranks", e.Ranks, maxRanks},
		{"layers", e.Layers, maxLayers},
		{"per_layer", e.PerLayer, maxExperts},
		{"slots_per_rank", e.SlotsPerRank, maxExperts},
	} {
		if f.value < 1 || f.value > f.limit {
			l.Addf(place+"."+f.name, "%d is outside 1 to %d", f.value, f.limit)
		}
	}
	if e.Ranks*e.SlotsPerRank < e.PerLayer {
		l.Addf(place+".slots_per_rank", "%d slots on %d ranks cannot hold %d experts", e.SlotsPerRank, e.Ranks, e.PerLayer)
	}
	if e.SlotsPerRank > e.PerLayer {
		l.Addf(place+".slots_per_rank", "%d is more than %d experts", e.SlotsPerRank, e.PerLayer)
	}
}

// checkRanks reports ranks that their service does not have or that two endpoints
// list. Ranks without an endpoint are valid while their host is being replaced.
func (s *Snapshot) checkRanks(l *finding.List, kind Kind) {
	used := map[id.Service]unique{}
	for i, e := range s.endpoints.Endpoints {
		service, ok := s.serviceByName[e.Service]
		if !ok {
			continue
		}
		if used[e.Service] == nil {
			used[e.Service] = unique{}
		}
		for j, rank := range e.Ranks {
			place := fmt.Sprintf("endpoints[%d].ranks[%d]", i, j)
			if kind == KindServices {
				place = "services"
			}
			used[e.Service].add(l, place, "rank", fmt.Sprint(rank))
			switch {
			case service.Experts == nil:
				l.Addf(place, "rank %d is set on endpoint %q, but service %q has no group of ranks", rank, string(e.Name), string(e.Service))
			case rank < 0 || rank >= service.Experts.Ranks:
				l.Addf(place, "rank %d of endpoint %q is outside 0 to %d", rank, string(e.Name), service.Experts.Ranks-1)
			}
		}
	}
}
