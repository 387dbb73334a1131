package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

const ms = time.Millisecond

// newTestLearner returns a learner of plain endpoints with 6 slots and an overcommit of 4.
func newTestLearner(names ...id.Endpoint) *Learner {
	l := New(Config{})
	var list []Endpoint
	for _, name := range names {
		list = append(list, Endpoint{Name: name, Slots: 6, Overcommit: 4})
	}
	l.SetEndpoints(list)
	return l
}

// observe lets an endpoint answer 50 requests a second for a time, at concurrencies drawn up to the limit, and
// returns the time after it.
func observe(l *Learner, rng *rand.Rand, from, lasting time.Duration, times map[id.Endpoint]func(concurrent int) float64) time.Duration {
	now := from
	for ; now < from+lasting; now += 20 * ms {
		for name, f := range times {
			c := 1 + rng.IntN(l.Limit(name, now))
			l.Observe(name, c, time.Duration(f(c)*float64(30*ms)*(0.5+rng.Float64())), now)
		}
	}
	return now
}

func usual(c int) float64 { return max(1, float64(c)/6) }

func withKnee(c int) float64 { return 1 + float64(max(c-3, 0)) }

// TestLimitFollowsKnee checks that a limit falls to a knee within seconds, and guards against one that stays when the
// knee is gone, or when nothing is heard of the endpoint any more.
func TestLimitFollowsKnee(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	l := newTestLearner("a", "b", "c")
	knee := map[id.Endpoint]func(int) float64{"a": usual, "b": withKnee, "c": usual}
	now := observe(l, rng, 0, 5*time.Second, knee)
	assert.Assert(t, l.Limit("b", now) >= 2 && l.Limit("b", now) <= 5, "%d", l.Limit("b", now))
	assert.Equal(t, l.Limit("a", now), 10)
	assert.Assert(t, l.Relative("b", 9, now) > 1.3)

	gone := observe(l, rng, now, 10*time.Second, map[id.Endpoint]func(int) float64{"a": usual, "b": usual, "c": usual})
	assert.Equal(t, l.Limit("b", gone), 10)

	now = observe(l, rng, gone, 5*time.Second, knee)
	assert.Assert(t, l.Limit("b", now) <= 5)
	for end := now + 10*time.Second; now < end; now += 100 * ms {
		l.Limit("b", now)
	}
	assert.Equal(t, l.Limit("b", now), 10, "no fresh evidence")
	assert.Equal(t, l.Relative("b", 9, now) < 1.05, true)
}

// TestSlowEndpointKeepsItsSlots guards against a limit that falls because an endpoint is slow at each concurrency: a
// lower limit gains nothing there.
func TestSlowEndpointKeepsItsSlots(t *testing.T) {
	l := newTestLearner("a", "b", "c")
	slow := func(c int) float64 { return 3 * usual(c) }
	now := observe(l, rand.New(rand.NewPCG(2, 2)), 0, 5*time.Second, map[id.Endpoint]func(int) float64{"a": usual, "b": slow, "c": usual})
	assert.Assert(t, l.Limit("b", now) >= 6, "%d", l.Limit("b", now))
	assert.Assert(t, l.Limit("b", now) <= 8, "a third of the overcommit")
	got := l.Relative("b", 1, now)
	assert.Assert(t, got > 2.4 && got < 3.6, "%v", got)
}

// TestBoundsHoldForAnyObservations checks that no observation, report or time moves a limit out of its bounds.
func TestBoundsHoldForAnyObservations(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		names := make([]id.Endpoint, 1+rng.IntN(5))
		for i := range names {
			names[i] = id.Endpoint(fmt.Sprint(i))
		}
		l := newTestLearner(names...)
		now := time.Duration(0)
		for range 3000 {
			now += time.Duration(rng.Int64N(int64(50 * ms)))
			name := names[rng.IntN(len(names))]
			switch rng.IntN(10) {
			case 0:
				reports := make(map[id.Endpoint][]Report)
				for range rng.IntN(5) {
					reports[name] = append(reports[name], Report(rng.IntN(256)))
				}
				l.SetPeers(reports, rng.IntN(20))
			case 1:
				l.SetPeerLoad(name, rng.IntN(100), now)
			default:
				l.Observe(name, rng.IntN(20)-1, time.Duration(rng.ExpFloat64()*float64(100*ms))-ms, now)
			}
			limit, relative := l.Limit(name, now), l.Relative(name, rng.IntN(12), now)
			assert.Assert(t, limit >= 1 && limit <= 10, "%d", limit)
			assert.Assert(t, relative >= 1.0/maxSpeed && relative <= maxSpeed, "%v", relative)
		}
	}
}

