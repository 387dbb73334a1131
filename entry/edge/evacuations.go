package edge

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/direct"
	"github.com/siskinford/siskinford/entry/evacuation"
	"github.com/siskinford/siskinford/fleet/mesh"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// topicEvacuations is the topic of the set of evacuated zones. It is not among the watched topics,
// so that readers fetch a newer version at once: a change is rare, small and urgent.
const topicEvacuations mesh.Topic = "evacuations"

const (
	// maxEvacuationWait bounds the time for which an entry that starts waits for the set. A list
	// or a fetch from a member takes some milliseconds.
	maxEvacuationWait = 2 * time.Second
	// evacuationListInterval is the time after which an entry that is no reader lists the kind,
	// in case that a value was missed. The list does not serve the bound.
	evacuationListInterval = 2 * time.Minute
)

// evacuations brings the set of evacuated zones into force and replicates it. It is safe for
// concurrent use.
type evacuations struct {
	kind string
	log  zerolog.Logger
	// apply brings the zones into force.
	apply func([]evacuation.Zone)
	// onChange is called after the version changed. It must not block.
	onChange func()
	// members returns the zones of all entries, and endpoints the number of endpoints in each zone.
	members   func() map[id.Host]id.Zone
	endpoints func() map[id.Zone]int

	mu   sync.Mutex // acquired after values.mu, before the locks of the handler and of the mesh
	set  evacuation.Set
	held heldZones
	wait evacuation.Wait
	// unknown holds the revisions of the zones that were reported to be unknown.
	unknown map[id.Zone]uint64
}

// evacuationsInUse reports whether the platform and the settings ask for evacuations.
func (e *Edge) evacuationsInUse() bool {
	return e.adapter.EvacuationKind != "" && e.cfg.EvacuationDelay > 0
}

func (v *evacuations) version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set.Version()
}

// zones returns the set, false if it is not known.
func (v *evacuations) zones() ([]evacuation.Zone, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.inForce(), v.set.Known()
}

// encode returns the set for another entry.
func (v *evacuations) encode() mesh.Value {
	v.mu.Lock()
	defer v.mu.Unlock()
	data, err := v.set.Encode()
	if err != nil {
		v.log.Error().Err(err).Str("event", "evacuations.not_encoded").Send()
		return mesh.Value{}
	}
	return mesh.Value{Version: v.set.Version(), Data: data}
}

// merge applies the set of another entry.
func (v *evacuations) merge(value mesh.Value) {
	v.update("another entry", func() (bool, error) { return v.set.Merge(value.Data, value.Version) })
}

// replace applies a list of the platform.
func (v *evacuations) replace(objects []objectapi.Object, revision uint64) {
	changes := v.changes(objects)
	v.update("the platform", func() (bool, error) { return v.set.Replace(changes, revision, time.Now()), nil })
}

// applyEvents applies the events of a watch of the platform.
func (v *evacuations) applyEvents(objects []objectapi.Object, revision uint64) {
	changes := v.changes(objects)
	v.update("the platform", func() (bool, error) { return v.set.ApplyEvents(changes, revision, time.Now()), nil })
}

// changes translates objects. The name of one that is not readable still names its zone.
func (v *evacuations) changes(objects []objectapi.Object) []evacuation.Change {
	out := make([]evacuation.Change, 0, len(objects))
	for _, o := range objects {
		if o.Unreadable != nil && !o.Deleted {
			v.log.Warn().Err(o.Unreadable).Str("event", "evacuation.unreadable").Str("object", v.kind+"/"+o.Name).
				Msg("object is unreadable; its name still evacuates the zone")
		}
		out = append(out, evacuation.Change{Zone: id.Zone(o.Name), Revision: o.Created, Removed: o.Deleted})
	}
	return out
}

// update changes the set and brings it into force if it changed.
func (v *evacuations) update(source string, change func() (bool, error)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before, version := v.inForce(), v.set.Version()
	last := v.set.Zones()
	changed, err := change()
	if err != nil {
		v.log.Error().Err(err).Str("event", "evacuations.rejected").Str("source", source).Send()
		return
	}
	if !changed {
		return
	}
	if version != 0 && objectapi.EraOf(v.set.Version()) > objectapi.EraOf(version) {
		v.hold(before)
	} else {
		v.held.release(last, v.set.Zones(), time.Now())
	}
	after := v.inForce()
	v.apply(after)
	v.onChange()
	v.logChanges(source, before, after)
	v.reportUnknown()
}

