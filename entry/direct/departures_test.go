package direct

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/retry"
	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/routes"
)

// TestLeavingIsSeenInEveryResponse guards against requests to an endpoint that said in an answer
// of any kind that it is leaving: also in a refusal, a failure and an answer that is not forwarded.
func TestLeavingIsSeenInEveryResponse(t *testing.T) {
	ok := func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		respondOK("x")(0, w, r)
	}
	for name, first := range map[string]script{
		"answer":                    ok,
		"refusal":                   respond(503, "Not-Run: 1", "Leaving: 1"),
		"failure":                   respond(500, "Signed: yes", "Leaving: 1"),
		"answer without signature":  respond(200, "Leaving: 1"),
		"answer to another request": respond(200, "Signed: yes", "Request: other", "Leaving: 1"),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", first), newBackend(t, "b", respondOK("x"))
			e := newEntry(t, routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1}, a)
			e.send(http.MethodPost)
			assert.Equal(t, len(a.requests()), 1)
			e.handler.SetEndpoints([]Endpoint{a.endpoint("s"), b.endpoint("s")})
			for range 4 {
				assert.Equal(t, e.send(http.MethodPost).status, 200)
			}
			assert.Equal(t, len(a.requests()), 1)
			assert.DeepEqual(t, e.handler.Departures(OwnResponse), map[id.Endpoint]uint64{"a": 0})
		})
	}
}

func TestLeavingIsSeenInStreams(t *testing.T) {
	a := newBackend(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		events(3, 0, 0)(n, w, r)
	})
	e := newEntry(t, routes.Route{Kind: routes.Streaming, MaxAttempts: 2}, a)
	assert.Equal(t, e.send(http.MethodPost).status, 200)
	assert.Equal(t, e.send(http.MethodPost).status, 503)
	assert.Equal(t, len(a.requests()), 1)
}

// TestRetryAfterStopsRequests checks that an endpoint that asked for a pause gets none of
// the entry's requests in it, and one at first when it ends.
func TestRetryAfterStopsRequests(t *testing.T) {
	pause := 400 * time.Millisecond
	a := newBackend(t, "a", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			respond(503, "Not-Run: 1", "Pause: "+strconv.Itoa(int(pause.Milliseconds())))(n, w, r)
			return
		}
		respondOK("x")(n, w, r)
	})
	e := newEntry(t, routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1, TargetLatency: 200 * time.Millisecond}, a)
	began := time.Now()
	assert.Equal(t, e.send(http.MethodPost).status, 503)
	got := e.send(http.MethodPost, "Patience: 150")
	assert.Equal(t, got.status, 503)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0.2 && after <= 0.4, "%v", after)
	assert.Equal(t, len(a.requests()), 1)
	assert.Equal(t, e.send(http.MethodPost).status, 200)
	assert.Assert(t, time.Since(began) >= pause)
}

// newTestService returns a service with endpoints whose registrations have the given revisions.
func newTestService(registrations map[id.Endpoint]uint64) (*Service, func(map[id.Endpoint]uint64)) {
	h := NewHandler(Options{Codec: testCodec{}, Entries: func() int { return 1 }, Log: zerolog.Nop(), Retries: retry.WindowConfig{Length: time.Second}})
	s := newService(routes.Service{Name: "s"}, h.opt, h.evacuated)
	set := func(registrations map[id.Endpoint]uint64) {
		var list []*Backend
		for name, revision := range registrations {
			list = append(list, &Backend{Name: name, endpoint: Endpoint{Name: name, Service: "s", Slots: 4, RegistrationRevision: revision}})
		}
		s.setBackends(list)
	}
	set(registrations)
	return s, set
}

func (s *Service) try(t *testing.T) (id.Endpoint, scheduler.Decision) {
	now := s.now()
	slot, d := s.Acquire(t.Context(), scheduler.Request{Arrival: now, Target: now + time.Second, Deadline: now + time.Second}, nil)
	if slot == nil {
		return "", d
	}
	slot.RecordFirstEvent()
	slot.Release(Succeeded)
	return slot.Backend.Name, d
}

