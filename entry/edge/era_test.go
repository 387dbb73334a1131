package edge

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/mesh"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// inEra returns an object as it is read in an era. A copy's objects keep their revisions.
func inEra(era uint64, o objectapi.Object) objectapi.Object {
	o.Revision, o.Created = objectapi.ComposeVersion(era, o.Revision), objectapi.ComposeVersion(era, o.Created)
	return o
}

func removedObject(name string, revision uint64) objectapi.Object {
	o := object(name, ``, revision)
	o.Deleted = true
	return o
}

func (a *applied) names() []string {
	var out []string
	for name := range a.endpoints {
		out = append(out, string(name))
	}
	slices.Sort(out)
	return out
}

// returned is an entry with a clock whose store has returned from a copy.
type returned struct {
	*applied
	passed time.Duration
}

func newReturned() *returned {
	r := &returned{applied: newApplied()}
	r.values.endpoints.now = func() time.Time { return time.Unix(1000, 0).Add(r.passed) }
	return r
}

// pass lets the time to hold registrations pass.
func (r *returned) pass(d time.Duration) {
	r.passed += d
	r.releaseHeld()
}

// knownBefore brings the state of the former era into force: the copy has a, b and c.
func (r *returned) knownBefore() (inCopy []objectapi.Object) {
	inCopy = []objectapi.Object{object("a", `{"address":"1"}`, 3), object("b", `{"address":"2"}`, 4), object("c", `{"address":"3"}`, 5)}
	r.replaceEndpoints(inCopy, 6)
	r.applyEndpointEvents([]objectapi.Object{
		{Name: "b", Value: []byte(`{"address":"2","draining":true}`), Created: 4, Revision: 7},
		removedObject("c", 8), object("d", `{"address":"4"}`, 9),
	}, 20)
	for i, o := range inCopy {
		inCopy[i] = inEra(1, o)
	}
	return inCopy
}

// TestCopyDoesNotUndoWhatIsKnown guards against an older copy that brings back a removed endpoint,
// takes a new one away or makes a draining one usable.
func TestCopyDoesNotUndoWhatIsKnown(t *testing.T) {
	r := newReturned()
	inCopy := r.knownBefore()
	before := maps.Clone(r.applied.endpoints)
	r.replaceEndpoints(inCopy, objectapi.ComposeVersion(1, 6))
	assert.DeepEqual(t, r.applied.endpoints, before)
	r.pass(holdTime - time.Millisecond)
	assert.DeepEqual(t, r.applied.endpoints, before)
	// Nobody has written them again: the store decides.
	r.pass(time.Millisecond)
	assert.DeepEqual(t, r.names(), []string{"a", "b", "c"})
	assert.Assert(t, !r.applied.endpoints["b"].Draining)
}

// TestWritesOfNewEraAreAppliedAtOnce guards against a hold that delays what the operator writes.
func TestWritesOfNewEraAreAppliedAtOnce(t *testing.T) {
	at := func(revision uint64) uint64 { return objectapi.ComposeVersion(1, revision) }
	t.Run("in events", func(t *testing.T) {
		r := newReturned()
		r.replaceEndpoints(r.knownBefore(), at(6))
		r.applyEndpointEvents([]objectapi.Object{
			inEra(1, removedObject("a", 7)), inEra(1, object("c", `{"address":"33"}`, 8)), inEra(1, object("d", `{"address":"44"}`, 9)),
			inEra(1, objectapi.Object{Name: "b", Value: []byte(`{"address":"22"}`), Created: 4, Revision: 10}),
		}, at(10))
		assert.DeepEqual(t, r.names(), []string{"b", "c", "d"})
		assert.Equal(t, r.applied.endpoints["b"].Address, "22")
		assert.Equal(t, r.applied.endpoints["c"].Address, "33")
		assert.Equal(t, r.applied.endpoints["d"].Address, "44")
		r.pass(holdTime)
		assert.DeepEqual(t, r.names(), []string{"b", "c", "d"})
	})
	t.Run("in a later list", func(t *testing.T) {
		r := newReturned()
		inCopy := r.knownBefore()
		r.replaceEndpoints(slices.Clone(inCopy), at(6))
		r.replaceEndpoints([]objectapi.Object{inCopy[0], inCopy[1], inEra(1, object("d", `{"address":"44"}`, 8))}, at(8))
		assert.DeepEqual(t, r.names(), []string{"a", "b", "d"})
		assert.Assert(t, r.applied.endpoints["b"].Draining, "nobody has written it again")
		assert.Equal(t, r.applied.endpoints["d"].Address, "44")
	})
	t.Run("of an endpoint that was not known", func(t *testing.T) {
		r := newReturned()
		inCopy := append(r.knownBefore(), inEra(1, object("e", `{"address":"5"}`, 6)))
		r.replaceEndpoints(inCopy, at(6))
		assert.DeepEqual(t, r.names(), []string{"a", "b", "d", "e"})
	})
}

