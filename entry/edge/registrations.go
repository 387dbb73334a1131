package edge

import (
	"bytes"
	"encoding/json"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// registration is one endpoint's object in the platform.
type registration struct {
	Created uint64          `json:"created"`
	Value   json.RawMessage `json:"value"`
}

func (r registration) equal(o registration) bool {
	return r.Created == o.Created && bytes.Equal(r.Value, o.Value)
}

// maxChanges bounds the changes that are kept for entries that are behind, more
// than a release of all endpoints of a fleet of today takes.
const maxChanges = 256

// registrations holds the registrations of endpoints with their last changes.
type registrations struct {
	// version is the revision of the last change, and known the one up to which the
	// registrations are known.
	version, known uint64
	listed         map[string]registration
	// changes holds the changes after the revision base, the oldest first.
	changes []change
	base    uint64
}

// change is one registration or its removal.
type change struct {
	// revision is that of the change or a later one.
	revision uint64
	name     string
	// now is nil after a removal.
	now *registration
}

// update is what an entry that is behind lacks: all registrations, or what changed
// after a revision.
type update struct {
	All     map[string]registration  `json:"all"`
	Since   uint64                   `json:"since,omitempty"`
	Changed map[string]*registration `json:"changed,omitempty"`
}

// list takes in all registrations at a revision. It is true if anything changed.
func (r *registrations) list(listed map[string]registration, revision uint64) bool {
	if revision < r.known || (revision == r.known && r.listed != nil) {
		return false
	}
	r.known = revision
	if r.listed != nil && sameRegistrations(listed, r.listed) {
		return false
	}
	r.listed, r.version = listed, revision
	r.changes, r.base = nil, revision
	return true
}

// watch takes in the events of a watch up to a revision. It is true if anything changed.
func (r *registrations) watch(objects []objectapi.Object, revision uint64) bool {
	if revision <= r.known {
		return false
	}
	changed := make(map[string]*registration)
	for _, o := range objects {
		switch {
		case o.Revision != 0 && o.Revision <= r.known: // Another entry handed a later list over.
		case o.Deleted:
			changed[o.Name] = nil
		default:
			changed[o.Name] = &registration{Created: o.Created, Value: o.Value}
		}
	}
	r.known = revision
	return r.apply(changed, revision)
}

// hand takes in what another entry handed over with its version. It is true if
// anything changed.
func (r *registrations) hand(u update, version uint64) (changed bool) {
	switch {
	case version <= r.known:
	case u.All != nil:
		changed = r.list(u.All, version)
	case u.Since == 0:
		return false // Neither of both.
	case r.known < u.Since:
		return false // It does not follow on what is held.
	default:
		r.known = version
		changed = r.apply(u.Changed, version)
	}
	// Nothing that is held is older than the other entry's.
	r.version = max(r.version, version)
	return changed
}

// apply notes changes up to a revision. It is true if there are any.
func (r *registrations) apply(changed map[string]*registration, revision uint64) bool {
	if len(changed) == 0 {
		return false
	}
	if r.listed == nil {
		r.listed = make(map[string]registration)
	}
	for name, now := range changed {
		if now == nil {
			delete(r.listed, name)
		} else {
			r.listed[name] = *now
		}
		r.changes = append(r.changes, change{revision, name, now})
	}
	r.version = revision
	if over := len(r.changes) - maxChanges; over > 0 {
		r.base = r.changes[over-1].revision
		r.changes = append([]change(nil), r.changes[over:]...)
	}
	return true
}

// since returns what an entry that has a version lacks.
func (r *registrations) since(have uint64) update {
	if have == 0 || have < r.base {
		return update{All: r.listed}
	}
	u := update{Since: have, Changed: make(map[string]*registration)}
	for _, c := range r.changes {
		if c.revision > have {
			u.Changed[c.name] = c.now
		}
	}
	return u
}

func sameRegistrations(a, b map[string]registration) bool {
	if len(a) != len(b) {
		return false
	}
	for name, r := range a {
		if o, ok := b[name]; !ok || !o.equal(r) {
			return false
		}
	}
	return true
}
