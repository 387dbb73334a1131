package mapswitch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxWrongStepLead bounds how far ahead of the group a wrong step passes for a true one.
const maxWrongStepLead = 32

// spoiler changes one number of some reports by one bit of its first digit.
type spoiler struct {
	rng *rand.Rand
	// share is the number of reports out of 1000 that are spoiled.
	share int
}

func (s *spoiler) spoil(r *Report) {
	if s.rng.IntN(1000) >= s.share {
		return
	}
	step := r.Step
	field := []*uint64{&r.Step, &r.Version, &r.Prepared, &r.Armed, &r.Held}[s.rng.IntN(5)]
	digits := []byte(strconv.FormatUint(*field, 10))
	if *field == 0 { // Reported as null, which has no digits.
		return
	}
	for _, bit := range s.rng.Perm(4) {
		if d := digits[0] ^ 1<<bit; d >= '1' && d <= '9' {
			digits[0] = d
			break
		}
	}
	*field, _ = strconv.ParseUint(string(digits), 10, 64)
	r.Step = min(r.Step, step+maxWrongStepLead)
}

// TestSchedulesWithWrongReports checks that no step begins with two maps and that no group stays
// held while a wrong digit in some reports is another step, version or held step.
func TestSchedulesWithWrongReports(t *testing.T) {
	for seed := range *schedules {
		s := &spoiler{rng: rand.New(rand.NewPCG(uint64(seed), 2)), share: 20}
		w := newWorld(uint64(seed), 2+seed%3)
		w.spoil = s.spoil
		assert.NilError(t, w.explore(), "seed %d", seed)
	}
}

// TestWrongStepDelaysNoReports guards against a step that is too high in one report: the rank's
// later reports are ignored until the group gets there, which a held group never does.
func TestWrongStepDelaysNoReports(t *testing.T) {
	const ranks = 3
	c := New(Config{Ranks: ranks}, 1)
	for now := time.Duration(0); now < 500*time.Millisecond; now += 10 * time.Millisecond {
		for r := range ranks {
			report := Report{Rank: r, Epoch: 1, Open: true, Step: 100 + uint64(now/(50*time.Millisecond))}
			if r == 1 && now == 100*time.Millisecond {
				report.Step += 30
			}
			if r == 1 && now > 300*time.Millisecond {
				report.Held = 200
			}
			c.Report(report, now)
			c.SetContent(1, 0, mapWith(0))
		}
		c.Tick(now)
	}
	assert.Equal(t, c.ranks[1].report.Held, uint64(200))
	assert.Equal(t, c.lastStep(), uint64(109))
	assert.Assert(t, c.stepTime > 0)
}

// TestReleasableStepIsNotHeldAgain guards against a held step that a report names wrongly: it is
// released, and a later change that holds the same step would be released before it is armed.
func TestReleasableStepIsNotHeldAgain(t *testing.T) {
	c := New(Config{Ranks: 4}, 1)
	first := c.nextHoldStep(100)
	c.releasable[heldStep{c.ownRank, first}] = true
	assert.Assert(t, c.nextHoldStep(100) > first)
}

// TestFormReturnsToLowerEpoch guards against an epoch that is too high in a report: the reports of
// the true epoch are ignored for good.
func TestFormReturnsToLowerEpoch(t *testing.T) {
	c := New(Config{Ranks: 1}, 1)
	c.Form(9, 0)
	c.Form(1, time.Second)
	c.Report(Report{Epoch: 1, Open: true, Step: 5}, time.Second)
	assert.Equal(t, c.Epoch(), uint64(1))
	assert.Equal(t, c.lastStep(), uint64(5))
}
