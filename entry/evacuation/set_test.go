package evacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

var start = time.Unix(1000, 0).UTC()

func (s *Set) names() []id.Zone {
	out := []id.Zone{}
	for _, z := range s.Zones() {
		out = append(out, z.Name)
	}
	return out
}

func out(zone id.Zone, revision uint64) Change { return Change{Zone: zone, Revision: revision} }

func restored(zone id.Zone) Change { return Change{Zone: zone, Removed: true} }

// TestSetFollowsListAndWatch guards against a set that misses one of several zones, or keeps one
// that was restored.
func TestSetFollowsListAndWatch(t *testing.T) {
	var s Set
	assert.Assert(t, !s.Known())
	assert.Equal(t, s.Version(), uint64(0))
	assert.Assert(t, s.Replace(nil, 5, start), "an empty set is known too")
	assert.Assert(t, s.Known())
	assert.Equal(t, s.Version(), uint64(5))
	assert.Assert(t, s.ApplyEvents([]Change{out("a", 6), out("b", 7)}, 8, start))
	assert.DeepEqual(t, s.names(), []id.Zone{"a", "b"})
	assert.Equal(t, s.Version(), uint64(8))
	assert.Assert(t, s.ApplyEvents([]Change{restored("a")}, 9, start))
	assert.DeepEqual(t, s.names(), []id.Zone{"b"})
	assert.Assert(t, !s.ApplyEvents(nil, 12, start), "a watch without events")
	assert.Equal(t, s.Version(), uint64(9), "others need not fetch what has not changed")
	assert.Assert(t, !s.ApplyEvents([]Change{restored("z")}, 13, start), "an unknown zone")
	assert.Assert(t, s.Replace([]Change{out("c", 20)}, 20, start), "a list replaces the set after an outage")
	assert.DeepEqual(t, s.names(), []id.Zone{"c"})
}

// TestEventsBeforeListAreIgnored guards against a set that looks complete after events alone.
func TestEventsBeforeListAreIgnored(t *testing.T) {
	var s Set
	assert.Assert(t, !s.ApplyEvents([]Change{out("a", 3)}, 3, start))
	assert.Assert(t, !s.Known())
}

// TestOlderKnowledgeChangesNothing guards against a restored zone that a late list, watch or member
// takes out again, and the reverse.
func TestOlderKnowledgeChangesNothing(t *testing.T) {
	var s, old Set
	old.Replace(nil, 4, start)
	s.Replace([]Change{out("a", 5)}, 9, start)
	assert.Assert(t, !s.Replace(nil, 8, start))
	assert.Assert(t, !s.Replace(nil, 9, start), "the same revision again")
	assert.Assert(t, !s.ApplyEvents([]Change{restored("a")}, 9, start))
	data, err := old.Encode()
	assert.NilError(t, err)
	changed, err := s.Merge(data, old.Version())
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	assert.DeepEqual(t, s.names(), []id.Zone{"a"})
	assert.Equal(t, s.Version(), uint64(9))
}

// TestDeletionCarriesOldRevision covers a store whose deletion events hold the object as last
// written: the deletion must not be taken for older than the list before it.
func TestDeletionCarriesOldRevision(t *testing.T) {
	var s Set
	s.Replace([]Change{out("a", 5)}, 9, start)
	assert.Assert(t, s.ApplyEvents([]Change{{Zone: "a", Revision: 5, Removed: true}}, 10, start))
	assert.Equal(t, len(s.Zones()), 0)
}

// TestLastEventOfZoneDecides covers a zone that is restored and evacuated again between two answers of
// a watch, while a member has told of the second evacuation already.
func TestLastEventOfZoneDecides(t *testing.T) {
	var s Set
	s.Replace(nil, 4, start)
	changed, err := s.Merge([]byte(`[{"zone":"a","revision":12,"since":"2026-01-02T03:04:05Z"}]`), 12)
	assert.NilError(t, err)
	assert.Assert(t, changed)
	assert.Assert(t, !s.ApplyEvents([]Change{out("a", 5), {Zone: "a", Revision: 5, Removed: true}, out("a", 12)}, 13, start))
	assert.DeepEqual(t, s.names(), []id.Zone{"a"})
	assert.Equal(t, s.Zones()[0].Revision, uint64(12))
}

