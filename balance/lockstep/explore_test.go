package lockstep

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	scheduleActions = 800
	settleRounds    = 80
	fixedSeed       = "20260211"
	fixedSchedules  = 2000
	// mutantSchedules is the number of schedules within which a mutant must be detected.
	mutantSchedules = 5000
)

// TestMain fixes the seed of rapid, unless one is given, so that every run
// explores the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(fixedSeed)
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == "100" {
		_ = f.Value.Set(strconv.Itoa(fixedSchedules))
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestSchedules explores schedules with rapid. A longer exploration:
//
//	go test ./balance/lockstep -run TestSchedules -rapid.checks=100000 -rapid.seed=1 -timeout 30m -v
func TestSchedules(t *testing.T) {
	var total, switches, restarts, rounds, worst int
	rapid.Check(t, func(t *rapid.T) {
		// A single drawn seed reproduces the schedule.
		seed := rapid.Uint64().Draw(t, "schedule")
		n := rapid.IntRange(2, 4).Draw(t, "ranks")
		draw := drawer(seed)
		m := newModel(n)
		if err := explore(m, draw); err != nil {
			t.Fatal(err)
		}
		took, err := m.settle(draw, settleRounds)
		if err != nil {
			t.Fatal(err)
		}
		total++
		switches += m.checker.switches
		restarts += m.restarts
		rounds += took
		worst = max(worst, took)
	})
	t.Logf("schedules %d, map switches %d, rank restarts %d, rounds until every engine used the newest map: mean %.1f, worst %d",
		total, switches, restarts, float64(rounds)/float64(max(total, 1)), worst)
	assert.Assert(t, switches > 0)
	assert.Assert(t, restarts > 0)
}

func drawer(seed uint64) func(n int) int {
	r := rand.New(rand.NewPCG(seed, 0))
	return r.IntN
}

func explore(m *model, draw func(n int) int) error {
	if _, err := m.settle(draw, settleRounds); err != nil {
		return err
	}
	chances := profile(draw)
	for range scheduleActions {
		if err := m.act(chances, draw); err != nil {
			return err
		}
	}
	return nil
}

// firstViolation runs schedules of a mutated model until the checker finds a violation.
func firstViolation(mutate func(*model)) (int, error) {
	for i := range mutantSchedules {
		m := newModel(2 + i%2)
		mutate(m)
		draw := drawer(uint64(i))
		var broken *violation
		if err := explore(m, draw); errors.As(err, &broken) {
			return i, err
		}
	}
	return mutantSchedules, nil
}

// TestMutantsAreCaught checks that the model detects faults of the protocol.
func TestMutantsAreCaught(t *testing.T) {
	mutants := []struct {
		name   string
		mutate func(*model)
	}{
		{"rank promises without stopping its engine", func(m *model) {
			m.afterReceive = func(r *Rank) { r.promised = !r.pending.IsZero() }
		}},
		{"rank obeys lower epochs", func(m *model) {
			m.beforeReceive = func(r *Rank, c Command) { r.epoch = min(r.epoch, c.Epoch) }
		}},
		{"rank commits a decision that it did not promise", func(m *model) {
			m.beforeReceive = func(r *Rank, c Command) {
				if c.Kind == Commit {
					r.pending, r.promised = c.Decision, true
				}
			}
		}},
		{"coordinator commits with a majority", func(m *model) { m.afterReport = majority }},
		{"coordinator acts before every rank has joined", func(m *model) { m.afterReport = assumeJoined }},
		{"rank forgets its promise when it joins a higher epoch", func(m *model) {
			m.beforeReceive = func(r *Rank, c Command) {
				if c.Kind == Join && c.Epoch > r.epoch {
					r.clearPending()
					r.updateOrder()
				}
			}
		}},
		{"engine ignores fencing tokens and orders arrive late", func(m *model) {
			for _, e := range m.engines {
				e.ignoreFence = true
			}
		}},
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			i, err := firstViolation(mutant.mutate)
			assert.Assert(t, err != nil, "not caught in %d schedules", mutantSchedules)
			t.Logf("caught in schedule %d: %v", i, err)
		})
	}
}

// majority makes the coordinator count the missing promises of a minority as given.
func majority(c *Coordinator) {
	var promised int
	for i := range c.ranks {
		if c.promised(&c.ranks[i].report) {
			promised++
		}
	}
	if c.proposed.IsZero() || promised <= len(c.ranks)/2 {
		return
	}
	for i := range c.ranks {
		r := &c.ranks[i].report
		r.Pending, r.PendingEpoch, r.Promised = c.proposed, c.epoch, true
	}
}

// assumeJoined makes the coordinator assume that ranks which have not joined report
// the same state as one that has.
func assumeJoined(c *Coordinator) {
	if c.epoch.Lease() == 1 {
		return
	}
	for i := range c.ranks {
		if !c.ranks[i].joined {
			continue
		}
		for j := range c.ranks {
			if v := &c.ranks[j]; !v.joined {
				v.report, v.joined = c.ranks[i].report, true
				v.report.Rank, v.report.Seq = j, 0
			}
		}
		return
	}
}

// TestEngineIgnoresFencing checks that engines without fencing stay consistent if
// their agent has at most one order in flight.
func TestEngineIgnoresFencing(t *testing.T) {
	for i := range 1000 {
		m := newModel(3)
		m.lateOrders = false
		for _, e := range m.engines {
			e.ignoreFence = true
		}
		draw := drawer(uint64(i))
		assert.NilError(t, explore(m, draw), "schedule %d", i)
		_, err := m.settle(draw, settleRounds)
		assert.NilError(t, err, "schedule %d", i)
	}
}
