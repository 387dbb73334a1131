package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

const (
	// retryInterval is the time between tries to reach the platform.
	retryInterval = 250 * time.Millisecond
	// unregisterTimeout bounds the removal of the registration when the entry stops.
	unregisterTimeout = 500 * time.Millisecond
)

// register keeps the own registration in place and follows those of others, in the
// platform or by what readers tell.
func (m *Mesh) register(ctx context.Context) {
	var listed time.Time
	for ctx.Err() == nil {
		err := m.put(ctx)
		// A list of one's own, now and then, mends what no reader told.
		if err == nil && (m.IsReader() || time.Since(listed) > m.cfg.ListInterval) {
			listed = time.Now()
			err = m.follow(ctx)
		} else if err == nil {
			m.forget(ctx)
			wait(ctx, retryInterval)
		}
		if err != nil && ctx.Err() == nil {
			m.setWatching(false)
			m.opt.Log.Warn().Err(err).Str("event", "members.unclear").Msg("registrations cannot be read; the last known members stay")
			wait(ctx, retryInterval)
		}
	}
}

func (m *Mesh) setWatching(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watching = on
}

// follow lists the registrations and, as a reader, watches them for ListInterval.
func (m *Mesh) follow(ctx context.Context) error {
	objects, revision, err := m.opt.Store.List(ctx, Kind)
	if err != nil {
		return err
	}
	m.list(objects, revision)
	m.setWatching(true)
	defer m.setWatching(false)
	for until := time.Now().Add(m.cfg.ListInterval); time.Now().Before(until) && m.IsReader(); {
		changed, at, err := m.opt.Store.Watch(ctx, Kind, revision)
		if err != nil {
			return err
		}
		for _, o := range changed {
			m.change(o)
		}
		m.reach(at, len(changed) > 0)
		revision = at
		if err := m.put(ctx); err != nil {
			return err
		}
		m.forget(ctx)
		if len(changed) > 0 {
			wait(ctx, retryInterval) // Registrations that come together are told together.
		}
	}
	return nil
}

