package direct

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/capacity"
	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// newLearningService returns a service with three endpoints, its metrics and its log.
func newLearningService(c routes.Service, learn bool) (*Service, *metrics.Set, *bytes.Buffer) {
	log, set := new(bytes.Buffer), metrics.NewSet()
	c.Name = "s"
	s := newService(c, NewHandler(Options{
		Codec: testCodec{}, Entries: func() int { return 1 }, Log: zerolog.New(log), Metrics: set,
		Retries: retry.WindowConfig{Length: time.Second}, LearnLimits: learn,
	}).opt, evacuatedZones{})
	var list []*Backend
	for _, name := range []id.Endpoint{"a", "b", "c"} {
		list = append(list, &Backend{Name: name, endpoint: Endpoint{Name: name, Service: "s", Slots: 6}})
	}
	s.setBackends(list)
	return s, set, log
}

// serve sends 100 requests a second for a time, which end with an outcome after a duration that depends on the endpoint, and
// returns the requests of each endpoint.
func (s *Service) serve(t *testing.T, lasting time.Duration, o Outcome, durations map[id.Endpoint]time.Duration) map[id.Endpoint]int {
	counts := make(map[id.Endpoint]int)
	for range int(lasting / (10 * time.Millisecond)) {
		now := s.now()
		slot, _ := s.Acquire(t.Context(), scheduler.Request{Arrival: now, Target: now + time.Second, Deadline: now + time.Second}, nil)
		if slot != nil {
			counts[slot.Backend.Name]++
			time.AfterFunc(durations[slot.Backend.Name], func() {
				if o == Succeeded {
					slot.RecordFirstEvent()
				}
				slot.Release(o)
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
	return counts
}

// slowC are the durations of a service whose endpoint c takes four times as long.
var slowC = map[id.Endpoint]time.Duration{"a": 30 * time.Millisecond, "b": 30 * time.Millisecond, "c": 120 * time.Millisecond}

// TestSlowEndpointIsLearnt checks the way from answers to the choice, the log line, the gauge and the message, and
// guards against a feature that takes effect without its flag.
func TestSlowEndpointIsLearnt(t *testing.T) {
	for _, learn := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, set, log := newLearningService(routes.Service{}, learn)
			x := NewLoadExchange(&Handler{services: map[id.Service]*Service{"s": s}}, func() time.Duration { return time.Second })
			// The slow endpoint gets so few requests that evidence lapses at times: it counts that it was learnt at any.
			var page strings.Builder
			reports := 0
			for range 40 {
				s.serve(t, 250*time.Millisecond, Succeeded, slowC)
				_, err := x.Encode()
				assert.NilError(t, err)
				r, _ := s.learntReports()
				reports += len(r)
				set.WritePrometheus(&page)
			}
			lines := strings.Count(log.String(), "endpoint.limit_changed")
			assert.Equal(t, reports > 0, learn)
			assert.Equal(t, strings.Contains(page.String(), `siskinford_learned_limit{service="s",endpoint="c"}`), learn)
			assert.Equal(t, strings.Contains(page.String(), `siskinford_learned_limit{service="s",endpoint="a"}`), false, "it does not differ")
			assert.Equal(t, lines > 0, learn)
			assert.Assert(t, lines < 30, "%d lines in 10 s", lines)
			if !learn {
				return
			}
			s.setBackends(nil)
			page.Reset()
			set.WritePrometheus(&page)
			assert.Assert(t, !strings.Contains(page.String(), "siskinford_learned_limit"), "the endpoint is gone")
		})
	}
}

// TestRefusalsAndFailuresAreNoAnswers guards against an endpoint that looks fast because it refuses or fails at once.
func TestRefusalsAndFailuresAreNoAnswers(t *testing.T) {
	for _, o := range []Outcome{Neutral, Failed} {
		synctest.Test(t, func(t *testing.T) {
			s, _, _ := newLearningService(routes.Service{}, true)
			s.serve(t, 3*time.Second, o, slowC)
			reports, usual := s.learntReports()
			assert.Equal(t, len(reports), 0)
			assert.Equal(t, usual, time.Duration(0))
		})
	}
}

// TestLearntReportsReachOthers checks that a quorum of entries is believed, that a single one is not, and that what they
// told expires with the loads.
func TestLearntReportsReachOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, _, _ := newLearningService(routes.Service{}, true)
		for reports := 0; reports == 0; {
			assert.Assert(t, from.now() < 20*time.Second, "nothing is learnt")
			from.serve(t, 100*time.Millisecond, Succeeded, slowC)
			r, _ := from.learntReports()
			reports = len(r)
		}
		encode := func(s *Service) []byte {
			b, err := NewLoadExchange(&Handler{services: map[id.Service]*Service{"s": s}}, func() time.Duration { return time.Second }).Encode()
			assert.NilError(t, err)
			return b
		}
		state := encode(from)
		to, _, _ := newLearningService(routes.Service{}, true)
		x := NewLoadExchange(&Handler{services: map[id.Service]*Service{"s": to}}, func() time.Duration { return 100 * time.Millisecond })
		relative := func() float64 {
			x.ApplyPending()
			to.mu.Lock()
			defer to.mu.Unlock()
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				to.learner.learner.Limit("c", to.now())
			}
			return to.learner.learner.Relative("c", 1, to.now())
		}
		assert.NilError(t, x.SetHostLoads("h1", state))
		assert.Equal(t, relative(), 1.0)
		for i := range 3 {
			assert.NilError(t, x.SetHostLoads(id.Host(fmt.Sprint("h", i)), state))
		}
		x.ApplyPending()
		assert.Assert(t, relative() > 1.8)
		time.Sleep(3 * time.Second)
		assert.Equal(t, relative(), 1.0)
	})
}

