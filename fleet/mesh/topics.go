package mesh

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
)

var errUnknownMessage = errors.New("message of a member is neither a greeting nor a question")

// topicMembers is the list of registrations, whose version is its revision in the
// platform.
const topicMembers Topic = "members"

// versions returns the versions that the entry holds.
func (m *Mesh) versions() map[Topic]uint64 {
	v := m.opt.Versions()
	m.mu.Lock()
	defer m.mu.Unlock()
	v[topicMembers] = m.revision
	return v
}

// value returns what a member that has a version lacks.
func (m *Mesh) value(t Topic, have uint64) Value {
	if t != topicMembers {
		return m.opt.ValueSince(t, have)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := cbor.Marshal(m.listed)
	if err != nil {
		m.opt.Log.Error().Err(err).Str("event", "members.not_encoded").Send()
		return Value{}
	}
	return Value{Version: m.revision, Data: data}
}

// take takes in a value of another member.
func (m *Mesh) take(t Topic, v Value) {
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
	if v.Version > m.current {
		m.replace(listed, v.Version)
	}
	m.revision = max(m.revision, v.Version) // Nothing that is held is older than the other one's.
}

// IsReader reports whether the entry is to watch the platform: it is among the first
// of its cell and zone, or nobody in touch does.
func (m *Mesh) IsReader() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.opt.Self
	hosts := []id.Host{self.Host}
	others := false
	l := m.divided()
	for host, p := range m.peers {
		if now.Sub(p.seen) >= m.aliveFor() {
			continue
		}
		others = others || p.reads
		if p.member.Zone == self.Zone && l.together(self.Host, host) {
			hosts = append(hosts, host)
		}
	}
	if !others {
		return true
	}
	for _, h := range readers(hosts, m.cfg.Readers) {
		if h == self.Host {
			return true
		}
	}
	return false
}

// checkBehind fetches the topics of which a live member has had a greater
// version for longer than the own watch should take.
func (m *Mesh) checkBehind(ctx context.Context, now time.Time) {
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
		if now.Sub(p.seen) >= m.aliveFor() {
			continue
		}
		for topic, v := range p.versions {
			if held, ok := own[topic]; ok && v > held && v > best[topic] {
				ahead[topic], best[topic] = p.member.Address, v
			}
		}
	}
	for topic := range m.behind {
		if ahead[topic] == "" {
			delete(m.behind, topic)
		}
	}
	for topic, address := range ahead {
		since, ok := m.behind[topic]
		if !ok {
			m.behind[topic] = now
			since = now
		}
		// An entry that holds nothing does not wait.
		watched := topic == topicMembers || m.opt.Watched[topic]
		if (watched && now.Sub(since) < grace && own[topic] != 0) || m.fetching[topic] {
			continue
		}
		m.fetching[topic] = true
		go m.fetch(ctx, topic, own[topic], address)
	}
}

// fetch asks a member for what is lacking to a value, and takes it in.
func (m *Mesh) fetch(ctx context.Context, topic Topic, have uint64, address string) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.fetching, topic)
	}()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	v, err := m.want(ctx, want{Topic: topic, Have: have}, address)
	log := m.opt.Log.Info().Err(err).Str("event", "value.fetched").Str("topic", string(topic)).Str("from", address)
	log.Uint64("version", v.Version).Int("bytes", len(v.Data)).Msg("a member had a greater version")
	if err == nil && v.Version > 0 {
		m.take(topic, v)
	}
}

func (m *Mesh) want(ctx context.Context, w want, address string) (Value, error) {
	payload, err := cbor.Marshal(message{Want: &w})
	if err != nil {
		return Value{}, err
	}
	reply, err := m.opt.Caller.Call(ctx, address, payload)
	if err != nil {
		return Value{}, err
	}
	var a answer
	if err := cbor.Unmarshal(reply, &a); err != nil {
		return Value{}, err
	}
	return Value{Version: a.Version, Data: a.Data}, nil
}
