package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/siskinford/siskinford/core/id"
)

var epoch = time.Unix(1_000_000, 0)

const step = 20 * time.Millisecond

// testTable returns a table of n endpoints in each zone that have not reported yet.
func testTable(n int, zones ...id.Zone) (*Table, []Endpoint) {
	rng := rand.New(rand.NewPCG(1, 2))
	t := NewTable(Config{Start: epoch, Rand: rng.Uint64})
	var list []Endpoint
	for _, z := range zones {
		for i := range n {
			name := id.Endpoint(fmt.Sprintf("%s-%d", z, i))
			list = append(list, Endpoint{Name: name, Service: "s", Zone: z, Weight: 1})
		}
	}
	t.SetEndpoints(list, epoch)
	return t, list
}

func idle(e id.Endpoint, seq uint64) Report {
	return Report{Endpoint: e, Incarnation: "i1", Seq: seq, Healthy: true, Slots: 4, StepTime: step}
}

func busy(e id.Endpoint, seq uint64, queued uint32) Report {
	r := idle(e, seq)
	r.Running, r.RunningTokens = 4, 400
	r.Queued, r.QueuedTokens = queued, uint64(queued)*100
	return r
}

func request(now time.Time) Request {
	return Request{Service: "s", Zone: "a", Work: 100, Now: now}
}

func mustNew(t testing.TB, p Policy, table *Table) Picker {
	t.Helper()
	picker, err := New(p, table)
	assert.NilError(t, err)
	return picker
}

func TestNotReadyEndpointsGetNoWork(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Endpoint, *Report)
		want   Reason
	}{
		{"weight", func(e *Endpoint, _ *Report) { e.Weight = 0 }, ReasonZeroWeight},
		{"drained by operators", func(e *Endpoint, _ *Report) { e.Draining = true }, ReasonDraining},
		{"drains itself", func(_ *Endpoint, r *Report) { r.Draining = true }, ReasonDraining},
		{"unhealthy", func(_ *Endpoint, r *Report) { r.Healthy = false }, ReasonUnhealthy},
		{"no report", func(_ *Endpoint, r *Report) { r.Endpoint = "other" }, ReasonNoReport},
		{"old report", func(_ *Endpoint, r *Report) { r.Age = 4 * time.Second }, ReasonStaleReport},
		{"excluded", func(_ *Endpoint, r *Report) {}, ReasonExcluded},
	}
	for _, tt := range tests {
		for _, policy := range Policies() {
			t.Run(fmt.Sprintf("%s/%s", tt.name, policy), func(t *testing.T) {
				table, list := testTable(2, "a")
				table.Report(idle("a-1", 1), epoch)
				r := idle("a-0", 1)
				tt.change(&list[0], &r)
				table.SetEndpoints(list, epoch)
				table.Report(r, epoch)
				picker := mustNew(t, policy, table)
				q := request(epoch)
				if tt.want == ReasonExcluded {
					q.Exclude = []id.Endpoint{"a-0"}
				}
				for range 50 {
					c, err := picker.Pick(q)
					assert.NilError(t, err)
					assert.Equal(t, c.Endpoint, id.Endpoint("a-1"))
				}
				q.Exclude = append(q.Exclude, "a-1")
				_, err := picker.Pick(q)
				var none *NoEndpointError
				assert.Assert(t, errors.As(err, &none))
				assert.DeepEqual(t, none.Endpoints, []EndpointReason{
					{Endpoint: "a-0", Reason: tt.want},
					{Endpoint: "a-1", Reason: ReasonExcluded},
				})
			})
		}
	}
}

func TestReportsExpireWithoutTimer(t *testing.T) {
	for _, policy := range Policies() {
		table, _ := testTable(4, "a")
		for i := range 4 {
			table.Report(idle(id.Endpoint(fmt.Sprintf("a-%d", i)), 1), epoch)
		}
		later := epoch.Add(2 * time.Second)
		table.Report(idle("a-2", 2), later)
		late := epoch.Add(3500 * time.Millisecond)
		picker := mustNew(t, policy, table)
		for range 20 {
			c, err := picker.Pick(request(late))
			assert.NilError(t, err)
			assert.Equal(t, c.Endpoint, id.Endpoint("a-2"))
		}
		table.Report(idle("a-1", 2), late)
		seen := map[id.Endpoint]bool{}
		for range 50 {
			c, err := picker.Pick(request(late))
			assert.NilError(t, err)
			seen[c.Endpoint] = true
		}
		assert.Equal(t, len(seen), 2, "%s: an endpoint that reports again is used again", policy)
	}
}