// TestSecondReturnDuringHold guards against a second return that ends the hold of the first.
func TestSecondReturnDuringHold(t *testing.T) {
	r := newReturned()
	inCopy := r.knownBefore()
	before := maps.Clone(r.applied.endpoints)
	r.replaceEndpoints(slices.Clone(inCopy), objectapi.ComposeVersion(1, 6))
	r.pass(holdTime / 2)
	for i, o := range inCopy {
		inCopy[i] = inEra(2, objectapi.Object{Name: o.Name, Value: o.Value, Created: objectapi.WithoutEra(o.Created), Revision: objectapi.WithoutEra(o.Revision)})
	}
	r.replaceEndpoints(inCopy, objectapi.ComposeVersion(2, 5))
	r.pass(holdTime / 2)
	assert.DeepEqual(t, r.applied.endpoints, before)
	r.pass(holdTime / 2)
	assert.DeepEqual(t, r.names(), []string{"a", "b", "c"})
}

// TestCopyIsNoNewRegistration guards against an endpoint that left and is used again, as its
// registration in the copy has a greater creation revision in the new era.
func TestCopyIsNoNewRegistration(t *testing.T) {
	r := newReturned()
	inCopy := r.knownBefore()
	r.replaceEndpoints(slices.Clone(inCopy), objectapi.ComposeVersion(1, 6))
	r.replaceEndpoints(inCopy, objectapi.ComposeVersion(1, 7))
	r.pass(holdTime)
	assert.Equal(t, r.applied.endpoints["a"].RegistrationRevision, uint64(3))
	assert.Equal(t, r.applied.endpoints["c"].RegistrationRevision, uint64(5), "removed before the return")
	// One that is registered again is newer, although its revision is smaller.
	lost := newReturned()
	inCopy = lost.knownBefore()
	before := lost.applied.endpoints["d"].RegistrationRevision
	lost.replaceEndpoints(inCopy, objectapi.ComposeVersion(1, 6))
	lost.applyEndpointEvents([]objectapi.Object{inEra(1, object("d", `{"address":"4"}`, 8))}, objectapi.ComposeVersion(1, 8))
	again := lost.applied.endpoints["d"].RegistrationRevision
	assert.Assert(t, objectapi.WithoutEra(again) < before && again > before)
}

// TestTopicsOrderByEra guards against versions of a former era that win over, or block, those of
// the new one at other entries.
func TestTopicsOrderByEra(t *testing.T) {
	seen, unaware := newReturned(), newReturned()
	inCopy := seen.knownBefore()
	unaware.knownBefore()
	// The entry that does not see the rise knows more of the former era.
	unaware.applyEndpointEvents([]objectapi.Object{object("lost", `{"address":"9"}`, 30)}, 30)
	seen.replaceEndpoints(inCopy, objectapi.ComposeVersion(1, 6))
	assert.Assert(t, seen.versions()[topicEndpoints] > unaware.versions()[topicEndpoints])

	seen.apply(topicEndpoints, unaware.encode(topicEndpoints, 20))
	assert.DeepEqual(t, seen.names(), []string{"a", "b", "d"})
	unaware.apply(topicEndpoints, seen.encode(topicEndpoints, unaware.versions()[topicEndpoints]))
	assert.Equal(t, unaware.versions()[topicEndpoints], seen.versions()[topicEndpoints])
	assert.DeepEqual(t, unaware.names(), []string{"a", "b", "d", "lost"}) // Held.
	// Its own watch of the former era goes on for a while.
	unaware.applyEndpointEvents([]objectapi.Object{object("late", `{"address":"8"}`, 40)}, 40)
	assert.DeepEqual(t, unaware.names(), []string{"a", "b", "d", "lost"})
	unaware.replaceEndpoints([]objectapi.Object{object("late", `{"address":"8"}`, 40)}, 41)
	assert.DeepEqual(t, unaware.names(), []string{"a", "b", "d", "lost"})
	// Changes of the new era reach it, as changes.
	seen.applyEndpointEvents([]objectapi.Object{inEra(1, object("new", `{"address":"7"}`, 7))}, objectapi.ComposeVersion(1, 7))
	unaware.apply(topicEndpoints, seen.encode(topicEndpoints, unaware.versions()[topicEndpoints]))
	assert.Assert(t, slices.Contains(unaware.names(), "new"))
	unaware.pass(holdTime)
	seen.pass(holdTime)
	assert.DeepEqual(t, unaware.names(), seen.names())
}

