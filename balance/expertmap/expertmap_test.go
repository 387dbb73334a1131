package expertmap

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// zipfLoad returns loads that fall with the given exponent over a random order of experts.
func zipfLoad(r *rand.Rand, experts int, exponent float64) Load {
	load := make(Load, experts)
	for i, e := range r.Perm(experts) {
		load[e] = 1000 / math.Pow(float64(i+1), exponent)
	}
	return load
}

func drawConfig(t *rapid.T) Config {
	ranks := rapid.IntRange(2, 12).Draw(t, "ranks")
	experts := rapid.IntRange(ranks, 40).Draw(t, "experts")
	least := (experts + ranks - 1) / ranks
	return Config{
		Ranks: ranks, Experts: experts,
		SlotsPerRank: min(experts, least+rapid.IntRange(0, 3).Draw(t, "spare")),
	}
}

// checkPlan verifies the invariants of every plan.
func checkPlan(t *rapid.T, cfg Config, current Map, p Plan) {
	assert.NilError(t, p.Target.Validate(cfg))
	applied := current.Clone()
	for _, m := range p.Moves {
		assert.Assert(t, !current.Holds(m.Rank, m.Expert), "rank %d holds expert %d already", m.Rank, m.Expert)
		if m.Source == FromStore {
			assert.Equal(t, current.Replicas(cfg.Experts)[m.Expert], 0, "expert %d is on a rank", m.Expert)
		} else {
			assert.Assert(t, current.Holds(m.Source, m.Expert), "source %d lacks expert %d", m.Source, m.Expert)
		}
		applied.Slots[m.Rank][m.Slot] = m.Expert
	}
	assert.DeepEqual(t, applied, p.Target)
	assert.Equal(t, p.Bytes(), int64(len(p.Moves))*cfg.WithDefaults().ExpertBytes)
}

func TestPlans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawConfig(t)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		exponent := rapid.Float64Range(0, 1.6).Draw(t, "exponent")
		current := Initial(cfg, zipfLoad(r, cfg.Experts, exponent))
		assert.NilError(t, current.Validate(cfg))
		for range rapid.IntRange(0, 2).Draw(t, "lost") {
			current = current.WithoutRank(r.IntN(cfg.Ranks))
		}
		load := zipfLoad(r, cfg.Experts, exponent)
		policies := []Policy{Incremental{cfg}, Reshuffle{cfg}, Static{cfg}}
		for _, policy := range policies {
			p := policy.Plan(current, load)
			checkPlan(t, cfg, current, p)
			assert.DeepEqual(t, p, policy.Plan(current, load))
		}
		p := policies[0].Plan(current, load)
		assert.Assert(t, p.Repairs || !p.Changes() || p.Gain > p.Cost)
		assert.Assert(t, p.SkewAfter >= LowerBound(cfg, load)-1e-9)
		if !p.Repairs {
			assert.Assert(t, p.SkewAfter <= p.SkewBefore)
		}
	})
}

func TestChangeOnlyIfGainExceedsCost(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 0))
	cfg := Config{Ranks: 8, Experts: 32, SlotsPerRank: 5}
	current := Initial(cfg, zipfLoad(r, cfg.Experts, 1))
	load := zipfLoad(r, cfg.Experts, 1)
	pays := Incremental{cfg}.Plan(current, load)
	assert.Assert(t, pays.Changes())
	cfg.Horizon = pays.Cost / 1000
	assert.Assert(t, !Incremental{cfg}.Plan(current, load).Changes())
	assert.Assert(t, !Incremental{cfg}.Plan(current, make(Load, cfg.Experts)).Changes())
}

func TestReplacedRankIsRepaired(t *testing.T) {
	cfg := Config{Ranks: 4, Experts: 6, SlotsPerRank: 2}
	current := Map{Slots: [][]Expert{{0, 1}, {2, 0}, {3, 4}, {5, 1}}}.WithoutRank(2)
	load := Load{2, 2, 1, 1, 1, 1}
	p := Incremental{cfg}.Plan(current, load)
	assert.Assert(t, p.Repairs)
	assert.NilError(t, p.Target.Validate(cfg))
	for _, m := range p.Moves {
		assert.Equal(t, m.Source == FromStore, m.Expert == 3 || m.Expert == 4, "expert %d", m.Expert)
	}
	assert.Equal(t, p.StoreBytes, 2*int64(defaultExpertBytes))
}

func TestSourcesAreSpread(t *testing.T) {
	current := Map{Slots: [][]Expert{{0}, {0}, {1}, {2}, {2}}}
	target := Map{Slots: [][]Expert{{0}, {0}, {1}, {0}, {0}}}
	var sources []int
	for _, m := range Moves(current, target) {
		sources = append(sources, m.Source)
	}
	slices.Sort(sources)
	assert.DeepEqual(t, sources, []int{0, 1})
}

func TestValidate(t *testing.T) {
	cfg := Config{Ranks: 2, Experts: 3, SlotsPerRank: 2}
	tests := []struct {
		name string
		m    Map
		want string
	}{
		{"fits", Map{[][]Expert{{0, 1}, {2, NoExpert}}}, ""},
		{"ranks", Map{[][]Expert{{0, 1}}}, "slots: map has 1 ranks, want 2\nslots: expert 2 has no replica"},
		{"slots", Map{[][]Expert{{0, 1, 2}, {0, 1}}}, "slots[0]: rank has 3 slots, want 2"},
		{"unknown", Map{[][]Expert{{0, 1}, {2, 3}}}, "slots[1]: expert 3 does not exist"},
		{"twice", Map{[][]Expert{{0, 1}, {2, 2}}}, "slots[1]: expert 2 is held twice"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.m.Validate(cfg)
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, tt.want)
		})
	}
	assert.NilError(t, cfg.Validate())
	bad := Config{Ranks: 0, Experts: 0, SlotsPerRank: 1, TargetSkew: 0.5}
	assert.ErrorContains(t, bad.Validate(), "target_skew")
}

func TestLowerBound(t *testing.T) {
	// One expert has all the load and at most three replicas fit beside the others.
	cfg := Config{Ranks: 4, Experts: 6, SlotsPerRank: 2}
	load := Load{12, 0, 0, 0, 0, 0}
	assert.Equal(t, LowerBound(cfg, load), 4.0/3)
	assert.Equal(t, Incremental{cfg}.Plan(Initial(cfg, Load{0, 0, 0, 0, 0, 12}), load).SkewAfter, 4.0/3)
}

func benchmarkPlan(b *testing.B, policy Policy) {
	cfg := largeConfig(6)
	r := rand.New(rand.NewPCG(1, 0))
	d := newDrift(r, cfg.Experts, 1)
	current := Initial(cfg, d.load())
	var loads []Load
	for range 16 {
		d.advance()
		loads = append(loads, d.load())
	}
	b.ResetTimer()
	for i := range b.N {
		policy.Plan(current, loads[i%len(loads)])
	}
}

// BenchmarkIncremental plans one layer of 256 experts on 64 ranks.
func BenchmarkIncremental(b *testing.B) { benchmarkPlan(b, Incremental{largeConfig(6)}) }

// BenchmarkReshuffle is the baseline of BenchmarkIncremental.
func BenchmarkReshuffle(b *testing.B) { benchmarkPlan(b, Reshuffle{largeConfig(6)}) }
