// Package memstore is a non-persistent, in-memory objectapi.Store for tests and for
// the platform stand-in.
package memstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// historyLen is the number of earlier versions kept for each object.
const historyLen = 4

// defaultPollWait bounds a watch when Config leaves it at zero.
const defaultPollWait = 5 * time.Second

// Config configures a Store.
type Config struct {
	// PollWait is the time after which a watch without changes returns. Default: 5 s.
	PollWait time.Duration
}

type key struct{ kind, name string }

// Store holds objects in memory. It is safe for concurrent use.
type Store struct {
	pollWait time.Duration

	mu sync.Mutex // leaf lock: nothing else is locked under it
	// era is added to all versions and revisions that callers see, not to the stored ones.
	era      uint64
	versions map[key][]objectapi.Object
	revision uint64
	changed  chan struct{}
	hosts    []objectapi.Host
}

var _ objectapi.Store = (*Store)(nil)

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.PollWait == 0 {
		cfg.PollWait = defaultPollWait
	}
	return &Store{
		pollWait: cfg.PollWait,
		versions: make(map[key][]objectapi.Object),
		changed:  make(chan struct{}),
	}
}

// Get returns the current version of an object.
func (s *Store) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	return s.GetEarlier(ctx, kind, name, 0)
}

// GetEarlier returns the version of an object before its last writesAgo writes, or
// the oldest version kept.
func (s *Store) GetEarlier(ctx context.Context, kind, name string, writesAgo int) (objectapi.Object, error) {
	if err := ctx.Err(); err != nil {
		return objectapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := earlierVersion(s.versions[key{kind, name}], writesAgo)
	if !exists(o) {
		return objectapi.Object{}, &objectapi.NotFoundError{Kind: kind, Name: name}
	}
	return s.compose(o), nil
}

// List returns the current objects of a kind, ordered by name.
func (s *Store) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	return s.ListEarlier(ctx, kind, 0)
}

// ListEarlier is List with each object as it was before its last writesAgo writes.
func (s *Store) ListEarlier(ctx context.Context, kind string, writesAgo int) ([]objectapi.Object, uint64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := s.selectLocked(kind, func(o objectapi.Object) bool { return !o.Deleted }, writesAgo)
	return objects, objectapi.ComposeVersion(s.era, s.revision), nil
}

// Put writes o if the stored version equals o.Version.
func (s *Store) Put(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	if err := ctx.Err(); err != nil {
		return objectapi.Object{}, err
	}
	o.Value = slices.Clone(o.Value)
	o.Deleted = false
	return s.write(o)
}

// Delete removes an object if its stored version equals version.
func (s *Store) Delete(ctx context.Context, kind, name string, version uint64) error {
	return s.DeleteWithWriteID(ctx, kind, name, version, "")
}

// DeleteWithWriteID is Delete with a write ID.
func (s *Store) DeleteWithWriteID(ctx context.Context, kind, name string, version uint64, writeID string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if _, err := s.Get(ctx, kind, name); err != nil {
		return err
	}
	o := objectapi.Object{Kind: kind, Name: name, Version: version, WriteID: writeID, Deleted: true}
	_, err := s.write(o)
	return err
}

// Watch returns the objects of a kind written or deleted after a revision. It
// blocks until there is a change, PollWait has passed or ctx ends.
func (s *Store) Watch(ctx context.Context, kind string, after uint64) ([]objectapi.Object, uint64, error) {
	end := time.NewTimer(s.pollWait)
	defer end.Stop()
	for {
		objects, revision, changed := s.since(kind, objectapi.WithoutEra(after))
		if objectapi.EraOf(after) != objectapi.EraOf(revision) {
			return nil, 0, &objectapi.HistoryGoneError{}
		}
		if len(objects) > 0 {
			return objects, revision, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Hosts returns the host list that SetHosts set last.
func (s *Store) Hosts(ctx context.Context) ([]objectapi.Host, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.hosts), nil
}

// SetHosts replaces the host list.
func (s *Store) SetHosts(hosts []objectapi.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
}

func (s *Store) write(o objectapi.Object) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{o.Kind, o.Name}
	current := earlierVersion(s.versions[k], 0)
	conflict := s.compose(current)
	if seen := visibleVersion(conflict); seen != o.Version {
		conflict.Kind, conflict.Name = o.Kind, o.Name
		conflict.Version = seen
		return objectapi.Object{}, &objectapi.ConflictError{ExpectedVersion: o.Version, Current: conflict}
	}
	s.revision++
	o.Version = current.Version + 1
	o.Revision = s.revision
	kept := append(s.versions[k], o)
	s.versions[k] = slices.Clone(kept[max(0, len(kept)-historyLen-1):])
	close(s.changed)
	s.changed = make(chan struct{})
	return s.compose(o), nil
}

func (s *Store) since(kind string, after uint64) ([]objectapi.Object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := s.selectLocked(kind, func(o objectapi.Object) bool { return o.Revision > after }, 0)
	return objects, objectapi.ComposeVersion(s.era, s.revision), s.changed
}

func (s *Store) selectLocked(kind string, keep func(objectapi.Object) bool, writesAgo int) []objectapi.Object {
	var objects []objectapi.Object
	for k, versions := range s.versions {
		if k.kind != kind {
			continue
		}
		if o := earlierVersion(versions, writesAgo); keep(o) {
			objects = append(objects, s.compose(o))
		}
	}
	slices.SortFunc(objects, func(a, b objectapi.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

// compose adds the era to the versions of a stored object. The caller holds mu.
func (s *Store) compose(o objectapi.Object) objectapi.Object {
	for _, v := range []*uint64{&o.Version, &o.Revision, &o.Created} {
		if *v != 0 {
			*v = objectapi.ComposeVersion(s.era, *v)
		}
	}
	return o
}

func earlierVersion(versions []objectapi.Object, writesAgo int) objectapi.Object {
	if len(versions) == 0 {
		return objectapi.Object{}
	}
	return versions[max(0, len(versions)-1-writesAgo)]
}

func exists(o objectapi.Object) bool { return o.Version > 0 && !o.Deleted }

func visibleVersion(o objectapi.Object) uint64 {
	if !exists(o) {
		return 0
	}
	return o.Version
}
