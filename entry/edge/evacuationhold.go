package edge

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/evacuation"
)

// heldZones are zones whose state of the former era is held against an older copy of the store, until the operator's
// change is written again or holdTime is over.
type heldZones struct {
	// out holds the zones to keep out of service, and in those to keep in service.
	out   map[id.Zone]evacuation.Zone
	in    map[id.Zone]bool
	until time.Time
	// restored is when zones were last taken back.
	restored map[id.Zone]time.Time
}

// hold begins to hold what was in force where the copy differs from it.
func (h *heldZones) hold(before, copied []evacuation.Zone, now time.Time) {
	out, in := make(map[id.Zone]evacuation.Zone), make(map[id.Zone]bool)
	for _, z := range before {
		out[z.Name] = z
	}
	for _, z := range copied {
		if _, was := out[z.Name]; was {
			delete(out, z.Name)
		} else if at, ok := h.restored[z.Name]; ok && now.Sub(at) < removalTTL {
			in[z.Name] = true
		}
	}
	h.out, h.in, h.until = out, in, now.Add(holdTime)
}

// release stops holding the zones that a change within an era names, and remembers those that it restored.
func (h *heldZones) release(before, after []evacuation.Zone, now time.Time) {
	was, is := make(map[id.Zone]uint64), make(map[id.Zone]uint64)
	for _, z := range before {
		was[z.Name] = z.Revision
	}
	for _, z := range after {
		is[z.Name] = z.Revision
	}
	for name := range was {
		if _, still := is[name]; !still {
			if h.restored == nil {
				h.restored = make(map[id.Zone]time.Time)
			}
			h.restored[name] = now
		}
	}
	maps.DeleteFunc(h.restored, func(_ id.Zone, at time.Time) bool { return now.Sub(at) >= removalTTL })
	maps.DeleteFunc(h.out, func(name id.Zone, _ evacuation.Zone) bool { return was[name] != is[name] })
	maps.DeleteFunc(h.in, func(name id.Zone, _ bool) bool { return was[name] != is[name] })
}

// apply returns the zones that are out of service, by name, given those in the store.
func (h *heldZones) apply(stored []evacuation.Zone) []evacuation.Zone {
	if len(h.out) == 0 && len(h.in) == 0 {
		return stored
	}
	zones := slices.DeleteFunc(slices.Clone(stored), func(z evacuation.Zone) bool { return h.in[z.Name] })
	zones = slices.AppendSeq(zones, maps.Values(h.out))
	slices.SortFunc(zones, func(a, b evacuation.Zone) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return zones
}

// inForce returns the zones that are out of service. The caller holds mu.
func (v *evacuations) inForce() []evacuation.Zone { return v.held.apply(v.set.Zones()) }

// hold begins to hold what was in force in the former era. The caller holds mu.
func (v *evacuations) hold(before []evacuation.Zone) {
	v.held.hold(before, v.set.Zones(), time.Now())
	if n := len(v.held.out) + len(v.held.in); n > 0 {
		v.log.Warn().Str("event", "evacuations.held").Int("held", n).Uint64("version", v.set.Version()).Dur("for", holdTime).
			Msg("the store's older copy differs from what was in force, which is held until it is written again")
		time.AfterFunc(holdTime, v.releaseHeld)
	}
}

// releaseHeld brings the zones of the store into force once the time to hold others is over.
func (v *evacuations) releaseHeld() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Now().Before(v.held.until) {
		return // A later copy is held against.
	}
	before := v.inForce()
	v.held.out, v.held.in = nil, nil
	after := v.inForce()
	if slices.Equal(before, after) {
		return
	}
	v.apply(after)
	v.logChanges("the platform", before, after)
}
