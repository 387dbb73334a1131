package mesh

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
)

var errUnknownMessage = errors.New("message has neither a hello nor a fetch request")

// topicMembers is the map of registrations, with the platform revision of its last
// change as version.
const topicMembers Topic = "members"

// versions returns the version of each topic.
func (m *Mesh) versions() map[Topic]uint64 {
	v := m.opt.Versions()
	m.mu.Lock()
	defer m.mu.Unlock()
	v[topicMembers] = m.changeRevision
	return v
}

// valueSince returns the value for a member that has version have.
func (m *Mesh) valueSince(t Topic, have uint64) Value {
	if t != topicMembers {
		return m.opt.ValueSince(t, have)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := cbor.Marshal(m.registrations)
	if err != nil {
		m.opt.Log.Error().Err(err).Str("event", "members.not_encoded").Send()
		return Value{}
	}
	return Value{Version: m.changeRevision, Data: data}
}

// applyValue applies a value fetched from another member.
func (m *Mesh) applyValue(t Topic, v Value) {
	if t != topicMembers {
		m.opt.ApplyValue(t, v)
		return
	}
	var listed map[id.Host]registration
	if err := cbor.Unmarshal(v.Data, &listed); err != nil {
		m.opt.Log.Error().Err(err).Str("event", "members.rejected").Str("source", "another entry").Send()
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Version > m.knownRevision {
		m.replaceRegistrations(listed, v.Version)
	}
	m.changeRevision = max(m.changeRevision, v.Version) // The own registrations are at least as new as v.
}

// IsReader reports whether the entry must watch the platform: it ranks among the
// readers of its cell and zone, or no alive member has healthy watches.
func (m *Mesh) IsReader() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.opt.Self
	hosts := []id.Host{self.Host}
	others := false
	l := m.currentLayout()
	for host, p := range m.peers {
		if now.Sub(p.lastSeen) >= m.aliveTimeout() {
			continue
		}
		others = others || p.watchesHealthy
		if p.member.Zone == self.Zone && l.sameCell(self.Host, host) {
			hosts = append(hosts, host)
		}
	}
	if !others {
		return true
	}
	for _, h := range selectReaders(hosts, m.cfg.Readers) {
		if h == self.Host {
			return true
		}
	}
	return false
}

// fetchNewer fetches topics of which an alive member has a greater version. A reader
// first gives its own watch FetchDelay to return it.
func (m *Mesh) fetchNewer(ctx context.Context, now time.Time) {
	own := m.versions()
	grace := m.cfg.FetchDelay
	if !m.IsReader() {
		grace = 0
	}
	ahead := make(map[Topic]string)
	m.mu.Lock()
	defer m.mu.Unlock()
	best := make(map[Topic]uint64)
	for _, p := range m.peers {
		if now.Sub(p.lastSeen) >= m.aliveTimeout() {
			continue
		}
		for topic, v := range p.versions {
			if held, ok := own[topic]; ok && v > held && v > best[topic] {
				ahead[topic], best[topic] = p.member.Address, v
			}
		}
	}
	for topic := range m.behindSince {
		if ahead[topic] == "" {
			delete(m.behindSince, topic)
		}
	}
	for topic, address := range ahead {
		since, ok := m.behindSince[topic]
		if !ok {
			m.behindSince[topic] = now
			since = now
		}
		// An entry without any version fetches at once.
		watched := topic == topicMembers || m.opt.Watched[topic]
		if (watched && now.Sub(since) < grace && own[topic] != 0) || m.fetching[topic] {
			continue
		}
		m.fetching[topic] = true
		go m.fetchValue(ctx, topic, own[topic], address)
	}
}

// fetchValue fetches a topic's newer value from a member and applies it.
func (m *Mesh) fetchValue(ctx context.Context, topic Topic, have uint64, address string) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.fetching, topic)
	}()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	v, err := m.requestValue(ctx, fetchRequest{Topic: topic, Have: have}, address)
	log := m.opt.Log.Info().Err(err).Str("event", "value.fetched").Str("topic", string(topic)).Str("from", address)
	log.Uint64("version", v.Version).Int("bytes", len(v.Data)).Msg("fetch of a newer version from another member")
	if err == nil && v.Version > 0 {
		m.applyValue(topic, v)
	}
}

func (m *Mesh) requestValue(ctx context.Context, w fetchRequest, address string) (Value, error) {
	payload, err := cbor.Marshal(message{Fetch: &w})
	if err != nil {
		return Value{}, err
	}
	reply, err := m.opt.Caller.Call(ctx, address, payload)
	if err != nil {
		return Value{}, err
	}
	var a response
	if err := cbor.Unmarshal(reply, &a); err != nil {
		return Value{}, err
	}
	return Value{Version: a.Version, Data: a.Data}, nil
}