// TestSecondEvacuationIsChange guards against an operator's new decision that is shown with the
// time of the former one.
func TestSecondEvacuationIsChange(t *testing.T) {
	var s Set
	s.Replace([]Change{out("a", 5)}, 9, start)
	assert.Assert(t, s.Replace([]Change{out("a", 11)}, 12, start.Add(time.Second)))
	assert.DeepEqual(t, s.Zones(), []Zone{{Name: "a", Revision: 11, Since: start.Add(time.Second)}})
}

// TestUnreadableObjectTakesZoneOut covers an object of which only the name can be read: it has no
// revision, and a list that repeats it changes nothing.
func TestUnreadableObjectTakesZoneOut(t *testing.T) {
	var s Set
	assert.Assert(t, s.Replace([]Change{out("a", 0)}, 7, start))
	assert.DeepEqual(t, s.Zones(), []Zone{{Name: "a", Revision: 7, Since: start}})
	assert.Assert(t, !s.Replace([]Change{out("a", 0)}, 9, start.Add(time.Hour)))
	assert.Equal(t, s.Zones()[0].Revision, uint64(7))
	s.Replace([]Change{out("a", 0), out("b", 8)}, 12, start)
	assert.Assert(t, !s.ApplyEvents([]Change{out("b", 0)}, 13, start), "it became unreadable")
	assert.Equal(t, s.Zones()[1].Revision, uint64(8))
}

// TestDeletionPendingInList covers a list that still holds an object that is being removed.
func TestDeletionPendingInList(t *testing.T) {
	var s Set
	s.Replace([]Change{{Zone: "a", Revision: 5, Removed: true}, out("b", 6)}, 9, start)
	assert.DeepEqual(t, s.names(), []id.Zone{"b"})
}

// TestMembersAgree guards against entries that fetch from each other without end because equal sets
// have different versions, and against a time that changes from entry to entry.
func TestMembersAgree(t *testing.T) {
	var a, b Set
	a.Replace([]Change{out("a", 5)}, 9, start)
	pass := func(from, to *Set) bool {
		data, err := from.Encode()
		assert.NilError(t, err)
		changed, err := to.Merge(data, from.Version())
		assert.NilError(t, err)
		return changed
	}
	assert.Assert(t, pass(&a, &b))
	assert.DeepEqual(t, a.Zones(), b.Zones())
	assert.Equal(t, a.Version(), b.Version())

	var restarted Set
	restarted.Replace([]Change{out("a", 5)}, 50, start.Add(time.Minute))
	assert.Assert(t, !pass(&restarted, &a), "the same content under a later version")
	assert.Equal(t, a.Version(), uint64(50))
	assert.Equal(t, a.Zones()[0].Since, start)

	a.ApplyEvents(nil, 70, start)
	var c Set
	c.Replace([]Change{out("a", 5)}, 60, start)
	assert.Assert(t, !pass(&c, &a))
	assert.Equal(t, a.Version(), uint64(60), "it is known up to 70")

	var empty Set
	empty.Replace(nil, 80, start)
	assert.Assert(t, pass(&empty, &a), "a restoration that a member saw first")
	assert.Equal(t, len(a.Zones()), 0)
}

// TestUnseenChangesAreTakenBack covers a list that equals what the entry knew before it missed an
// evacuation and its restoration: the others have a greater version and still keep the zone out.
func TestUnseenChangesAreTakenBack(t *testing.T) {
	var a, b Set
	a.Replace(nil, 5, start)
	b.Replace([]Change{out("a", 8)}, 8, start)
	assert.Assert(t, !a.Replace(nil, 9, start))
	for range 2 {
		for _, pass := range [][2]*Set{{&b, &a}, {&a, &b}} {
			data, err := pass[0].Encode()
			assert.NilError(t, err)
			_, err = pass[1].Merge(data, pass[0].Version())
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, len(b.Zones()), 0)
	assert.Equal(t, a.Version(), b.Version())
}

// TestOddValueOfMemberChangesNothing guards against a value that cannot be decoded and empties the set.
func TestOddValueOfMemberChangesNothing(t *testing.T) {
	var s Set
	s.Replace([]Change{out("a", 5)}, 9, start)
	for _, data := range []string{``, `{`, `null`, `[{"zone":7}]`, `{"a":1}`} {
		_, err := s.Merge([]byte(data), 20)
		assert.Assert(t, err != nil, "%q", data)
	}
	assert.DeepEqual(t, s.names(), []id.Zone{"a"})
	assert.Equal(t, s.Version(), uint64(9))
}