func TestReportOrder(t *testing.T) {
	table, _ := testTable(1, "a")
	assert.Assert(t, table.Report(idle("a-0", 5), epoch))
	assert.Assert(t, !table.Report(idle("a-0", 5), epoch), "repeated")
	assert.Assert(t, !table.Report(idle("a-0", 4), epoch), "late")
	next := idle("a-0", 1)
	next.Incarnation = "i2"
	assert.Assert(t, table.Report(next, epoch))
	assert.Assert(t, !table.Report(idle("a-0", 6), epoch), "earlier incarnation")
	c, err := mustNew(t, PredictedTime, table).Pick(request(epoch))
	assert.NilError(t, err)
	assert.Equal(t, c.Incarnation, id.Incarnation("i2"))
}

// TestOwnDispatchesCorrectReport checks that a report replaces only the dispatches
// that preceded the measurement of its load.
func TestOwnDispatchesCorrectReport(t *testing.T) {
	table, _ := testTable(1, "a")
	table.Report(idle("a-0", 1), epoch)
	c, ok := table.PinnedChoice(request(epoch), "a-0", "i1")
	assert.Assert(t, ok)
	s := table.view.Load().members["a-0"].state
	for i := range 10 {
		table.RecordStart(c, epoch.Add(time.Duration(i)*100*time.Millisecond))
	}
	assert.Equal(t, s.netCount.Load(), int64(10))
	now := epoch.Add(time.Second)
	r := idle("a-0", 2)
	r.Age = 450 * time.Millisecond
	table.Report(r, now)
	assert.Equal(t, s.netCount.Load(), int64(4), "the dispatches at 600 to 900 ms are unknown to the report")
	assert.Equal(t, s.netTokens.Load(), int64(400))
	table.RecordFinish(c, now)
	assert.Equal(t, s.netCount.Load(), int64(3))
	assert.Equal(t, s.openCount.Load(), int64(9))
	c.Incarnation = "i0"
	table.RecordFinish(c, now)
	assert.Equal(t, s.openCount.Load(), int64(9), "the end of an earlier incarnation's request does not count")
}

// TestNoHerding dispatches a burst between two rounds of reports, while one endpoint
// is reported as idle and the others as half busy.
func TestNoHerding(t *testing.T) {
	table, _ := testTable(8, "a")
	for i := range 8 {
		r := idle(id.Endpoint(fmt.Sprintf("a-%d", i)), 1)
		if i != 3 {
			r.Running, r.RunningTokens = 2, 200
		}
		table.Report(r, epoch)
	}
	picker := mustNew(t, PredictedTime, table)
	got := map[id.Endpoint]int{}
	for range 32 {
		c, err := picker.Pick(request(epoch))
		assert.NilError(t, err)
		table.RecordStart(c, epoch)
		got[c.Endpoint]++
	}
	assert.Assert(t, got["a-3"] <= 8, "%v", got)
}

func TestMisreportingEndpointIsDetectedByOpenRequests(t *testing.T) {
	table, _ := testTable(2, "a")
	table.Report(idle("a-0", 1), epoch)
	table.Report(busy("a-1", 1, 2), epoch)
	picker := mustNew(t, PredictedTime, table)
	got := map[id.Endpoint]int{}
	now := epoch
	for i := range 40 {
		now = now.Add(50 * time.Millisecond)
		table.Report(idle("a-0", uint64(i+2)), now) // Reports no load in spite of its backlog.
		table.Report(busy("a-1", uint64(i+2), 2), now)
		c, err := picker.Pick(request(now))
		assert.NilError(t, err)
		got[c.Endpoint]++
		if c.Endpoint == "a-0" {
			table.RecordStart(c, now)
		}
	}
	assert.Assert(t, got["a-0"] < 12, "%v", got)
}