// TestDepartureOutlastsRegistration covers an endpoint whose registration disappears and
// returns while the platform is unreliable: the same registration stays out of use, a new one
// is another start of the endpoint.
func TestDepartureOutlastsRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, set := newTestService(map[id.Endpoint]uint64{"a": 5})
		name, _ := s.try(t)
		assert.Equal(t, name, id.Endpoint("a"))
		s.MarkLeaving("a", 5, OwnResponse)
		set(nil)
		set(map[id.Endpoint]uint64{"a": 5})
		_, d := s.try(t)
		assert.Equal(t, d.Reason, scheduler.NoEndpoint)
		s.MarkLeaving("a", 4, CellMember) // An earlier start of it.
		set(map[id.Endpoint]uint64{"a": 9})
		name, _ = s.try(t)
		assert.Equal(t, name, id.Endpoint("a"))
		s.MarkLeaving("a", 5, CellMember)
		name, _ = s.try(t)
		assert.Equal(t, name, id.Endpoint("a"), "news of an earlier start")
	})
}

// TestDepartureAfterRemoval guards against an endpoint that says that it is leaving in answers after its removal from
// the list, and is used again when an older list has it.
func TestDepartureAfterRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, set := newTestService(map[id.Endpoint]uint64{"a": 5})
		set(nil)
		s.MarkLeaving("a", 5, OwnResponse)
		set(map[id.Endpoint]uint64{"a": 5})
		_, d := s.try(t)
		assert.Equal(t, d.Reason, scheduler.NoEndpoint)
		set(map[id.Endpoint]uint64{"a": 9})
		name, _ := s.try(t)
		assert.Equal(t, name, id.Endpoint("a"), "another start of it")
		set(nil)
		s.MarkLeaving("a", 0, OwnResponse)
		s.MarkLeaving("other", 7, CellMember)
		time.Sleep(2 * departureTTL)
		set(nil)
		assert.Equal(t, len(s.departures), 0)
	})
}

// TestBackOffSurvivesLapse covers an endpoint that disappears from the list and returns during
// its pause.
func TestBackOffSurvivesLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, set := newTestService(map[id.Endpoint]uint64{"a": 5})
		time.Sleep(time.Second)
		s.BackOff("a", time.Hour, "r")
		set(nil)
		set(map[id.Endpoint]uint64{"a": 5, "b": 6})
		for range 4 {
			name, _ := s.try(t)
			assert.Equal(t, name, id.Endpoint("b"))
		}
		set(map[id.Endpoint]uint64{"a": 5})
		_, d := s.try(t)
		assert.Equal(t, d.RetryAfter, maxBackOff, "the cap applies")
		time.Sleep(maxBackOff)
		name, _ := s.try(t)
		assert.Equal(t, name, id.Endpoint("a"))
	})
}

// TestDeparturesArePassedOn checks which departures an entry sends to its cell and to other cells.
func TestDeparturesArePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestService(map[id.Endpoint]uint64{"a": 1, "b": 2, "c": 3})
		h := &Handler{services: map[id.Service]*Service{"s": s}}
		s.MarkLeaving("a", 1, OwnResponse)
		h.ApplyDepartures(map[id.Endpoint]uint64{"b": 2, "unknown": 7}, CellMember)
		h.ApplyDepartures(map[id.Endpoint]uint64{"c": 3}, OtherCell)
		assert.DeepEqual(t, h.Departures(OwnResponse), map[id.Endpoint]uint64{"a": 1})
		assert.DeepEqual(t, h.Departures(CellMember), map[id.Endpoint]uint64{"a": 1, "b": 2})
		_, d := s.try(t)
		assert.Equal(t, d.Reason, scheduler.NoEndpoint)
		time.Sleep(departureShareTime)
		assert.Equal(t, len(h.Departures(OtherCell)), 0)
	})
}
