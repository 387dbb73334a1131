package route_test

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/route"
	"github.com/siskinford/siskinford/core/id"
)

var experiment = flag.Bool("experiment", false, "run the experiments at full length and print their tables")

const (
	fullLength  = 40 * time.Second
	shortLength = 16 * time.Second
)

func experimentLength() time.Duration {
	if *experiment {
		return fullLength
	}
	return shortLength
}

func experimentSeeds() []uint64 {
	if *experiment {
		return []uint64{1, 2, 3, 4, 5}
	}
	return []uint64{1}
}

// with returns a changed copy.
func (c scenario) with(name string, change func(*scenario)) scenario {
	c.name = name
	change(&c)
	return c
}

// routing returns the scenarios for the comparison of the policies.
func routing(length time.Duration) []scenario {
	base := scenario{duration: length, load: constant(0.8), slow: -1, misreporting: -1}
	with := base.with
	return []scenario{
		with("steady 0.8", func(*scenario) {}),
		with("steady 0.8, uneven", func(c *scenario) { c.uneven = true }),
		with("swing 0.25 to 1.0", func(c *scenario) { c.load = swing(0.25, length/4, length/4) }),
		with("heavy tail", func(c *scenario) { c.heavy = true; c.load = constant(0.7) }),
		with("endpoint slow x5", func(c *scenario) { c.slow = 4; c.load = constant(0.7) }),
		with("slow x5, not reported", func(c *scenario) { c.slow = 4; c.hidden = true; c.load = constant(0.7) }),
		with("lag 250 ms", func(c *scenario) { c.lag = 250 * time.Millisecond }),
		with("lag 1 s", func(c *scenario) { c.lag = time.Second }),
		with("reports lost 20 %", func(c *scenario) { c.lostFraction = 0.2 }),
		with("4 entries per zone", func(c *scenario) { c.perZone = 4 }),
		with("4 entries per zone, lag 1 s", func(c *scenario) { c.perZone = 4; c.lag = time.Second }),
		with("4 entries per zone, slow x5", func(c *scenario) { c.perZone = 4; c.slow = 4; c.load = constant(0.7) }),
		with("4 entries per zone, liar", func(c *scenario) { c.perZone = 4; c.misreporting = 4 }),
		with("liar", func(c *scenario) { c.misreporting = 4 }),
		with("zone lost at the crest", func(c *scenario) {
			c.load = swing(0.15, length/4, length/2)
			c.lostZone = "c"
		}),
		with("prefix reuse", func(c *scenario) { c.prefixes = true }),
		with("prefix reuse, gaps", func(c *scenario) { c.prefixes, c.gaps = true, true }),
	}
}

// merge adds the measurements of another run.
func (r *result) merge(o *result) {
	r.first = append(r.first, o.first...)
	r.arrivals += o.arrivals
	r.good += o.good
	r.failed += o.failed
	r.refused += o.refused
	r.attempts += o.attempts
	r.requests += o.requests
	r.cached += o.cached
	r.blocks += o.blocks
	r.served += o.served
	for name, work := range o.teamWork {
		r.teamWork[name] += work
	}
}

func overSeeds(c scenario) *result {
	sum := &result{teamWork: map[id.Team]float64{}}
	for _, seed := range experimentSeeds() {
		c.seed = seed
		sum.merge(simulate(c))
	}
	return sum
}

func (r *result) row() string {
	return fmt.Sprintf("%s\t%s\t%s\t%.1f\t%d\t%.0f",
		r.quantile(0.5), r.quantile(0.95), r.quantile(0.99),
		100*float64(r.good)/float64(max(r.arrivals, 1)), r.failed,
		100*float64(r.cached)/float64(max(r.blocks, 1)))
}

