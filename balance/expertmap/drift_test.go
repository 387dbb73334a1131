package expertmap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"text/tabwriter"

	"gotest.tools/v3/assert"
)

// largeConfig is one layer of 256 experts on 64 ranks.
func largeConfig(slots int) Config {
	return Config{Ranks: 64, Experts: 256, SlotsPerRank: slots}
}

const (
	// tokensPerStep is the number of tokens times the experts that each token activates.
	tokensPerStep = 64 * 256 * 8
	// neighbourSwaps, neighbourReach and jumps describe the drift of one interval.
	neighbourSwaps = 32
	neighbourReach = 16
	jumps          = 2
)

// drift is a Zipf popularity whose order changes from interval to interval.
type drift struct {
	r        *rand.Rand
	exponent float64
	order    []int
}

func newDrift(r *rand.Rand, experts int, exponent float64) *drift {
	return &drift{r: r, exponent: exponent, order: r.Perm(experts)}
}

func (d *drift) advance() {
	n := len(d.order)
	for range neighbourSwaps {
		i := d.r.IntN(n)
		j := min(n-1, i+1+d.r.IntN(neighbourReach))
		d.order[i], d.order[j] = d.order[j], d.order[i]
	}
	for range jumps {
		i, j := d.r.IntN(n), d.r.IntN(n)
		d.order[i], d.order[j] = d.order[j], d.order[i]
	}
}

func (d *drift) load() Load {
	load := make(Load, len(d.order))
	for i, e := range d.order {
		load[e] = math.Pow(float64(i+1), -d.exponent)
	}
	total := load.Total()
	for e := range load {
		load[e] *= tokensPerStep / total
	}
	return load
}

// driftResult summarizes one policy over a run.
type driftResult struct {
	changes, slowed, moves int
	rankBytes, storeBytes  int64
	// skew is the mean over all intervals, worst the largest after a change.
	skew, worst, bound, worstBound float64
	// missed counts changes that ended above wantedSkew although the lower bound is not.
	missed int
}

const wantedSkew = 1.05

func runDrift(cfg Config, policy Policy, seed uint64, exponent float64, intervals int) driftResult {
	r := rand.New(rand.NewPCG(seed, 0))
	d := newDrift(r, cfg.Experts, exponent)
	current := Initial(cfg, d.load())
	var res driftResult
	for i := range intervals {
		d.advance()
		if i == intervals/2 {
			current = current.WithoutRank(r.IntN(cfg.Ranks))
		}
		load := d.load()
		p := policy.Plan(current, load)
		current = p.Target
		bound := LowerBound(cfg, load)
		res.skew += p.SkewAfter / float64(intervals)
		res.bound += bound / float64(intervals)
		res.worstBound = max(res.worstBound, bound)
		if !p.Changes() {
			continue
		}
		res.changes++
		res.worst = max(res.worst, p.SkewAfter)
		if p.SkewAfter > wantedSkew && bound <= wantedSkew {
			res.missed++
		}
		res.moves += len(p.Moves)
		res.rankBytes += p.RankBytes
		res.storeBytes += p.StoreBytes
		res.slowed += p.StepsSlowed(cfg.WithDefaults())
	}
	return res
}

type namedPolicy struct {
	name   string
	policy Policy
}

func policiesFor(cfg Config) []namedPolicy {
	return []namedPolicy{{"incremental", Incremental{cfg}}, {"static", Static{cfg}}, {"reshuffle", Reshuffle{cfg}}}
}

// TestDriftOrdering compares the policies on a short run: incremental planning
// moves less than a reshuffle and has less skew than a static map.
func TestDriftOrdering(t *testing.T) {
	cfg := largeConfig(6)
	const intervals = 6
	incremental := runDrift(cfg, Incremental{cfg}, 1, 0.8, intervals)
	static := runDrift(cfg, Static{cfg}, 1, 0.8, intervals)
	reshuffle := runDrift(cfg, Reshuffle{cfg}, 1, 0.8, intervals)
	assert.Assert(t, incremental.skew < static.skew)
	assert.Assert(t, incremental.rankBytes+incremental.storeBytes < reshuffle.rankBytes+reshuffle.storeBytes)
	assert.Assert(t, incremental.worst <= wantedSkew, "skew %g", incremental.worst)
}

// TestDriftExperiment prints a table over Zipf exponents, slots and seeds. It runs with
//
//	EXPERTMAP_EXPERIMENT=1 go test ./balance/expertmap -run TestDriftExperiment -v
func TestDriftExperiment(t *testing.T) {
	if os.Getenv("EXPERTMAP_EXPERIMENT") == "" {
		t.Skip("set EXPERTMAP_EXPERIMENT=1 to run the experiment")
	}
	const intervals, seeds = 40, 5
	w := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	fmt.Fprintln(w, "exponent\tslots\tpolicy\tskew mean\tskew worst after change\tlower bound mean\tlower bound worst\tmissed\tchanges\tmoves/change\tMB/change\tsteps slowed/change\tfrom ranks %")
	for _, exponent := range []float64{0.4, 0.8, 1.0, 1.2} {
		for _, slots := range []int{4, 5, 6} {
			for _, p := range policiesFor(largeConfig(slots)) {
				var sum driftResult
				for seed := range uint64(seeds) {
					sum.add(runDrift(largeConfig(slots), p.policy, seed, exponent, intervals))
				}
				sum.print(w, exponent, slots, p.name, seeds)
			}
		}
	}
	assert.NilError(t, w.Flush())
}

func (r *driftResult) add(o driftResult) {
	r.changes += o.changes
	r.slowed += o.slowed
	r.moves += o.moves
	r.rankBytes += o.rankBytes
	r.storeBytes += o.storeBytes
	r.skew += o.skew
	r.bound += o.bound
	r.missed += o.missed
	r.worst = max(r.worst, o.worst)
	r.worstBound = max(r.worstBound, o.worstBound)
}

func (r *driftResult) print(w *tabwriter.Writer, exponent float64, slots int, name string, seeds int) {
	n := float64(max(r.changes, 1))
	bytes := float64(r.rankBytes + r.storeBytes)
	fmt.Fprintf(w, "%.1f\t%d\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.1f\t%.0f\t%.1f\t%.1f\n",
		exponent, slots, name, r.skew/float64(seeds), r.worst, r.bound/float64(seeds), r.worstBound, r.missed,
		r.changes, float64(r.moves)/n, bytes/n/1e6, float64(r.slowed)/n, 100*float64(r.rankBytes)/max(bytes, 1))
}
