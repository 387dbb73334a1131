package direct

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
)

// hold starts n requests at the service's endpoint that is preferred by cost, and keeps them.
func (s *Service) hold(t *testing.T, n, promptTokens int) (slots []*Slot) {
	for range n {
		now := s.now()
		slot, _ := s.Acquire(t.Context(), scheduler.Request{Arrival: now, Target: now + time.Second, Deadline: now + time.Second, PromptTokens: promptTokens}, nil)
		slots = append(slots, slot)
	}
	return slots
}

// TestLoadsOfDifferentLists guards against entries that ignore each other's loads while their
// lists of endpoints differ, which is always the case during a rollout of a large service.
func TestLoadsOfDifferentLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := make(map[id.Endpoint]uint64)
		for i := range 50 {
			list[id.Endpoint(fmt.Sprintf("e%02d", i))] = 1
		}
		from, _ := newTestService(map[id.Endpoint]uint64{"e07": 1})
		from.hold(t, 3, 0)
		l := NewLoadExchange(&Handler{services: map[id.Service]*Service{"s": from}}, func() time.Duration { return time.Second })
		encoded, err := l.Encode()
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) < 20, "%d bytes", len(encoded))

		to, _ := newTestService(list)
		r := NewLoadExchange(&Handler{services: map[id.Service]*Service{"s": to}}, func() time.Duration { return time.Second })
		assert.NilError(t, r.SetHostLoads("h", encoded))
		r.ApplyPending()
		taken := 0
		for _, slot := range to.hold(t, 50*4-3, 0) {
			if slot.Backend.Name == "e07" {
				taken++
			}
		}
		assert.Equal(t, taken, 1, "another entry has taken 3 places")

		time.Sleep(2900 * time.Millisecond) // Several exchange intervals pass before the loads expire.
		r.ApplyPending()
		assert.Equal(t, len(r.sources), 1)
		time.Sleep(200 * time.Millisecond)
		r.ApplyPending()
		assert.Equal(t, len(r.sources), 0)
	})
}

// TestSumsOfLoads guards against loads that are cut on their way to other entries, which then send requests to an
// endpoint that is full.
func TestSumsOfLoads(t *testing.T) {
	sum := make(loadsByHash)
	a := loadsByHash{}
	a.add(nameHash("x"), scheduler.Load{Running: 2, PromptTokens: 130})
	a.add(nameHash("y"), scheduler.Load{Running: 40, PromptTokens: 5000})
	a.add(nameHash("z"), scheduler.Load{Running: 1, PromptTokens: math.MaxInt32})
	a.encode().addTo(sum)
	a.encode().addTo(sum)
	assert.DeepEqual(t, sum[nameHash("x")], scheduler.Load{Running: 4, PromptTokens: 2 * 256})
	assert.DeepEqual(t, sum[nameHash("y")], scheduler.Load{Running: 80, PromptTokens: 2 * 40 * 128})
	assert.DeepEqual(t, sum[nameHash("z")], scheduler.Load{Running: 2, PromptTokens: 2 * 64 * 15 * 128})
	serviceLoads{Loads: []byte{1, 2, 3}}.addTo(sum)
	assert.Equal(t, len(sum), 3)
	assert.Assert(t, len(a.encode().Loads) <= (1+3+64)*endpointLoadBytes)
}
