package admit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

var epoch = time.Unix(1_000_000, 0)

func controller(teams ...Team) *Controller {
	c := New(Config{Rand: func() float64 { return 0 }})
	c.SetTeams(teams)
	return c
}

func request(team id.Team, expected time.Duration, now time.Time) Request {
	return Request{Team: team, Tokens: 100, Expected: expected, Deadline: now.Add(time.Second), Now: now}
}

func refused(t *testing.T, err error) *RefusedError {
	t.Helper()
	var r *RefusedError
	assert.Assert(t, errors.As(err, &r), "%v", err)
	return r
}

func TestDeadline(t *testing.T) {
	tests := []struct {
		name     string
		expected time.Duration
		deadline time.Duration // zero: none
		retry    time.Duration // zero: accepted
	}{
		{"in time", 500 * time.Millisecond, time.Second, 0},
		{"too late", 3 * time.Second, time.Second, 2 * time.Second},
		{"just too late", time.Second, time.Second, minRetryAfter},
		{"deadline passed", 0, -time.Second, minRetryAfter},
		{"no deadline", 9 * time.Second, 0, 0},
		{"no deadline, too long", 11 * time.Second, 0, time.Second},
		{"very long", 10 * time.Hour, time.Second, maxRetryAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := controller(Team{"a", 1})
			r := Request{Team: "a", Tokens: 1, Expected: tt.expected, Now: epoch}
			if tt.deadline != 0 {
				r.Deadline = epoch.Add(tt.deadline)
			}
			err := c.Admit(r)
			if tt.retry == 0 {
				assert.NilError(t, err)
				return
			}
			got := refused(t, err)
			assert.Equal(t, got.Reason, ReasonDeadline)
			assert.Equal(t, got.RetryAfter, tt.retry)
			assert.Equal(t, got.Predicted, tt.expected)
			assert.ErrorContains(t, err, `team "a" refused`)
		})
	}
}

func TestObservedErrorTightensAndFades(t *testing.T) {
	c := controller(Team{"a", 1})
	r := request("a", 700*time.Millisecond, epoch)
	assert.NilError(t, c.Admit(r))
	for range 20 {
		c.Observe(100*time.Millisecond, 500*time.Millisecond, epoch)
	}
	got := refused(t, c.Admit(r))
	assert.Equal(t, got.Reason, ReasonDeadline)
	assert.Assert(t, got.Predicted > time.Second)
	later := epoch.Add(10 * time.Second)
	assert.NilError(t, c.Admit(request("a", 700*time.Millisecond, later)))
}

// offerLoad offers one request of 100 tokens per listed team in each round of 20 ms
// to a queue that serves one request per round, and returns the accepted requests.
// The backlog is the expected time to first token of the next request.
func offerLoad(c *Controller, rounds int, teams ...id.Team) map[id.Team]int {
	const serve = 20 * time.Millisecond
	accepted := map[id.Team]int{}
	backlog := time.Duration(0)
	for i := range rounds {
		now := epoch.Add(time.Duration(i) * serve)
		for _, team := range teams {
			if c.Admit(request(team, backlog, now)) == nil {
				accepted[team]++
				backlog += serve
			}
		}
		backlog = max(backlog-serve, 0)
	}
	return accepted
}

func TestSharesUnderContention(t *testing.T) {
	tests := []struct {
		name      string
		teams     []id.Team // offered in one round
		low, high float64   // accepted requests of the greedy team for one of team b
	}{
		{"greedy is held to its weight", []id.Team{"greedy", "greedy", "greedy", "greedy", "b"}, 0.8, 1.25},
		{"weight", []id.Team{"greedy", "greedy", "greedy", "greedy", "heavy", "heavy", "b"}, 0.8, 1.25},
		{"idle share is lent", []id.Team{"greedy", "greedy", "greedy"}, 1e9, 1e9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			c := New(Config{Rand: rng.Float64})
			c.SetTeams([]Team{{"greedy", 1}, {"b", 1}, {"heavy", 2}, {"idle", 5}})
			const rounds = 3000
			got := offerLoad(c, rounds, tt.teams...)
			sum := got["greedy"] + got["b"] + got["heavy"]
			assert.Assert(t, sum >= rounds && sum <= rounds+50, "all capacity is used and no more: %v", got)
			if got["b"] == 0 {
				return
			}
			ratio := float64(got["greedy"]) / float64(got["b"])
			assert.Assert(t, ratio >= tt.low && ratio <= tt.high, "%v", got)
		})
	}
}