// TestReportsOfOthers checks that one source never decides, and by how much several do.
func TestReportsOfOthers(t *testing.T) {
	l := newTestLearner("a", "b")
	lie := newReport(5.7, 1)
	l.SetPeers(map[id.Endpoint][]Report{"a": {lie}}, 1)
	assert.Equal(t, l.Limit("a", 0), 10)
	assert.Equal(t, l.Relative("a", 1, 0), 1.0)
	l.SetPeers(map[id.Endpoint][]Report{"a": {lie, lie, 0, 0x10}}, 20)
	assert.Equal(t, l.Limit("a", 0), 10, "no quorum")
	l.SetPeers(map[id.Endpoint][]Report{"a": {lie, lie}}, 2)
	assert.Equal(t, l.Limit("a", 0), 3, "half of the slots")
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 100 * ms {
		l.Limit("a", now)
	}
	assert.Equal(t, l.Relative("a", 1, now), 2.0)
	l.SetPeers(nil, 2)
	for end := now + 3*time.Second; now < end; now += 100 * ms {
		l.Limit("a", now)
	}
	assert.Equal(t, l.Limit("a", now), 10)
	assert.Equal(t, len(l.Reports(now)), 0, "what others told is not passed on")
}

// TestReportEncoding checks that a report fits in a byte with an error of at most a ninth.
func TestReportEncoding(t *testing.T) {
	for speed := 0.5; speed < 5.6; speed *= 1.05 {
		for limit := 1; limit <= 15; limit++ {
			r := newReport(speed, limit)
			assert.Assert(t, r.valid())
			assert.Equal(t, r.limit(), limit)
			assert.Assert(t, r.speed()/speed < 1.1 && speed/r.speed() < 1.1)
		}
	}
	assert.Assert(t, newReport(1, noLimit).usual())
	assert.Equal(t, Combine([]Report{newReport(1, 3), newReport(4, 15)}, 2), newReport(1, 15), "a tie goes to the usual")
	assert.Equal(t, Combine([]Report{newReport(0.5, 3), newReport(1, 3)}, 2), newReport(1, 3), "a tie goes to the usual")
}

// TestRanksShareTheirGroupsPace guards against a limit learnt for a rank that is slow because its group is, and against
// reports of each rank of a group.
func TestRanksShareTheirGroupsPace(t *testing.T) {
	l := New(Config{})
	var list []Endpoint
	groupOf := func(i int) id.Group { return id.Group([]string{"g", "h", "i"}[i/4]) }
	name := func(i int) id.Endpoint { return id.Endpoint(fmt.Sprintf("r%02d", i)) }
	for i := range 12 {
		list = append(list, Endpoint{Name: name(i), Slots: 10, Shared: true})
	}
	l.SetEndpoints(list)
	l.Observe("r00", 3, time.Second, 0) // Its group is not known yet.
	for i := range 12 {
		l.SetGroup(name(i), groupOf(i))
	}
	now := time.Duration(0)
	for range 300 {
		now += 10 * ms
		l.Observe("r00", 9, 40*ms, now) // The others of its group are not observed.
		l.Observe("r04", 9, 20*ms, now)
		l.Observe("r08", 1, 20*ms, now)
	}
	for i := range 12 {
		assert.Equal(t, l.Limit(name(i), now), 10)
		got, want := l.Relative(name(i), 9, now), 1.0
		if i < 4 {
			want = 2
		}
		assert.Assert(t, got > 0.95*want && got < 1.05*want, "%v: %v", name(i), got)
	}
	reports := l.Reports(now)
	assert.Equal(t, len(reports), 1)
	assert.Assert(t, reports["r00"].speed() > 1.8)
	l.SetPeers(map[id.Endpoint][]Report{"r05": {0xaf}, "r07": {0xaf}}, 2)
	for range 20 {
		now += 100 * ms
		l.Limit("r06", now)
	}
	assert.Assert(t, l.Relative("r06", 1, now) > 1.5, "reports of two ranks are of one group")
}

// TestReportsAreBounded checks the number of reports of a service whose endpoints all differ.
func TestReportsAreBounded(t *testing.T) {
	var names []id.Endpoint
	for i := range 300 {
		names = append(names, id.Endpoint(fmt.Sprintf("e%03d", i)))
	}
	l := newTestLearner(names...)
	now := time.Duration(0)
	for range 200 {
		now += 20 * ms
		for i, name := range names {
			l.Observe(name, 1, time.Duration(10+20*(i%3))*ms, now)
		}
	}
	assert.Equal(t, len(l.Reports(now)), MaxReports)
}