func TestObservedErrorFades(t *testing.T) {
	table, _ := testTable(2, "a")
	for _, e := range []id.Endpoint{"a-0", "a-1"} {
		table.Report(idle(e, 1), epoch)
	}
	picker := mustNew(t, PredictedTime, table)
	c, ok := table.PinnedChoice(request(epoch), "a-0", "i1")
	assert.Assert(t, ok)
	for range 8 {
		table.Observe(c, 2*time.Second, epoch)
	}
	for range 20 {
		got, err := picker.Pick(request(epoch))
		assert.NilError(t, err)
		assert.Equal(t, got.Endpoint, id.Endpoint("a-1"))
	}
	later := epoch.Add(5 * time.Second)
	table.Report(idle("a-0", 2), later)
	table.Report(idle("a-1", 2), later)
	seen := map[id.Endpoint]bool{}
	for range 20 {
		got, err := picker.Pick(request(later))
		assert.NilError(t, err)
		seen[got.Endpoint] = true
	}
	assert.Assert(t, seen["a-0"], "an old error no longer keeps work away")
}

func TestOwnZoneIsPreferred(t *testing.T) {
	tests := []struct {
		name   string
		queued uint32 // in the own zone
		ready  bool
		want   id.Zone
	}{
		{"own zone idle", 0, true, "a"},
		{"own zone busy", 40, true, "b"},
		{"own zone lost", 0, false, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, list := testTable(3, "a", "b")
			for _, e := range list {
				r := idle(e.Name, 1)
				if e.Zone == "a" && tt.queued > 0 {
					r = busy(e.Name, 1, tt.queued)
				}
				r.Healthy = e.Zone != "a" || tt.ready
				table.Report(r, epoch)
			}
			picker := mustNew(t, PredictedTime, table)
			for range 20 {
				c, err := picker.Pick(request(epoch))
				assert.NilError(t, err)
				assert.Equal(t, c.Zone, tt.want)
			}
		})
	}
}

func TestBusyZoneSummaryKeepsWorkInOwnZone(t *testing.T) {
	table, list := testTable(3, "a", "b")
	for _, e := range list {
		r := idle(e.Name, 1)
		if e.Zone == "a" {
			r = busy(e.Name, 1, 10)
		}
		table.Report(r, epoch)
	}
	own, ok := table.SummarizeZone("s", "a")
	assert.Assert(t, ok)
	assert.Equal(t, own.Ready, 3)
	assert.Assert(t, own.Wait > 0)
	table.SetZoneSummary(ZoneSummary{Service: "s", Zone: "b", Ready: 300, Wait: 2 * own.Wait}, epoch)
	picker := mustNew(t, PredictedTime, table)
	c, err := picker.Pick(request(epoch))
	assert.NilError(t, err)
	assert.Equal(t, c.Zone, id.Zone("a"))
}

func TestWeightScalesShare(t *testing.T) {
	table, list := testTable(8, "a")
	for i := range list {
		if i%2 == 0 {
			list[i].Weight = 0.25
		}
	}
	table.SetEndpoints(list, epoch)
	for _, e := range list {
		table.Report(idle(e.Name, 1), epoch)
	}
	picker := mustNew(t, PredictedTime, table)
	var light, heavy int
	for range 400 {
		c, err := picker.Pick(request(epoch))
		assert.NilError(t, err)
		table.RecordStart(c, epoch)
		if table.view.Load().members[c.Endpoint].Weight == 1 {
			heavy++
		} else {
			light++
		}
	}
	ratio := float64(light) / float64(heavy)
	assert.Assert(t, ratio > 0.18 && ratio < 0.35, "light %d, heavy %d", light, heavy)
}

func TestAliasTableFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 20).Draw(t, "weights")
		var members []*member
		sum := 0.0
		for _, w := range weights {
			members = append(members, &member{Endpoint: Endpoint{Weight: w}})
			sum += w
		}
		a := newAliasTable(members)
		if a.keep == nil {
			return
		}
		share := make([]float64, len(weights))
		for i := range weights {
			share[i] += a.keep[i]
			share[a.alias[i]] += 1 - a.keep[i]
		}
		for i, w := range weights {
			want := w / sum * float64(len(weights))
			assert.Assert(t, share[i] > want-1e-6 && share[i] < want+1e-6)
		}
	})
}