// TestConstantPressureStarvesNoTeam keeps the pressure high whatever the controller decides.
func TestConstantPressureStarvesNoTeam(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := New(Config{Rand: rng.Float64})
	c.SetTeams([]Team{{"a", 1}})
	accepted := 0
	for i := range 3000 {
		now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
		if c.Admit(request("a", 700*time.Millisecond, now)) == nil && i > 1500 {
			accepted++
		}
	}
	assert.Assert(t, accepted > 0)
}

func TestShareRefusalHasRetryAfter(t *testing.T) {
	c := New(Config{Rand: func() float64 { return 0.999 }})
	c.SetTeams([]Team{{"greedy", 1}, {"b", 1}})
	offerLoad(c, 300, "greedy", "greedy", "greedy", "b")
	now := epoch.Add(300 * 20 * time.Millisecond)
	got := refused(t, c.Admit(request("greedy", 800*time.Millisecond, now)))
	assert.Equal(t, got.Reason, ReasonOverShare)
	assert.Assert(t, got.RetryAfter >= minRetryAfter && got.RetryAfter <= maxRetryAfter)
}

func TestIdleTeamsDoNotCount(t *testing.T) {
	c := controller(Team{"a", 1}, Team{"b", 9})
	offerLoad(c, 10, "a", "b")
	assert.Equal(t, c.activeWeight, 10.0)
	later := epoch.Add(time.Minute)
	assert.NilError(t, c.Admit(request("a", 0, later)))
	assert.Equal(t, c.activeWeight, 1.0)
	assert.Equal(t, c.active.Len(), 1)
}

func TestSetTeamsKeepsUsage(t *testing.T) {
	c := controller(Team{"a", 1}, Team{"b", 1})
	offerLoad(c, 10, "a", "b", "stranger")
	before := c.teams["a"].offered.sum
	c.SetTeams([]Team{{"a", 4}})
	assert.Equal(t, c.teams["a"].offered.sum, before)
	assert.Equal(t, c.activeWeight, 5.0, "a and the unknown team")
	c.SetTeams(nil)
	assert.Equal(t, c.activeWeight, 1.0)
}

func TestRefund(t *testing.T) {
	c := controller(Team{"a", 1})
	assert.NilError(t, c.Admit(request("a", 0, epoch)))
	c.Refund("a", 60, epoch)
	assert.Equal(t, c.teams["a"].offered.sum, 40.0)
	assert.Equal(t, c.accepted.sum, 40.0)
	c.Refund("a", 60, epoch)
	assert.Equal(t, c.accepted.sum, 0.0)
}

func TestConcurrentUse(t *testing.T) {
	c := controller(Team{"a", 1}, Team{"b", 1})
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 300 {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				_ = c.Admit(request(id.Team("abcd"[g:g+1]), 500*time.Millisecond, now))
				c.Observe(0, time.Millisecond, now)
				if i%100 == 0 {
					c.SetTeams([]Team{{"a", float64(i + 1)}, {"c", 1}})
				}
			}
		})
	}
	wg.Wait()
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{10, 890} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			var teams []Team
			for i := range n {
				teams = append(teams, Team{Name: id.Team(fmt.Sprint(i)), Weight: 1})
			}
			c := controller(teams...)
			now := epoch
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				_ = c.Admit(request(teams[i%n].Name, 500*time.Millisecond, now))
			}
		})
	}
}
