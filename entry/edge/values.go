package edge

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/entry/direct"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/mesh"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// The topics that entries hand to each other.
const (
	topicConfig    mesh.Topic = "configuration"
	topicEndpoints mesh.Topic = "endpoints"
)

// values holds the configuration and the endpoints in force, in the platform's form,
// so that they can be handed to other entries. Versions never decrease.
type values struct {
	adapter     Adapter
	log         zerolog.Logger
	onConfig    func(*routes.Table)
	onEndpoints func([]direct.Endpoint)
	// onChange is told that a version has changed. It must not block.
	onChange func()

	mu        sync.Mutex // taken before the locks of the handler and of maps
	config    mesh.Value
	endpoints registrations
}

func (v *values) versions() map[mesh.Topic]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return map[mesh.Topic]uint64{topicConfig: v.config.Version, topicEndpoints: v.endpoints.version}
}

// get returns what an entry that has a version lacks.
func (v *values) get(t mesh.Topic, have uint64) mesh.Value {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch t {
	case topicConfig:
		return v.config
	case topicEndpoints:
		data, err := json.Marshal(v.endpoints.since(have))
		if err != nil {
			v.log.Error().Err(err).Str("event", "endpoints.not_encoded").Send()
			return mesh.Value{}
		}
		return mesh.Value{Version: v.endpoints.version, Data: data}
	}
	return mesh.Value{}
}

func (v *values) put(t mesh.Topic, value mesh.Value) {
	switch t {
	case topicConfig:
		v.setConfig(value.Data, "another entry")
	case topicEndpoints:
		var u update
		if err := json.Unmarshal(value.Data, &u); err != nil {
			v.log.Error().Err(err).Str("event", "endpoints.rejected").Str("source", "another entry").Send()
			return
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.endpoints.hand(u, value.Version) {
			v.applyEndpoints("another entry")
		}
	}
}

// setConfig brings a configuration into force if its version is greater.
func (v *values) setConfig(data []byte, source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, err := v.adapter.DecodeConfig(data)
	var table *routes.Table
	if err == nil {
		table, err = routes.NewTable(c)
	}
	if err != nil {
		v.log.Error().Err(err).Str("event", "configuration.rejected").Str("source", source).
			Str("object", v.adapter.ConfigKind+"/"+v.adapter.ConfigName).Uint64("in_force", v.config.Version).
			Msg("the last good configuration stays")
		return
	}
	if c.Version <= v.config.Version {
		return
	}
	v.log.Info().Str("event", "configuration.applied").Str("source", source).Uint64("version", c.Version).
		Uint64("before", v.config.Version).Int("routes", len(c.Routes)).Int("teams", len(c.Teams)).Send()
	v.config = mesh.Value{Version: c.Version, Data: data}
	v.onChange()
	v.onConfig(table)
}

// takeConfig applies the configuration among objects of its kind.
func (v *values) takeConfig(objects []objectapi.Object) {
	for _, o := range objects {
		if o.Name == v.adapter.ConfigName && !o.Deleted {
			v.setConfig(o.Value, "the platform")
		}
	}
}

// listEndpoints replaces all registrations by a list at a revision.
func (v *values) listEndpoints(objects []objectapi.Object, revision uint64) {
	listed := make(map[string]registration, len(objects))
	for _, o := range objects {
		if !o.Deleted {
			listed[o.Name] = registration{Created: o.Created, Value: o.Value}
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.endpoints.list(listed, revision) {
		v.applyEndpoints("the platform")
	}
}

// changeEndpoints applies the events of a watch up to a revision.
func (v *values) changeEndpoints(objects []objectapi.Object, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.endpoints.watch(objects, revision) {
		v.applyEndpoints("the platform")
	}
}

// applyEndpoints brings the registrations into force. The caller holds mu.
func (v *values) applyEndpoints(source string) {
	v.onChange()
	var out []direct.Endpoint
	draining := 0
	for name, r := range v.endpoints.listed {
		e, err := v.adapter.DecodeEndpoint(name, r.Value)
		if err != nil {
			v.log.Warn().Err(err).Str("event", "endpoint.rejected").Str("object", v.adapter.EndpointKind+"/"+name).Send()
			continue
		}
		if e.Draining {
			draining++
		}
		e.RegistrationRevision = r.Created
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b direct.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	v.log.Info().Str("event", "endpoints.applied").Str("source", source).Uint64("revision", v.endpoints.version).
		Int("endpoints", len(out)).Int("draining", draining).Send()
	v.onEndpoints(out)
}

// versions returns the versions of all that the entry hands to others.
func (e *Edge) versions() map[mesh.Topic]uint64 {
	out := e.values.versions()
	e.maps.addVersions(out)
	return out
}

// value returns what an entry that has a version of a topic lacks.
func (e *Edge) value(t mesh.Topic, have uint64) mesh.Value {
	book := e.maps.book(t)
	if book == nil {
		return e.values.get(t, have)
	}
	version, data, err := book.Encode()
	if err != nil {
		e.log.Error().Err(err).Str("event", "roster.not_encoded").Str("topic", string(t)).Send()
		return mesh.Value{}
	}
	return mesh.Value{Version: version, Data: data}
}

// take takes in a value of another entry.
func (e *Edge) take(t mesh.Topic, v mesh.Value) {
	book := e.maps.book(t)
	if book == nil {
		e.values.put(t, v)
		return
	}
	if err := book.Update(v.Version, v.Data); err != nil {
		e.log.Error().Err(err).Str("event", "roster.rejected").Str("topic", string(t)).Send()
	}
}
