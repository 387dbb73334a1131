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
	// retryInterval is the time between checks of the registration and between retries.
	retryInterval = 250 * time.Millisecond
	// unregisterTimeout is the timeout for deleting the registration at shutdown.
	unregisterTimeout = 500 * time.Millisecond
	// relistDelay is the time before a list after the history is gone, so that a store whose
	// history is always gone is not called without a pause.
	relistDelay = 25 * time.Millisecond
)

// maintainRegistration keeps the own registration in the platform. A reader also
// watches all registrations; other entries fetch them from members.
func (m *Mesh) maintainRegistration(ctx context.Context) {
	var listed time.Time
	for ctx.Err() == nil {
		err := m.ensureRegistered(ctx)
		// Non-readers list at ListInterval too, in case no reader replicated a change.
		if err == nil && (m.IsReader() || time.Since(listed) > m.cfg.ListInterval) {
			listed = time.Now()
			err = m.watchRegistrations(ctx)
		} else if err == nil {
			m.removeSilent(ctx)
			sleep(ctx, retryInterval)
		}
		if err != nil && ctx.Err() == nil {
			m.setWatching(false)
			m.opt.Log.Warn().Err(err).Str("event", "members.unclear").Msg("cannot write, list or watch registrations; keeping the last known members")
			sleep(ctx, retryInterval)
		}
	}
}

func (m *Mesh) setWatching(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watching = on
}

// watchRegistrations lists registrations and, while a reader, watches for ListInterval.
func (m *Mesh) watchRegistrations(ctx context.Context) error {
	objects, revision, err := m.opt.Store.List(ctx, Kind)
	if err != nil {
		return err
	}
	m.applyList(objects, revision)
	m.setWatching(true)
	defer m.setWatching(false)
	for until := time.Now().Add(m.cfg.ListInterval); time.Now().Before(until) && m.IsReader(); {
		changed, at, err := m.opt.Store.Watch(ctx, Kind, revision)
		var gone *objectapi.HistoryGoneError
		if errors.As(err, &gone) {
			sleep(ctx, relistDelay)
			return nil // The caller lists again.
		}
		if err != nil {
			return err
		}
		for _, o := range changed {
			m.applyChange(o)
		}
		m.advanceRevision(at, len(changed) > 0)
		revision = at
		if err := m.ensureRegistered(ctx); err != nil {
			return err
		}
		m.removeSilent(ctx)
		if len(changed) > 0 {
			sleep(ctx, retryInterval) // Batches registrations that arrive close together.
		}
	}
	return nil
}

// storeEra returns the greatest era of the store that this entry or an alive member has seen.
// An entry that makes no calls of the store learns of a rise from the members' versions.
func (m *Mesh) storeEra() uint64 {
	era := objectapi.CurrentEra(m.opt.Store)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	era = max(era, objectapi.EraOf(m.knownRevision))
	for _, p := range m.peers {
		if now.Sub(p.lastSeen) < m.aliveTimeout() {
			era = max(era, objectapi.EraOf(p.versions[topicMembers]))
		}
	}
	return era
}

// ensureRegistered writes the own registration if it is missing, replaced or was last written
// in a former era of the store.
func (m *Mesh) ensureRegistered(ctx context.Context) error {
	era := m.storeEra()
	m.mu.Lock()
	if m.writtenEra < era {
		m.isRegistered = false
	}
	if objectapi.EraOf(m.registeredRevision) < era {
		m.registeredRevision = 0
	}
	inPlace, version := m.isRegistered, m.registeredRevision
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
		// A previous incarnation of this host is still registered.
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
	m.isRegistered, m.registeredRevision = true, written.Version
	m.writtenEra = objectapi.EraOf(written.Version)
	return nil
}

