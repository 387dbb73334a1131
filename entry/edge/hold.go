package edge

import (
	"bytes"
	"maps"
	"time"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

const (
	// holdTime is the time for which registrations and removals known from the former era are held
	// against an older copy of the store. Their writers repeat them within a few heartbeats of
	// 1.2 s, and a repeated write is in force within defaultMaxConfigDelay: 3 × 1.2 s + 2 s, rounded up.
	holdTime = 6 * time.Second
	// removalTTL is the time for which removals are remembered. Copies are a few seconds old.
	removalTTL = time.Minute
	// maxRemovals bounds the removals that are remembered. A rollout of all endpoints of a
	// present-day fleet has fewer.
	maxRemovals = 2048
)

// removal is a removed registration.
type removal struct {
	registration
	at time.Time
}

// sameWrite reports whether two registrations of an endpoint are the same one, if that of a copy
// is read in a later era.
func (r registration) sameWrite(o registration) bool {
	return r.sameCreation(o) && bytes.Equal(r.Value, o.Value)
}

// sameCreation reports whether two registrations of an endpoint have the same creation, whatever was written since.
func (r registration) sameCreation(o registration) bool {
	return objectapi.WithoutEra(r.Created) == objectapi.WithoutEra(o.Created)
}

func (r *registrations) clock() time.Time {
	if r.now == nil {
		return time.Now()
	}
	return r.now()
}

// createdOf returns the creation revision of an endpoint's registration, with the era in which
// it was first read. A copy read in a later era would otherwise seem to be registered again,
// which ends a departure.
func (r *registrations) createdOf(name string, created uint64) uint64 {
	known, ok := r.byName[name]
	if !ok {
		known = r.removed[name].registration
	}
	if objectapi.WithoutEra(known.Created) == objectapi.WithoutEra(created) {
		return known.Created
	}
	return created
}

func (r *registrations) keepCreated(listed map[string]registration) {
	for name, l := range listed {
		l.Created = r.createdOf(name, l.Created)
		listed[name] = l
	}
}

// recordRemoval remembers the registration of an endpoint that is being removed.
func (r *registrations) recordRemoval(name string) {
	last, ok := r.byName[name]
	if !ok {
		return
	}
	now := r.clock()
	if len(r.removed) >= maxRemovals {
		maps.DeleteFunc(r.removed, func(_ string, x removal) bool { return now.Sub(x.at) > removalTTL })
	}
	if len(r.removed) >= maxRemovals {
		return
	}
	if r.removed == nil {
		r.removed = make(map[string]removal)
	}
	r.removed[name] = removal{last, now}
}

// recordRemovals remembers the registrations that a list of the same era does not have any more.
func (r *registrations) recordRemovals(listed map[string]registration) {
	for name := range r.byName {
		if _, ok := listed[name]; !ok {
			r.recordRemoval(name)
		}
	}
}

// hold keeps what was in force in the former era where a list of a new era differs from it: what
// the copy lacks may be written again, and what it has may have been removed.
func (r *registrations) hold(listed map[string]registration) {
	now := r.clock()
	before := r.inForce()
	held := make(map[string]*registration)
	for name, known := range before {
		if l, ok := listed[name]; !ok || !known.sameWrite(l) {
			held[name] = &known
		}
	}
	for name, l := range listed {
		x, removed := r.removed[name]
		if _, known := before[name]; !known && removed && now.Sub(x.at) < removalTTL && x.sameCreation(l) {
			held[name] = nil
		}
	}
	r.held, r.heldUntil = held, now.Add(holdTime)
}

// releaseRewritten stops holding what a later list of the same era shows to be written since.
func (r *registrations) releaseRewritten(listed map[string]registration) {
	for name := range r.held {
		before, was := r.byName[name]
		if after, is := listed[name]; was != is || !before.equal(after) {
			delete(r.held, name)
		}
	}
}

// release stops holding registrations after holdTime and reports whether it held any.
func (r *registrations) release() bool {
	if len(r.held) == 0 || r.clock().Before(r.heldUntil) {
		return false
	}
	r.held = nil
	return true
}

// inForce returns the registrations to use. The result must not be modified.
func (r *registrations) inForce() map[string]registration {
	if len(r.held) == 0 {
		return r.byName
	}
	out := maps.Clone(r.byName)
	for name, known := range r.held {
		if known == nil {
			delete(out, name)
		} else {
			out[name] = *known
		}
	}
	return out
}

// scheduleRelease plans the release of held registrations. The caller holds mu.
func (v *values) scheduleRelease() {
	if len(v.endpoints.held) == 0 || v.releaseAt.Equal(v.endpoints.heldUntil) {
		return
	}
	v.releaseAt = v.endpoints.heldUntil
	v.log.Warn().Str("event", "endpoints.held").Int("held", len(v.endpoints.held)).Uint64("revision", v.endpoints.version).Dur("for", holdTime).
		Msg("the store's older copy differs from what was in force, which is held until it is written again")
	time.AfterFunc(v.releaseAt.Sub(v.endpoints.clock()), v.releaseHeld)
}

// releaseHeld brings the store's registrations into force once the time to hold others is over.
func (v *values) releaseHeld() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.endpoints.release() {
		v.publishEndpoints("the platform")
	}
}