// TestReaddedEndpointStartsWithFreshState guards against state that survives the
// removal of an endpoint and affects a later one of the same name.
func TestReaddedEndpointStartsWithFreshState(t *testing.T) {
	table, list := testTable(2, "a")
	table.Report(idle("a-0", 1), epoch)
	table.Report(idle("a-1", 1), epoch)
	c, ok := table.PinnedChoice(request(epoch), "a-0", "i1")
	assert.Assert(t, ok)
	table.RecordStart(c, epoch)
	table.SetEndpoints(list[1:], epoch)
	assert.Assert(t, !table.Report(idle("a-0", 2), epoch))
	_, ok = table.PinnedChoice(request(epoch), "a-0", "i1")
	assert.Assert(t, !ok)
	table.SetEndpoints(list, epoch)
	table.Report(idle("a-0", 3), epoch)
	table.RecordFinish(c, epoch)
	for _, s := range table.Status("s", epoch) {
		assert.Equal(t, s.OpenRequests, 0)
		assert.Equal(t, s.Reason, ReasonReady)
	}
	assert.Equal(t, table.view.Load().members["a-0"].zone.ready.Load(), int64(2))
	_, ok = table.PinnedChoice(request(epoch), "a-0", "i0")
	assert.Assert(t, !ok, "another incarnation")
}

type fixedPrefixes map[id.Endpoint]int

func (f fixedPrefixes) Match(_ []uint64, e id.Endpoint) int { return f[e] }

func (f fixedPrefixes) Holder([]uint64) (id.Endpoint, bool) {
	for e := range f {
		return e, true
	}
	return "", false
}

func TestPrefixHolderIsPreferredUntilBusy(t *testing.T) {
	table, list := testTable(16, "a")
	table.cfg.Prefixes = fixedPrefixes{"a-5": 32}
	for _, e := range list {
		table.Report(idle(e.Name, 1), epoch)
	}
	picker := mustNew(t, PredictedTime, table)
	r := request(epoch)
	r.PromptBlocks = make([]uint64, 32)
	r.Explain = true
	c, err := picker.Pick(r)
	assert.NilError(t, err)
	assert.Equal(t, c.Endpoint, id.Endpoint("a-5"))
	assert.Equal(t, c.CachedBlocks, 32)
	assert.Equal(t, len(c.Candidates) >= 2, true)
	table.Report(busy("a-5", 2, 50), epoch)
	c, err = picker.Pick(r)
	assert.NilError(t, err)
	assert.Assert(t, c.Endpoint != "a-5")
}

func TestUnknownPolicy(t *testing.T) {
	_, err := New("guess", NewTable(Config{}))
	assert.ErrorContains(t, err, `routing policy "guess"`)
}

func TestUnknownService(t *testing.T) {
	table, _ := testTable(1, "a")
	for _, policy := range Policies() {
		_, err := mustNew(t, policy, table).Pick(Request{Service: "other", Now: epoch})
		assert.ErrorContains(t, err, `service "other" has no endpoints`)
	}
}

func TestConcurrentUse(t *testing.T) {
	table, list := testTable(8, "a", "b")
	table.cfg.Rand = rand.Uint64
	for _, e := range list {
		table.Report(idle(e.Name, 1), epoch)
	}
	var wg sync.WaitGroup
	for g := range 8 {
		picker := mustNew(t, Policies()[g%3], table)
		wg.Go(func() {
			for i := range 300 {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				if c, err := picker.Pick(request(now)); err == nil {
					table.RecordStart(c, now)
					table.Observe(c, step, now)
					table.RecordFinish(c, now)
				}
				e := list[(g+i)%len(list)]
				r := idle(e.Name, uint64(i+2))
				r.Draining = i%7 == 0
				table.Report(r, now)
				if i%50 == 0 {
					table.SetEndpoints(list, now)
				}
				table.SummarizeZone("s", "b")
			}
		})
	}
	wg.Wait()
	for _, e := range list {
		table.Report(idle(e.Name, 10_000), epoch)
		s := table.view.Load().members[e.Name].state
		assert.Equal(t, s.openCount.Load(), int64(0))
	}
	got, ok := table.SummarizeZone("s", "a")
	assert.Assert(t, ok)
	assert.Equal(t, got.Ready, 8)
	assert.Equal(t, table.view.Load().members["a-0"].zone.ready.Load(), int64(8))
}
