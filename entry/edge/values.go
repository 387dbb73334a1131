package edge

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/siskinford/siskinford/entry/direct"
	"github.com/siskinford/siskinford/entry/routes"
	"github.com/siskinford/siskinford/fleet/mesh"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// Topics of the values that entries replicate.
const (
	topicConfig    mesh.Topic = "configuration"
	topicEndpoints mesh.Topic = "endpoints"
)

// values holds the configuration and endpoints in force in the platform's encoding,
// to replicate them to other entries. Versions never decrease.
type values struct {
	adapter     Adapter
	log         zerolog.Logger
	onConfig    func(*routes.Table)
	onEndpoints func([]direct.Endpoint)
	// onChange is called after a version changed. It must not block.
	onChange func()

	mu        sync.Mutex // acquired before the locks of the handler and of groupManager
	config    mesh.Value
	endpoints registrations
	// releaseAt is when scheduleRelease last planned to release held registrations.
	releaseAt time.Time
	// rejected holds the last reason for which a registration was rejected, by name.
	rejected map[string]string
	// read holds when the registrations of cold endpoints were first read with their present content.
	read map[string]readRegistration
}

// readRegistration is a registration and when it was first read.
type readRegistration struct {
	registration
	at time.Time
}

func (v *values) versions() map[mesh.Topic]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return map[mesh.Topic]uint64{topicConfig: v.config.Version, topicEndpoints: v.endpoints.version}
}

// encode returns the part of a topic's value that an entry at version have lacks.
func (v *values) encode(t mesh.Topic, have uint64) mesh.Value {
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

func (v *values) apply(t mesh.Topic, value mesh.Value) {
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
		if v.endpoints.merge(u, value.Version) {
			v.publishEndpoints("another entry")
			v.scheduleRelease()
		}
	}
}

// setConfig brings a configuration into force if its version is newer.
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
			Msg("configuration is invalid; keeping the version in force")
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

// applyConfigObjects applies the configuration among objects of its kind.
func (v *values) applyConfigObjects(objects []objectapi.Object) {
	for _, o := range objects {
		if o.Name == v.adapter.ConfigName && o.Unreadable != nil {
			v.log.Error().Err(o.Unreadable).Str("event", "configuration.rejected").Str("object", v.adapter.ConfigKind+"/"+o.Name).
				Msg("configuration is unreadable; keeping the version in force")
			continue
		}
		if o.Name == v.adapter.ConfigName && !o.Deleted {
			v.setConfig(o.Value, "the platform")
		}
	}
}

// replaceEndpoints replaces all registrations by a list at a revision.
func (v *values) replaceEndpoints(objects []objectapi.Object, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]registration, len(objects))
	for _, o := range objects {
		last, known := v.endpoints.byName[o.Name]
		switch {
		case o.Deleted:
		case o.Unreadable == nil:
			listed[o.Name] = registration{Created: o.Created, Value: o.Value}
		default:
			v.reportRejected(o.Name, o.Unreadable)
			if known {
				listed[o.Name] = last
			}
		}
	}
	if v.endpoints.replace(listed, revision) {
		v.publishEndpoints("the platform")
		v.scheduleRelease()
	}
}

// applyEndpointEvents applies the events of a watch up to a revision.
func (v *values) applyEndpointEvents(objects []objectapi.Object, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	readable := make([]objectapi.Object, 0, len(objects))
	for _, o := range objects {
		if o.Unreadable != nil && !o.Deleted {
			v.reportRejected(o.Name, o.Unreadable) // The last readable registration stays in force.
			continue
		}
		readable = append(readable, o)
	}
	if v.endpoints.applyEvents(readable, revision) {
		v.publishEndpoints("the platform")
	}
}

// reportRejected logs a registration that cannot be used, once for each reason. The caller
// holds mu.
func (v *values) reportRejected(name string, reason error) {
	if v.rejected[name] == reason.Error() {
		return
	}
	if v.rejected == nil || len(v.rejected) >= maxRejected {
		v.rejected = make(map[string]string)
	}
	v.rejected[name] = reason.Error()
	v.log.Warn().Err(reason).Str("event", "endpoint.rejected").Str("object", v.adapter.EndpointKind+"/"+name).Send()
}

// maxRejected bounds the names of rejected registrations that are remembered.
const maxRejected = 1024

// publishEndpoints brings the registrations into force. The caller holds mu.
func (v *values) publishEndpoints(source string) {
	v.onChange()
	var out []direct.Endpoint
	draining, now := 0, time.Now()
	read := make(map[string]readRegistration)
	for name, r := range v.endpoints.inForce() {
		e, err := v.adapter.DecodeEndpoint(name, r.Value)
		if err != nil {
			v.reportRejected(name, err)
			continue
		}
		if e.Draining {
			draining++
		}
		e.RegistrationRevision = r.Created
		if e.WarmupRemaining > 0 {
			read[name] = readRegistration{registration: r, at: now}
			if last, ok := v.read[name]; ok && last.equal(r) {
				read[name] = last
			}
			e.ReadAt = read[name].at
		}
		out = append(out, e)
	}
	v.read = read
	slices.SortFunc(out, func(a, b direct.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	v.log.Info().Str("event", "endpoints.applied").Str("source", source).Uint64("revision", v.endpoints.version).
		Int("endpoints", len(out)).Int("draining", draining).Int("held", len(v.endpoints.held)).Send()
	v.onEndpoints(out)
}

// versions returns the versions of all replicated values.
func (e *Edge) versions() map[mesh.Topic]uint64 {
	out := e.values.versions()
	if e.evacuationsInUse() {
		out[topicEvacuations] = e.evacuations.version()
	}
	e.groups.addVersions(out)
	return out
}

// encodeValue returns the part of a topic's value that an entry at version have lacks.
func (e *Edge) encodeValue(t mesh.Topic, have uint64) mesh.Value {
	if t == topicEvacuations {
		return e.evacuations.encode()
	}
	roster := e.groups.rosterOf(t)
	if roster == nil {
		return e.values.encode(t, have)
	}
	version, data, err := roster.Encode()
	if err != nil {
		e.log.Error().Err(err).Str("event", "roster.not_encoded").Str("topic", string(t)).Send()
		return mesh.Value{}
	}
	return mesh.Value{Version: version, Data: data}
}

// applyValue applies a value received from another entry.
func (e *Edge) applyValue(t mesh.Topic, v mesh.Value) {
	if t == topicEvacuations {
		e.evacuations.merge(v)
		return
	}
	roster := e.groups.rosterOf(t)
	if roster == nil {
		e.values.apply(t, v)
		return
	}
	if err := roster.Update(v.Version, v.Data); err != nil {
		e.log.Error().Err(err).Str("event", "roster.rejected").Str("topic", string(t)).Send()
	}
}
