package evacuation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/id"
)

// model is a store that remembers the zones that were out at each revision.
type model struct {
	history []map[id.Zone]uint64 // by revision; the values are the objects' first revisions
	events  []modelEvent
}

type modelEvent struct {
	at uint64
	Change
}

func (m *model) revision() uint64 { return uint64(len(m.history) - 1) }

// write takes a zone out or restores it, or writes an object of another kind if the zone is empty.
func (m *model) write(zone id.Zone) {
	next := maps.Clone(m.history[m.revision()])
	m.history = append(m.history, next)
	at := m.revision()
	created, out := next[zone]
	switch {
	case zone == "":
	case out:
		delete(next, zone)
		m.events = append(m.events, modelEvent{at, Change{Zone: zone, Revision: created, Removed: true}})
	default:
		next[zone] = at
		m.events = append(m.events, modelEvent{at, Change{Zone: zone, Revision: at}})
	}
}

// reader is an entry with the revision of its own watch, zero before its list.
type reader struct {
	Set
	watched uint64
}

func (r *reader) list(m *model) {
	var list []Change
	for zone, created := range m.history[m.revision()] {
		list = append(list, Change{Zone: zone, Revision: created})
	}
	r.watched = m.revision()
	r.Replace(list, r.watched, start)
}

func (r *reader) watch(m *model) {
	if r.watched == 0 {
		return
	}
	var events []Change
	for _, e := range m.events {
		if e.at > r.watched {
			events = append(events, e.Change)
		}
	}
	r.watched = m.revision()
	r.ApplyEvents(events, r.watched, start)
}

// TestExplore guards against entries that believe what was never true, or that go on differing once
// all have heard of each other: lists, watches and members of different ages arrive in any order, and
// entries restart.
func TestExplore(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := &model{history: []map[id.Zone]uint64{{}, {}}}
		entries := make([]reader, 4)
		pass := func(from, to *reader) {
			data, err := from.Encode()
			assert.NilError(t, err)
			_, err = to.Merge(data, from.Version())
			assert.NilError(t, err)
		}
		check := func(r *reader) {
			t.Helper()
			if !r.Known() {
				return
			}
			got := make(map[id.Zone]uint64)
			for _, z := range r.Zones() {
				got[z.Name] = z.Revision
			}
			assert.Assert(t, maps.Equal(got, m.history[r.synced]), "seed %d: %v at revision %d, want %v", seed, got, r.synced, m.history[r.synced])
		}
		for range 60 {
			r := &entries[rng.IntN(len(entries))]
			switch rng.IntN(8) {
			case 0, 1:
				m.write(id.Zone([]string{"", "a", "b", "c"}[rng.IntN(4)]))
			case 2:
				r.list(m)
			case 3, 4:
				r.watch(m)
			case 5, 6:
				pass(&entries[rng.IntN(len(entries))], r)
			case 7:
				if rng.IntN(4) == 0 {
					*r = reader{}
				}
			}
			check(r)
		}
		entries[0].list(m)
		for range 2 {
			for i := range entries {
				best := slices.IndexFunc(entries, func(r reader) bool { return r.Version() > entries[i].Version() })
				for ; best >= 0; best = slices.IndexFunc(entries, func(r reader) bool { return r.Version() > entries[i].Version() }) {
					pass(&entries[best], &entries[i])
					check(&entries[i])
				}
			}
		}
		for i := range entries {
			assert.Equal(t, fmt.Sprint(entries[i].names()), fmt.Sprint(entries[0].names()), "seed %d", seed)
			assert.Equal(t, entries[i].Version(), entries[0].Version(), "seed %d", seed)
		}
	}
}