// logChanges logs each zone that was taken out or restored. The caller holds mu.
func (v *evacuations) logChanges(source string, before, after []evacuation.Zone) {
	endpoints := v.endpoints()
	line := func(event string, z evacuation.Zone) *zerolog.Event {
		return v.log.Info().Str("event", event).Str("zone", string(z.Name)).Uint64("revision", z.Revision).
			Uint64("version", v.set.Version()).Str("source", source).Int("endpoints", endpoints[z.Name])
	}
	former := make(map[id.Zone]evacuation.Zone, len(before))
	for _, z := range before {
		former[z.Name] = z
	}
	for _, z := range after {
		if old, ok := former[z.Name]; !ok || old.Revision != z.Revision {
			line("zone.evacuated", z).Time("since", z.Since).Msg("endpoints of the zone get no requests")
		}
		delete(former, z.Name)
	}
	for _, z := range before {
		if _, ok := former[z.Name]; ok {
			line("zone.restored", z).Dur("out_for", time.Since(z.Since)).Msg("endpoints of the zone get requests again")
		}
	}
}

// reportUnknown logs zones without an endpoint and without an entry, once for each evacuation: the
// name of the object may be misspelt. The caller holds mu.
func (v *evacuations) reportUnknown() {
	zones := v.set.Zones()
	if len(zones) == 0 {
		return
	}
	endpoints := v.endpoints()
	if len(endpoints) == 0 {
		return // The endpoints are not known yet.
	}
	reported := make(map[id.Zone]uint64)
	for _, z := range zones {
		if v.isKnownZone(z.Name, endpoints) {
			continue
		}
		reported[z.Name] = z.Revision
		if last, ok := v.unknown[z.Name]; !ok || last != z.Revision {
			v.log.Warn().Str("event", "zone.unknown").Str("zone", string(z.Name)).Uint64("revision", z.Revision).
				Str("object", v.kind+"/"+string(z.Name)).Msg("no endpoint and no entry has the evacuated zone")
		}
	}
	v.unknown = reported
}

func (v *evacuations) isKnownZone(zone id.Zone, endpoints map[id.Zone]int) bool {
	if endpoints[zone] > 0 {
		return true
	}
	for _, z := range v.members() {
		if z == zone {
			return true
		}
	}
	return false
}

// begin records what the entry has received of what it needs to serve, and bounds the wait for the
// set from when it has all else.
func (v *evacuations) begin(received func(*evacuation.Wait, time.Time) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if received(&v.wait, time.Now()) && !v.set.Known() {
		time.AfterFunc(v.wait.Limit, v.endWait)
	}
	v.reportUnknown()
}

// endWait lets an entry serve that could not learn the set in time.
func (v *evacuations) endWait() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.set.Known() {
		return
	}
	v.log.Warn().Str("event", "evacuations.unknown").Dur("waited", v.wait.Limit).
		Msg("neither the platform nor another entry told the evacuated zones in time; serving with all zones")
	v.apply(nil)
}

// pending reports whether the entry still waits for the set.
func (v *evacuations) pending() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.set.Known() && !v.wait.Over(time.Now())
}

// onEndpoints brings endpoints into force.
func (e *Edge) onEndpoints(list []direct.Endpoint) {
	e.handler.SetEndpoints(list)
	if e.evacuationsInUse() && len(list) > 0 {
		e.evacuations.begin((*evacuation.Wait).HasEndpoints)
	}
}

// evacuatedZone is a row of the operators' list.
type evacuatedZone struct {
	evacuation.Zone
	// Known is false if no endpoint and no entry has the zone.
	Known bool `json:"known"`
	// Endpoints counts the registered endpoints of the zone.
	Endpoints int `json:"endpoints"`
}

// serveEvacuations answers GET /evacuations with JSON lines of evacuatedZone.
func (e *Edge) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	if !e.evacuationsInUse() {
		http.Error(w, "the settings do not ask for evacuations", http.StatusNotFound)
		return
	}
	zones, known := e.evacuations.zones()
	if !known {
		http.Error(w, "the evacuated zones are not known yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	endpoints := e.handler.ZoneEndpoints()
	for _, z := range zones {
		row := evacuatedZone{Zone: z, Known: e.evacuations.isKnownZone(z.Name, endpoints), Endpoints: endpoints[z.Name]}
		if err := out.Encode(row); err != nil {
			return // The operator disconnected.
		}
	}
}
