package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
	"github.com/siskinford/siskinford/fleet/objectapi/memstore"
	"github.com/siskinford/siskinford/fleet/transport/memnet"
)

// knownEra returns the era of the registrations that the entry applies.
func (n *node) knownEra() uint64 {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	return objectapi.EraOf(n.mesh.knownRevision)
}

// TestRegistrationsAfterReturn guards against an entry that relies on a registration written before
// the store returned from a copy without it, also if it does not watch the store itself.
func TestRegistrationsAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		old := f.store.Copy()
		var nodes []*node
		for _, host := range []string{"a", "b", "c", "d"} { // Two of them are readers.
			nodes = append(nodes, f.start(host, "1"))
		}
		time.Sleep(2 * time.Second)
		for round := uint64(1); round <= 2; round++ {
			f.store.Restore(old)
			time.Sleep(2 * time.Second)
			assert.DeepEqual(t, f.registered(), map[string]bool{"a": true, "b": true, "c": true, "d": true})
			for _, n := range nodes {
				assert.Equal(t, n.mesh.MemberCount(), 4)
				assert.Equal(t, n.knownEra(), round)
			}
		}
		for _, n := range nodes {
			n.stop()
		}
		assert.Equal(t, len(f.registered()), 0)
	})
}

// TestOwnRegistrationInCopyIsWrittenAgain guards against an entry that takes the copy's registration
// for one that it has confirmed.
func TestOwnRegistrationInCopyIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.start("a", "1")
		time.Sleep(time.Second)
		before, err := f.store.Get(t.Context(), Kind, "a")
		assert.NilError(t, err)
		f.store.Restore(f.store.Copy())
		time.Sleep(time.Second)
		after, err := f.store.Get(t.Context(), Kind, "a")
		assert.NilError(t, err)
		assert.Equal(t, objectapi.EraOf(after.Version), uint64(1))
		assert.Assert(t, objectapi.WithoutEra(after.Version) > objectapi.WithoutEra(before.Version))
		a.stop()
	})
}

// TestReturnReachesEntryWithoutStore guards against an entry out of touch with the store that keeps,
// or hands on, the registrations of the former era as newer ones.
func TestReturnReachesEntryWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.start("a", "1"), f.start("b", "1")
		time.Sleep(time.Second)
		old := f.store.Copy()
		for range 20 { // The former era ends with a greater revision than the new one reaches.
			_, err := f.store.Put(t.Context(), objectapi.Object{Kind: "other", Name: time.Now().String()})
			assert.NilError(t, err)
			time.Sleep(time.Millisecond)
		}
		lost, err := f.store.Put(t.Context(), objectapi.Object{
			Kind: Kind, Name: "g", Value: []byte(`{"host":"g","incarnation":"1","address":"10.0.0.9:7000"}`),
		})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, b.mesh.MemberCount(), 3)
		b.store.SetDown(true)
		f.store.Restore(old)
		time.Sleep(2 * time.Second)
		for _, n := range []*node{a, b} {
			assert.Equal(t, n.knownEra(), uint64(1))
			assert.Equal(t, n.mesh.MemberCount(), 2)
			assert.Assert(t, n.mesh.versions()[topicMembers] > lost.Revision)
			assert.DeepEqual(t, len(n.alive()), 1)
		}
		a.stop()
		b.stop()
	})
}

// TestCopyHoldsEarlierIncarnation guards against an entry that is alive and is taken for its
// predecessor, as the copy lists that, while it cannot register.
func TestCopyHoldsEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.start("a", "1"), f.start("b", "1")
		time.Sleep(time.Second)
		old := f.store.Copy()
		b.cancel()
		<-b.done
		time.Sleep(time.Millisecond)
		b2 := f.start("b", "2")
		time.Sleep(time.Second)
		b2.store.SetDown(true)
		f.store.Restore(old)
		time.Sleep(3 * time.Second)
		assert.Equal(t, a.mesh.Incarnation("b"), id.Incarnation("2"))
		assert.DeepEqual(t, a.alive(), []id.Host{"b"})
		b2.store.SetDown(false)
		time.Sleep(2 * time.Second)
		o, err := f.store.Get(t.Context(), Kind, "b")
		assert.NilError(t, err)
		m, err := decodeMember(o.Value)
		assert.NilError(t, err)
		assert.Equal(t, m.Incarnation, id.Incarnation("2"))
		a.stop()
		b2.stop()
	})
}

// TestLaterStartWinsOverCopy guards against a known incarnation that a copy's registration replaces
// until the member is heard of again, which takes seconds in a large fleet.
func TestLaterStartWinsOverCopy(t *testing.T) {
	m, err := New(Options{
		Self: Member{Host: "a", Incarnation: "1", Address: "10.0.0.1:7000"}, Store: memstore.New(memstore.Config{}),
		Caller: memnet.New(memnet.Config{}).Join("a"), Log: zerolog.Nop(),
	})
	assert.NilError(t, err)
	earlier := Member{Host: "b", Incarnation: "1", Address: "10.0.0.2:7000", Started: 1}
	later := Member{Host: "b", Incarnation: "2", Address: "10.0.0.2:7000", Started: 2}
	now := time.Now()
	m.updatePeer(later, 5, now)
	p := m.updatePeer(earlier, objectapi.ComposeVersion(1, 3), now)
	assert.Equal(t, p.member, later)
	assert.Equal(t, p.revision, objectapi.ComposeVersion(1, 3))
	// In one era the order of the store decides, as clocks may be wrong.
	p = m.updatePeer(earlier, objectapi.ComposeVersion(1, 4), now)
	assert.Equal(t, p.member, earlier)
}
