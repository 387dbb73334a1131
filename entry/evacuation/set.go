// Package evacuation holds the availability zones that the operator has taken out of service, as one
// entry knows them. It has neither clock, lock nor network.
package evacuation

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
)

// Zone is a zone that is out of service.
type Zone struct {
	Name id.Zone `json:"zone"`
	// Revision is the store's revision at which the zone was taken out.
	Revision uint64 `json:"revision"`
	// Since is when the entry, or the member that it learnt the zone from, first saw the object.
	Since time.Time `json:"since"`
}

// Change is an object of a list, or the change of one in a watch.
type Change struct {
	Zone id.Zone
	// Revision is the revision at which the object was created, zero if it cannot be read.
	Revision uint64
	// Removed is true for an object that was deleted or is being deleted.
	Removed bool
}

// Set is the set of zones out of service. Revisions of the store order all that it learns; it uses
// them for nothing else. The zero value is a set that is not known yet. It is not safe for concurrent use.
type Set struct {
	// version is the revision of the last change as far as other entries need to know it, and
	// synced the revision up to which changes are known.
	version, synced uint64
	// zones is nil until the set is known.
	zones map[id.Zone]Zone
}

// Known reports whether a list or a member has told the set.
func (s *Set) Known() bool { return s.zones != nil }

// Version returns the revision of the last change, zero if the set is not known.
func (s *Set) Version() uint64 { return s.version }

// Zones returns the zones by name.
func (s *Set) Zones() []Zone {
	return slices.SortedFunc(maps.Values(s.zones), func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
}

// Replace replaces the set by a list at a revision and reports whether anything changed.
func (s *Set) Replace(list []Change, revision uint64, now time.Time) bool {
	if s.Known() && revision <= s.synced {
		return false
	}
	next := make(map[id.Zone]Zone, len(list))
	for _, c := range list {
		if !c.Removed {
			next[c.Zone] = s.zone(c, revision, now)
		}
	}
	return s.set(next, revision, revision)
}

// ApplyEvents applies the events of a watch up to a revision, in their order, and reports whether
// anything changed. It has no effect before the set is known.
//
// The events of a watch are complete up to the revision, so the last one of each zone holds. The
// revision of a deleted object may be that of its last write.
func (s *Set) ApplyEvents(events []Change, revision uint64, now time.Time) bool {
	if !s.Known() || revision <= s.synced {
		return false
	}
	next := maps.Clone(s.zones)
	last := make(map[id.Zone]Change, len(events))
	for _, c := range events {
		last[c.Zone] = c
	}
	for name, c := range last {
		if c.Removed {
			delete(next, name)
		} else {
			next[name] = s.zone(c, revision, now)
		}
	}
	return s.set(next, revision, revision)
}

// zone returns the record of a zone after a change at or before a revision.
func (s *Set) zone(c Change, revision uint64, now time.Time) Zone {
	known, ok := s.zones[c.Zone]
	switch {
	case ok && (c.Revision == 0 || c.Revision == known.Revision):
		return known
	case c.Revision == 0:
		c.Revision = revision
	}
	return Zone{Name: c.Zone, Revision: c.Revision, Since: now}
}

// set brings zones into force that are known up to the revision synced.
func (s *Set) set(next map[id.Zone]Zone, version, synced uint64) bool {
	s.synced = synced
	if s.Known() && sameZones(s.zones, next) {
		return false
	}
	s.zones, s.version = next, version
	return true
}

// sameZones compares the zones and their revisions.
func sameZones(a, b map[id.Zone]Zone) bool {
	return maps.EqualFunc(a, b, func(x, y Zone) bool { return x.Revision == y.Revision })
}

// Encode returns the set for other entries.
func (s *Set) Encode() ([]byte, error) {
	zones := s.Zones()
	if zones == nil {
		zones = []Zone{} // Merge refuses null.
	}
	return json.Marshal(zones)
}

// Merge applies the set of another entry and reports whether anything changed.
func (s *Set) Merge(data []byte, version uint64) (changed bool, err error) {
	var list []Zone
	if err := json.Unmarshal(data, &list); err != nil {
		return false, err
	}
	if list == nil {
		return false, errors.New("set of evacuated zones is null")
	}
	next := make(map[id.Zone]Zone, len(list))
	for _, z := range list {
		if known, ok := s.zones[z.Name]; ok && known.Revision == z.Revision {
			z = known
		}
		next[z.Name] = z
	}
	switch {
	case version > s.synced:
		changed = s.set(next, version, version)
		s.version = version // Also of the same set, so that the entries agree.
	case version <= s.version:
	case sameZones(s.zones, next):
		s.version = version
	default:
		// The set at synced is as it was before changes that this entry did not see. The others
		// have seen some, and must learn that they were taken back.
		s.version = s.synced
	}
	return changed, nil
}
