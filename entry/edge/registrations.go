package edge

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// registration is the platform's object of one endpoint.
type registration struct {
	Created uint64          `json:"created"`
	Value   json.RawMessage `json:"value"`
}

func (r registration) equal(o registration) bool {
	return r.Created == o.Created && bytes.Equal(r.Value, o.Value)
}

// maxChanges bounds the changes kept for entries that are behind. A rollout of all
// endpoints of a present-day fleet has fewer.
const maxChanges = 256

// registrations holds the registrations of endpoints and their latest changes. Those that
// entries exchange are the ones of the store; after the store has returned from an older copy,
// others may be held in force (see hold.go).
type registrations struct {
	// version is the revision of the last change, and synced the revision up to which
	// changes have been applied.
	version, synced uint64
	byName          map[string]registration
	// changes holds the changes after the revision base, oldest first.
	changes []change
	base    uint64
	// removed holds the last registrations of endpoints that were removed.
	removed map[string]removal
	// held holds what is in force instead of byName until heldUntil. Nil is a removal.
	held      map[string]*registration
	heldUntil time.Time
	// now returns the time. Nil is time.Now.
	now func() time.Time
}

// change is one new, updated or removed registration.
type change struct {
	// revision is that of the change or a later one.
	revision uint64
	name     string
	// value is nil for a removal.
	value *registration
}

// update is the content of the endpoints topic: all registrations, or the changes
// after a revision.
type update struct {
	All     map[string]registration  `json:"all"`
	Since   uint64                   `json:"since,omitempty"`
	Changed map[string]*registration `json:"changed,omitempty"`
}

// replace replaces all registrations at a revision and reports whether any changed.
func (r *registrations) replace(listed map[string]registration, revision uint64) bool {
	if revision < r.synced || (revision == r.synced && r.byName != nil) {
		return false
	}
	r.keepCreated(listed)
	// In a new era the version changes with the same registrations too: a version of a former era
	// may stand for other ones at another entry.
	newEra := objectapi.EraOf(revision) > objectapi.EraOf(r.synced)
	r.synced = revision
	if r.byName != nil && !newEra && sameRegistrations(listed, r.byName) {
		return false
	}
	if r.byName != nil && newEra {
		r.hold(listed)
	} else {
		r.releaseRewritten(listed)
		r.recordRemovals(listed)
	}
	r.byName, r.version = listed, revision
	r.changes, r.base = nil, revision
	return true
}

// applyEvents applies watch events up to a revision and reports whether any applied.
func (r *registrations) applyEvents(objects []objectapi.Object, revision uint64) bool {
	if revision <= r.synced || objectapi.EraOf(revision) != objectapi.EraOf(r.synced) {
		return false // Changes of a new era follow a list of that era.
	}
	changed := make(map[string]*registration)
	for _, o := range objects {
		switch {
		case o.Revision != 0 && o.Revision <= r.synced && !r.removes(o): // A later list from another entry includes it.
		case o.Deleted:
			changed[o.Name] = nil
		default:
			changed[o.Name] = &registration{Created: r.createdOf(o.Name, o.Created), Value: o.Value}
		}
	}
	r.synced = revision
	return r.apply(changed, revision)
}

// removes reports whether an event removes the registration that is known. A store may send a removed
// object with the revision of its last write, which says nothing about when it was removed.
func (r *registrations) removes(o objectapi.Object) bool {
	known, ok := r.byName[o.Name]
	return ok && o.Deleted && o.Created != 0 && objectapi.WithoutEra(o.Created) == objectapi.WithoutEra(known.Created)
}

// merge applies another entry's update and reports whether any registration changed.
func (r *registrations) merge(u update, version uint64) (changed bool) {
	switch {
	case version <= r.synced:
	case u.All != nil:
		changed = r.replace(u.All, version)
	case u.Since == 0:
		return false // Neither a list nor changes.
	case objectapi.EraOf(u.Since) != objectapi.EraOf(version):
		return false // Changes do not lead from one era to another.
	case r.synced < u.Since:
		return false // The changes in between are missing.
	default:
		r.synced = version
		changed = r.apply(u.Changed, version)
	}
	// The registrations are at least as new as the other entry's.
	r.version = max(r.version, version)
	return changed
}

// apply records changes up to a revision and reports whether there are any.
func (r *registrations) apply(changed map[string]*registration, revision uint64) bool {
	if len(changed) == 0 {
		return false
	}
	if r.byName == nil {
		r.byName = make(map[string]registration)
	}
	for name, value := range changed {
		delete(r.held, name)
		if value == nil {
			r.recordRemoval(name)
			delete(r.byName, name)
		} else {
			r.byName[name] = *value
		}
		r.changes = append(r.changes, change{revision, name, value})
	}
	r.version = revision
	if over := len(r.changes) - maxChanges; over > 0 {
		r.base = r.changes[over-1].revision
		r.changes = append([]change(nil), r.changes[over:]...)
	}
	return true
}

// since returns the changes after version have, or all registrations if it is too old.
func (r *registrations) since(have uint64) update {
	if have == 0 || have < r.base {
		return update{All: r.byName}
	}
	u := update{Since: have, Changed: make(map[string]*registration)}
	for _, c := range r.changes {
		if c.revision > have {
			u.Changed[c.name] = c.value
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
