package edge

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// exploredStore is a store of endpoints that returns from older copies, without network.
type exploredStore struct {
	era, revision uint64
	objects       map[string]objectapi.Object
	events        []objectapi.Object // By revision, removals with the revision of the removal.
	copies        []exploredStore
}

func (s *exploredStore) clone() exploredStore {
	return exploredStore{revision: s.revision, objects: maps.Clone(s.objects), events: slices.Clone(s.events)}
}

func (s *exploredStore) restore(copiesAgo int) {
	c := s.copies[max(0, len(s.copies)-1-copiesAgo)].clone()
	s.revision, s.objects, s.events = c.revision, c.objects, c.events
	s.era++
}

func (s *exploredStore) write(name, value string) {
	s.revision++
	o, ok := s.objects[name]
	if !ok {
		o = objectapi.Object{Name: name, Created: s.revision}
	}
	o.Value, o.Revision = []byte(value), s.revision
	s.objects[name] = o
	s.events = append(s.events, o)
}

func (s *exploredStore) remove(name string) {
	o, ok := s.objects[name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects, name)
	o.Deleted, o.Revision = true, s.revision
	s.events = append(s.events, o)
}

// exploredEntry is an entry that reads the store or fetches from others.
type exploredEntry struct {
	*returned
	// watched is the revision up to which its watch has come, with the era.
	watched uint64
}

func (e *exploredEntry) list(s *exploredStore) {
	var list []objectapi.Object
	for _, o := range s.objects {
		list = append(list, inEra(s.era, o))
	}
	e.watched = objectapi.ComposeVersion(s.era, s.revision)
	e.replaceEndpoints(list, e.watched)
}

func (e *exploredEntry) watch(s *exploredStore) {
	if objectapi.EraOf(e.watched) != s.era || e.watched == 0 {
		e.list(s)
		return
	}
	var events []objectapi.Object
	for _, o := range s.events {
		if o.Revision > objectapi.WithoutEra(e.watched) {
			events = append(events, inEra(s.era, o))
		}
	}
	e.watched = objectapi.ComposeVersion(s.era, s.revision)
	e.applyEndpointEvents(events, e.watched)
}

func (e *exploredEntry) fetch(from *exploredEntry) {
	if have := e.versions()[topicEndpoints]; from.versions()[topicEndpoints] > have {
		e.apply(topicEndpoints, from.encode(topicEndpoints, have))
	}
}

// TestEndpointsWithReturns explores orders of writes, copies, returns, lists, watches and fetches between
// entries. Versions never decrease, no change within an era that an entry follows is lost, and in the end
// all entries use what the store lists.
func TestEndpointsWithReturns(t *testing.T) {
	const cases, steps = 400, 80
	returns := 0
	for seed := range uint64(cases) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := &exploredStore{objects: make(map[string]objectapi.Object)}
		s.write("e0", `{"address":"0"}`)
		s.copies = append(s.copies, s.clone())
		entries := make([]*exploredEntry, 4)
		for i := range entries {
			entries[i] = &exploredEntry{returned: newReturned()}
		}
		for range steps {
			i := random.IntN(len(entries))
			e := entries[i]
			before := e.versions()[topicEndpoints]
			switch random.IntN(14) {
			case 0, 1, 2:
				name := fmt.Sprintf("e%d", random.IntN(6))
				s.write(name, fmt.Sprintf(`{"address":%q}`, fmt.Sprintf("%s/%d", name, random.IntN(3))))
			case 3:
				s.remove(fmt.Sprintf("e%d", random.IntN(6)))
			case 4:
				s.copies = append(s.copies, s.clone())
			case 5:
				if random.IntN(2) == 0 {
					s.restore(random.IntN(3))
					returns++
				}
			case 6:
				e.list(s)
			case 7, 8, 9:
				e.watch(s)
			case 10, 11:
				e.fetch(entries[random.IntN(len(entries))])
			case 12:
				e.pass(time.Duration(random.Int64N(int64(holdTime))))
			case 13:
				if random.IntN(4) == 0 {
					entries[i] = &exploredEntry{returned: newReturned()}
					continue
				}
			}
			after := e.versions()[topicEndpoints]
			assert.Assert(t, after >= before, "seed %d: version %x after %x", seed, after, before)
		}
		// One entry still reads the store; the others get it from each other.
		entries[0].watch(s)
		entries[0].watch(s)
		for range 2 {
			for _, to := range entries {
				for _, from := range entries {
					to.fetch(from)
				}
			}
		}
		want := slices.Sorted(maps.Keys(s.objects))
		for i, e := range entries {
			e.pass(holdTime)
			assert.DeepEqual(t, e.names(), want)
			for name, o := range s.objects {
				assert.DeepEqual(t, string(e.values.endpoints.byName[name].Value), string(o.Value))
			}
			assert.Equal(t, e.versions()[topicEndpoints], entries[0].versions()[topicEndpoints], "seed %d: entry %d", seed, i)
		}
	}
	assert.Assert(t, returns > cases)
}