// put writes the own registration if it is not in place.
func (m *Mesh) put(ctx context.Context) error {
	m.mu.Lock()
	inPlace, version := m.inPlatform, m.registered
	m.mu.Unlock()
	if inPlace {
		return nil
	}
	value, err := json.Marshal(m.opt.Self)
	if err != nil {
		return errors.Wrap(err, "registration")
	}
	o := objectapi.Object{Kind: Kind, Name: string(m.opt.Self.Host), Value: value, Version: version}
	written, err := m.opt.Store.Put(ctx, o)
	var conflict *objectapi.ConflictError
	var notFound *objectapi.NotFoundError
	switch {
	case errors.As(err, &conflict):
		// An earlier start of this host left its registration.
		o.Version = conflict.Current.Version
		written, err = m.opt.Store.Put(ctx, o)
	case errors.As(err, &notFound):
		o.Version = 0
		written, err = m.opt.Store.Put(ctx, o)
	}
	if err != nil {
		return errors.Wrap(err, "register")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inPlatform, m.registered = true, written.Version
	return nil
}

// list takes in a list of all registrations at a revision of the platform.
func (m *Mesh) list(objects []objectapi.Object, revision uint64) {
	listed := make(map[id.Host]registration, len(objects))
	for _, o := range objects {
		if r, ok := m.decode(o); ok {
			listed[r.Member.Host] = r
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision >= m.current {
		m.replace(listed, revision)
	}
}

// reach notes up to which revision the registrations are known.
func (m *Mesh) reach(revision uint64, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = max(m.current, revision)
	if changed {
		m.revision = m.current
		m.NotifyChange()
	}
}

// decode returns the registration in an object of the platform.
func (m *Mesh) decode(o objectapi.Object) (registration, bool) {
	member, err := decodeMember(o.Value)
	if err == nil && member.Host != id.Host(o.Name) {
		err = errors.Newf("it names the host %q", member.Host)
	}
	if err != nil {
		m.opt.Log.Error().Err(err).Str("event", "member.rejected").Str("object", Kind+"/"+o.Name).Msg("registration cannot be read")
		return registration{}, false
	}
	return registration{Member: member, Revision: o.Version}, true
}

// replace takes in all registrations at a revision. The caller holds mu.
func (m *Mesh) replace(listed map[id.Host]registration, revision uint64) {
	if !maps.Equal(listed, m.listed) {
		m.revision = revision
	}
	m.listed, m.current = listed, revision
	self := m.opt.Self.Host
	for host, r := range listed {
		if host != self {
			m.meetRegistered(r)
		}
	}
	for host, p := range m.peers {
		if _, ok := listed[host]; !ok {
			m.removed(host, p)
		}
	}
	if r := listed[self]; max(r.Revision, revision) >= m.registered {
		m.changeOwn(r)
	}
}

// meetRegistered takes in the registration of another member. The caller holds mu.
func (m *Mesh) meetRegistered(r registration) {
	known := m.peers[r.Member.Host] != nil
	p := m.note(r.Member, r.Revision, time.Now())
	if !known {
		m.opt.Log.Info().Str("event", "member.known").Str("member", string(r.Member.Host)).Str("address", p.member.Address).
			Uint64("revision", r.Revision).Msg("an entry is registered")
	}
}

// change takes in one registration or its removal.
func (m *Mesh) change(o objectapi.Object) {
	host := id.Host(o.Name)
	r, ok := registration{Revision: o.Version}, true
	if !o.Deleted {
		r, ok = m.decode(o)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok {
		return
	}
	if o.Deleted {
		delete(m.listed, host)
	} else {
		m.listed[host] = r
	}
	switch p := m.peers[host]; {
	case host == m.opt.Self.Host && r.Revision >= m.registered:
		m.changeOwn(r)
	case host == m.opt.Self.Host:
	case !o.Deleted:
		m.meetRegistered(r)
	case p != nil:
		m.removed(host, p)
	}
}

// changeOwn notices that the own registration was removed or replaced. It holds no
// incarnation if it was removed. The caller holds mu.
func (m *Mesh) changeOwn(r registration) {
	m.inPlatform = r.Member.Incarnation == m.opt.Self.Incarnation
	m.registered = 0
	if r.Member.Incarnation != "" {
		m.registered = r.Revision
	}
}

// removed forgets a member whose registration is gone, unless it is in touch. The
// caller holds mu.
func (m *Mesh) removed(host id.Host, p *peer) {
	p.revision = 0
	if time.Since(p.seen) > m.aliveFor() {
		delete(m.peers, host)
		m.stale = true
	}
}

// forget removes the registrations of members that were silent for long.
func (m *Mesh) forget(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	var silent []*peer
	for _, p := range m.peers {
		if p.revision != 0 && !p.silent.IsZero() && now.Sub(p.silent) > m.cfg.ForgetAfter && now.Sub(p.seen) > m.cfg.ForgetAfter {
			silent = append(silent, p)
		}
	}
	m.mu.Unlock()
	for _, p := range silent {
		err := m.opt.Store.Delete(ctx, Kind, string(p.member.Host), p.revision)
		m.opt.Log.Info().Err(err).Str("event", "member.forgotten").Str("member", string(p.member.Host)).
			Dur("silence", now.Sub(p.seen)).Msg("registration of a silent entry removed")
	}
}

func (m *Mesh) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	m.mu.Lock()
	version, inPlace := m.registered, m.inPlatform
	m.mu.Unlock()
	if !inPlace {
		return
	}
	if err := m.opt.Store.Delete(ctx, Kind, string(m.opt.Self.Host), version); err != nil {
		m.opt.Log.Warn().Err(err).Str("event", "member.not_unregistered").Send()
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