// TestSameListInNewEraChangesVersion guards against two entries with different lists under one
// version of the former era.
func TestSameListInNewEraChangesVersion(t *testing.T) {
	r := newReturned()
	list := []objectapi.Object{object("a", `{"address":"1"}`, 3)}
	r.replaceEndpoints(list, 20)
	r.replaceEndpoints([]objectapi.Object{inEra(1, list[0])}, objectapi.ComposeVersion(1, 6))
	assert.Equal(t, r.versions()[topicEndpoints], objectapi.ComposeVersion(1, 6))
	assert.DeepEqual(t, r.names(), []string{"a"})
	// A change of the former era cannot be applied to a list of the new one.
	r.apply(topicEndpoints, mesh.Value{Version: objectapi.ComposeVersion(1, 9), Data: []byte(`{"since":20,"changed":{"a":null}}`)})
	assert.DeepEqual(t, r.names(), []string{"a"})
}

// TestCopyOfConfiguration guards against a smaller version of the configuration in an older copy:
// dropped routes and revoked keys stay dropped.
func TestCopyOfConfiguration(t *testing.T) {
	a := newApplied()
	a.applyConfigObjects([]objectapi.Object{object("main", `{"version":7}`, 20)})
	a.applyConfigObjects([]objectapi.Object{inEra(1, object("main", `{"version":5}`, 3))})
	assert.Equal(t, a.table.Version(), uint64(7))
	a.applyConfigObjects([]objectapi.Object{inEra(1, object("main", `{"version":8}`, 4))})
	assert.Equal(t, a.table.Version(), uint64(8))
}

// TestRemovalHoldsAgainstEarlierWrites guards against a removed endpoint that a copy brings back, because its
// registration was changed between the copy and its removal.
func TestRemovalHoldsAgainstEarlierWrites(t *testing.T) {
	r := newReturned()
	a := object("a", `{"address":"1","draining":false}`, 3)
	r.replaceEndpoints([]objectapi.Object{a}, 6)
	r.applyEndpointEvents([]objectapi.Object{{Name: "a", Value: []byte(`{"address":"1","draining":true}`), Created: 3, Revision: 7}}, 7)
	r.applyEndpointEvents([]objectapi.Object{removedObject("a", 8)}, 8)
	assert.Equal(t, len(r.names()), 0)
	r.replaceEndpoints([]objectapi.Object{inEra(1, a)}, objectapi.ComposeVersion(1, 6))
	assert.Equal(t, len(r.names()), 0)
	r.applyEndpointEvents([]objectapi.Object{inEra(1, objectapi.Object{Name: "a", Value: []byte(`{"address":"2"}`), Created: 3, Revision: 9})}, objectapi.ComposeVersion(1, 9))
	assert.DeepEqual(t, r.names(), []string{"a"}) // Written again in the new era.
}

// TestRemovalsAreBounded guards against a registry of removals that grows with each rollout.
func TestRemovalsAreBounded(t *testing.T) {
	r := newReturned()
	r.replaceEndpoints([]objectapi.Object{object("a", `{"address":"1"}`, 1)}, 1)
	for i := range uint64(3 * maxRemovals) {
		name := fmt.Sprintf("e%d", i)
		r.applyEndpointEvents([]objectapi.Object{object(name, `{"address":"2"}`, 2*i+2)}, 2*i+2)
		r.applyEndpointEvents([]objectapi.Object{removedObject(name, 2*i+3)}, 2*i+3)
	}
	assert.Assert(t, len(r.values.endpoints.removed) <= maxRemovals)
	r.passed += 2 * removalTTL
	r.applyEndpointEvents([]objectapi.Object{removedObject("a", 1<<30)}, 1<<30)
	assert.Equal(t, len(r.values.endpoints.removed), 1)
	assert.Equal(t, len(r.names()), 0)
}
