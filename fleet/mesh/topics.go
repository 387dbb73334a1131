package mesh

import (
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
	readers := m.cfg.Readers
	if len(l.cellNames) > 1 {
		readers = 1
	}
	for _, h := range selectReaders(hosts, readers) {
		if h == self.Host {
			return true
		}
	}
	return false
}
