package memstore

import (
	"maps"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// Copy is the content of a Store at one time.
type Copy struct {
	versions map[key][]objectapi.Object
	revision uint64
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{versions: maps.Clone(s.versions), revision: s.revision} // The slices are never changed in place.
}

// Restore goes back to a copy and raises the era. Versions and revisions after the copy are
// given out again, and watches of the former era end.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.versions, s.revision = maps.Clone(c.versions), c.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era implements objectapi.EraSource.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