func table(t *testing.T, header string, rows []string) {
	t.Helper()
	if !*experiment {
		return
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	_ = w.Flush()
	t.Log("\n" + b.String())
}

// comparePolicies runs a scenario under each policy in parallel.
func comparePolicies(c scenario) map[route.Policy]*result {
	policies := route.Policies()
	list := make([]*result, len(policies))
	var wg sync.WaitGroup
	for i, p := range policies {
		wg.Go(func() {
			run := c
			run.policy = p
			list[i] = overSeeds(run)
		})
	}
	wg.Wait()
	out := map[route.Policy]*result{}
	for i, p := range policies {
		out[p] = list[i]
	}
	return out
}

// TestExperimentRouting checks the orderings of the policies that hold in all scenarios.
func TestExperimentRouting(t *testing.T) {
	var rows []string
	for _, c := range routing(experimentLength()) {
		results := comparePolicies(c)
		for _, p := range route.Policies() {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", c.name, p, results[p].row()))
		}
		got := results[route.PredictedTime]
		for _, p := range []route.Policy{route.RoundRobin, route.LeastConnections} {
			base := results[p]
			if p == route.RoundRobin {
				assert.Check(t, got.quantile(0.95) <= base.quantile(0.95), "%s: p95 against %s", c.name, p)
			}
			assert.Check(t, float64(got.good)/float64(got.arrivals) >= 0.99*float64(base.good)/float64(base.arrivals),
				"%s: answers within the deadline against %s", c.name, p)
		}
		if c.lostZone == "" {
			assert.Check(t, got.failed == 0, "%s: %d failed", c.name, got.failed)
		}
	}
	table(t, "scenario\tpolicy\tp50\tp95\tp99\tgood %\tfailed\tcached %", rows)
}

// admission returns the scenarios at twice the capacity.
func admission(length time.Duration) []scenario {
	base := scenario{duration: length, load: constant(2), slow: -1, misreporting: -1, policy: route.PredictedTime}
	with := base.with
	return []scenario{
		with("unbounded queue", func(*scenario) {}),
		with("admission", func(c *scenario) { c.admit = true }),
		with("unbounded queue, heavy tail", func(c *scenario) { c.heavy = true }),
		with("admission, heavy tail", func(c *scenario) { c.heavy, c.admit = true, true }),
		with("admission, lag 1 s", func(c *scenario) { c.admit = true; c.lag = time.Second }),
		with("admission, liar", func(c *scenario) { c.admit = true; c.misreporting = 4 }),
		with("admission, swing 0.5 to 2", func(c *scenario) {
			c.admit = true
			c.load = swing(0.5, length/4, length/4)
		}),
	}
}

// capacity returns the requests served from an unbounded queue with all slots in use.
func capacity(c scenario) int {
	c.admit, c.lag, c.misreporting, c.load = false, 0, -1, constant(2)
	return overSeeds(c).served
}

func TestExperimentAdmission(t *testing.T) {
	var rows []string
	length := max(experimentLength(), 40*time.Second) // by then an unbounded queue exceeds the deadline
	unbounded := 0                                    // answers within the deadline without admission
	served := map[bool]int{}                          // capacity without and with the heavy tail
	for _, c := range admission(length) {
		if served[c.heavy] == 0 {
			served[c.heavy] = capacity(c)
		}
		r, full := overSeeds(c), served[c.heavy]
		rows = append(rows, fmt.Sprintf("%s\t%d\t%.1f\t%s\t%s\t%s\t%d\t%d", c.name, r.arrivals,
			100*float64(r.good)/float64(full), r.quantile(0.5), r.quantile(0.95), r.quantile(0.99),
			r.refused, r.arrivals-r.refused-r.good))
		if c.load(0) < 2 {
			continue
		}
		if c.admit {
			assert.Check(t, r.good*100 >= full*95, "%s: %d within the deadline, capacity %d", c.name, r.good, full)
			assert.Check(t, r.good > unbounded, "%s: %d within the deadline, %d without", c.name, r.good, unbounded)
		} else {
			unbounded = r.good
		}
	}
	table(t, "scenario\tarrivals\tgoodput % of capacity\tp50\tp95\tp99\trefused\taccepted but late", rows)
}

// TestExperimentTeams offers twice the capacity. The fair share of each team is its
// demand or its weighted share of what the others leave (max-min fairness).
func TestExperimentTeams(t *testing.T) {
	base := scenario{duration: max(experimentLength(), 40*time.Second), load: constant(2), slow: -1, misreporting: -1, policy: route.PredictedTime, admit: true}
	full := capacity(base)
	var rows []string
	for _, c := range []struct {
		name  string
		teams []team
		fair  float64 // percent of the tokens for the greedy team
	}{
		{"greedy 1.7, others 0.15 each", []team{{"greedy", 1, 0.85}, {"b", 1, 0.075}, {"c", 1, 0.075}}, 70},
		{"greedy 1.2, b 0.4, c (weight 2) 0.4", []team{{"greedy", 1, 0.6}, {"b", 1, 0.2}, {"c", 2, 0.2}}, 30},
		{"greedy 1.0, b 0.5, c 0.5", []team{{"greedy", 1, 0.5}, {"b", 1, 0.25}, {"c", 1, 0.25}}, 33.3},
		{"greedy alone", []team{{"greedy", 1, 1}, {"b", 1, 0}, {"c", 1, 0}}, 100},
	} {
		s := base
		s.teams = c.teams
		r := overSeeds(s)
		sum := r.teamWork["greedy"] + r.teamWork["b"] + r.teamWork["c"]
		greedy := 100 * r.teamWork["greedy"] / sum
		rows = append(rows, fmt.Sprintf("%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f", c.name, 100*float64(r.good)/float64(full),
			c.fair, greedy, 100*r.teamWork["b"]/sum, 100*r.teamWork["c"]/sum))
		assert.Check(t, greedy <= c.fair+5, "%s: %.1f %% of the tokens", c.name, greedy)
		assert.Check(t, r.good*100 >= full*95, "%s: %d within the deadline, capacity %d", c.name, r.good, full)
	}
	table(t, "offered load\tgoodput % of capacity\tfair % of greedy\tgreedy\tb\tc", rows)
}

func TestExperimentRetries(t *testing.T) {
	var rows []string
	for _, policy := range route.Policies() {
		for _, budget := range []bool{false, true} {
			c := scenario{
				duration: experimentLength(), load: constant(0.5), slow: -1, misreporting: -1, policy: policy,
				failing: 1.0 / 3, budget: budget,
			}
			r := overSeeds(c)
			rows = append(rows, fmt.Sprintf("%s\t%t\t%d\t%d\t%.3f\t%d", policy, budget, r.requests, r.attempts,
				float64(r.attempts)/float64(r.requests), r.failed))
			if budget || policy == route.PredictedTime {
				assert.Check(t, r.attempts*100 <= r.requests*110+1000, "%s: %d attempts of %d requests", policy, r.attempts, r.requests)
			}
		}
	}
	table(t, "policy\tbudget\trequests\tattempts\tattempts per request\tfailed", rows)
}