// TestLearntReportsAreBounded checks that a message of any length and content gives each source one vote an endpoint.
func TestLearntReportsAreBounded(t *testing.T) {
	learnt := make(learntByHash)
	serviceLoads{Learnt: bytes.Repeat([]byte{0, 0, 1, 0xf1}, 1000)}.addLearntTo(learnt)
	assert.DeepEqual(t, learnt, learntByHash{1: {0xf1}})
	var long []byte
	for i := range 1000 {
		long = append(long, 1, byte(i>>8), byte(i), 0xf1)
	}
	serviceLoads{Learnt: append(long, 1, 2)}.addLearntTo(learnt)
	assert.Equal(t, len(learnt), 1+capacity.MaxReports)
}

// TestPausesOfStreams checks that a group's pace is learnt from the pauses of streams, not from their lengths.
func TestPausesOfStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newLearningService(routes.Service{Engine: &routes.Engine{Slots: 6, StepTime: 10 * time.Millisecond, MeanAnswerTokens: 100}}, true)
		s.SetRanks(map[id.Endpoint]RankStatus{"a": {Group: "g"}, "b": {Group: "h"}, "c": {Group: "i"}}, false)
		pause := map[id.Endpoint]time.Duration{"a": 10 * time.Millisecond, "b": 10 * time.Millisecond, "c": 30 * time.Millisecond}
		var slots []*Slot
		for range 18 {
			now := s.now()
			slot, _ := s.Acquire(t.Context(), scheduler.Request{Arrival: now, Target: now + time.Second, Deadline: now + time.Second}, nil)
			assert.Assert(t, slot != nil)
			slots = append(slots, slot)
			go func() {
				for range 5 * time.Second / pause[slot.Backend.Name] {
					slot.RecordEvent()
					time.Sleep(pause[slot.Backend.Name])
				}
			}()
		}
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		relative, limit := s.learner.learner.Relative("c", 1, s.now()), s.learner.learner.Limit("c", s.now())
		s.mu.Unlock()
		assert.Assert(t, relative > 2.5 && relative < 3.5, "%v", relative)
		assert.Equal(t, limit, 6)
		time.Sleep(time.Second)
		for _, slot := range slots {
			slot.Release(Succeeded)
		}
	})
}