// applyList applies a list of all registrations at a platform revision.
func (m *Mesh) applyList(objects []objectapi.Object, revision uint64) {
	listed := make(map[id.Host]registration, len(objects))
	for _, o := range objects {
		if r, ok := m.decodeRegistration(o); ok {
			listed[r.Member.Host] = r
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision >= m.knownRevision {
		m.replaceRegistrations(listed, revision)
	}
}

// advanceRevision records the revision up to which changes are applied.
func (m *Mesh) advanceRevision(revision uint64, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knownRevision = max(m.knownRevision, revision)
	if changed {
		m.changeRevision = m.knownRevision
		m.NotifyChange()
	}
}

// decodeRegistration decodes the registration in a platform object.
func (m *Mesh) decodeRegistration(o objectapi.Object) (registration, bool) {
	member, err := decodeMember(o.Value)
	if o.Unreadable != nil {
		err = o.Unreadable
	}
	if err == nil && member.Host != id.Host(o.Name) {
		err = errors.Newf("value has host %q", member.Host)
	}
	if err != nil {
		m.opt.Log.Error().Err(err).Str("event", "member.rejected").Str("object", Kind+"/"+o.Name).Msg("invalid registration ignored")
		return registration{}, false
	}
	return registration{Member: member, Revision: o.Version}, true
}

// replaceRegistrations replaces all registrations by those at a revision. The caller
// holds mu.
func (m *Mesh) replaceRegistrations(listed map[id.Host]registration, revision uint64) {
	// In a new era the version changes with the same registrations too: a version of a former era
	// may stand for other ones at another entry.
	if !maps.Equal(listed, m.registrations) || objectapi.EraOf(revision) > objectapi.EraOf(m.changeRevision) {
		m.changeRevision = revision
	}
	m.registrations, m.knownRevision = listed, revision
	self := m.opt.Self.Host
	for host, r := range listed {
		if host != self {
			m.addRegistered(r)
		}
	}
	for host, p := range m.peers {
		if _, ok := listed[host]; !ok {
			m.dropUnregistered(host, p)
		}
	}
	if r := listed[self]; max(r.Revision, revision) >= m.registeredRevision {
		m.updateOwnRegistration(r)
	}
}

// addRegistered records the registration of another member. The caller holds mu.
func (m *Mesh) addRegistered(r registration) {
	known := m.peers[r.Member.Host] != nil
	p := m.updatePeer(r.Member, r.Revision, time.Now())
	if !known {
		m.opt.Log.Info().Str("event", "member.known").Str("member", string(r.Member.Host)).Str("address", p.member.Address).
			Uint64("revision", r.Revision).Msg("new member registered")
	}
}

// applyChange applies a change or deletion of one registration.
func (m *Mesh) applyChange(o objectapi.Object) {
	host := id.Host(o.Name)
	r, ok := registration{Revision: o.Version}, true
	if !o.Deleted {
		r, ok = m.decodeRegistration(o)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok {
		return
	}
	if o.Deleted {
		delete(m.registrations, host)
	} else {
		m.registrations[host] = r
	}
	switch p := m.peers[host]; {
	case host == m.opt.Self.Host && r.Revision >= m.registeredRevision:
		m.updateOwnRegistration(r)
	case host == m.opt.Self.Host:
	case !o.Deleted:
		m.addRegistered(r)
	case p != nil:
		m.dropUnregistered(host, p)
	}
}

// updateOwnRegistration records whether the own registration is still in place. A
// deleted one has no incarnation. One of a later era than that of the last write is that of the
// copy to which the store returned. The caller holds mu.
func (m *Mesh) updateOwnRegistration(r registration) {
	m.isRegistered = r.Member.Incarnation == m.opt.Self.Incarnation && objectapi.EraOf(r.Revision) <= m.writtenEra
	m.registeredRevision = 0
	if r.Member.Incarnation != "" {
		m.registeredRevision = r.Revision
	}
}

// dropUnregistered removes a member whose registration was deleted, unless it is
// alive. The caller holds mu.
func (m *Mesh) dropUnregistered(host id.Host, p *peer) {
	p.revision = 0
	if time.Since(p.lastSeen) > m.aliveTimeout() {
		delete(m.peers, host)
		m.layoutStale = true
	}
}

// removeSilent deletes the registrations of members silent for ForgetAfter.
func (m *Mesh) removeSilent(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	var silent []*peer
	for _, p := range m.peers {
		// A member that is not called any more, as it is no contact, may have failed long ago.
		stillCalled := now.Sub(p.lastFailure) < m.cfg.ForgetAfter/2
		if p.revision != 0 && stillCalled && now.Sub(p.failingSince) > m.cfg.ForgetAfter && now.Sub(p.lastSeen) > m.cfg.ForgetAfter {
			silent = append(silent, p)
		}
	}
	m.mu.Unlock()
	for _, p := range silent {
		err := m.opt.Store.Delete(ctx, Kind, string(p.member.Host), p.revision)
		m.opt.Log.Info().Err(err).Str("event", "member.forgotten").Str("member", string(p.member.Host)).
			Dur("silence", now.Sub(p.lastSeen)).Msg("deletion of the registration of a silent member")
	}
}

func (m *Mesh) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	m.mu.Lock()
	version, inPlace := m.registeredRevision, m.isRegistered
	m.mu.Unlock()
	if !inPlace {
		return
	}
	if err := m.opt.Store.Delete(ctx, Kind, string(m.opt.Self.Host), version); err != nil {
		m.opt.Log.Warn().Err(err).Str("event", "member.not_unregistered").Send()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
