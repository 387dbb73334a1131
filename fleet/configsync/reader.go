package configsync

import (
	"context"
	"errors"
	"fmt"

	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// runReader watches the platform while the host is the reader of its zone, until
// ctx ends. Concurrent readers of a zone, as in a partition, are harmless.
func (s *Syncer) runReader(ctx context.Context) {
	if !s.awaitJoin(ctx) {
		return
	}
	failures := 0
	for ctx.Err() == nil {
		if !s.isReader() {
			failures = 0
			s.wait(ctx, s.cfg.DutyInterval)
			continue
		}
		s.recordReader("started")
		err := s.watch(ctx)
		s.recordReader("stopped")
		if err == nil {
			failures = 0
			continue
		}
		s.wait(ctx, s.cfg.backoff(failures))
		failures++
	}
}

// awaitJoin waits until the host is ready or JoinGrace has passed. Before that the
// host has no peers in its table and would become a needless reader.
func (s *Syncer) awaitJoin(ctx context.Context) bool {
	grace, cancel := context.WithTimeout(ctx, s.cfg.JoinGrace)
	defer cancel()
	for !s.Ready() && s.wait(grace, s.cfg.DutyInterval) {
	}
	return ctx.Err() == nil
}

func (s *Syncer) isReader() bool { return s.opt.Peers.Owns("reader/" + string(s.opt.Zone)) }

func (s *Syncer) recordReader(what string) {
	s.opt.Recorder.Record(timeline.Event{
		Kind:   EventReader,
		Duty:   "reader/" + string(s.opt.Zone),
		Detail: "watch of the platform " + what,
	})
}

// watch lists all objects and polls for changes while the host is the reader, for at
// most ListInterval. It returns the error of a failed platform call.
func (s *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ListInterval)
	defer cancel()
	revision, err := s.listAll(ctx)
	if err != nil {
		return err
	}
	for s.isReader() && ctx.Err() == nil {
		objects, next, err := s.poll(ctx, revision)
		if err != nil {
			return err
		}
		for _, o := range objects {
			s.applyObject(o)
		}
		if next < revision {
			return nil // The platform returned an older revision; list again.
		}
		revision = next
	}
	return nil
}

// poll waits for objects changed after a revision. It returns no objects if the
// platform does not answer within WatchTimeout.
func (s *Syncer) poll(ctx context.Context, revision uint64) ([]objectapi.Object, uint64, error) {
	poll, cancel := context.WithTimeout(ctx, s.cfg.WatchTimeout)
	defer cancel()
	objects, next, err := s.opt.Store.Watch(poll, config.ObjectKind, revision)
	if err != nil && errors.Is(poll.Err(), context.DeadlineExceeded) {
		return nil, revision, nil
	}
	return objects, next, err
}

// listOnce lists and applies all objects and reports whether the list succeeded.
func (s *Syncer) listOnce(ctx context.Context) bool {
	_, err := s.listAll(ctx)
	return err == nil
}

func (s *Syncer) listAll(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallPlatformTimeout)
	defer cancel()
	objects, revision, err := s.opt.Store.List(ctx, config.ObjectKind)
	if err != nil {
		return 0, fmt.Errorf("list configurations: %w", err)
	}
	byName := make(map[string]objectapi.Object, len(objects))
	for _, o := range objects {
		byName[o.Name] = o
	}
	for _, kind := range config.Kinds() {
		o, ok := byName[string(kind)]
		if !ok {
			o = objectapi.Object{Kind: config.ObjectKind, Name: string(kind)}
		}
		s.applyObject(o)
	}
	s.setReady("the platform")
	return revision, nil
}

// applyObject applies an object of the platform and pushes it to the zone if it is
// new. A version lower than the one in force is recorded as an event and ignored.
func (s *Syncer) applyObject(o objectapi.Object) {
	kind := config.Kind(o.Name)
	own := s.opt.Applier.Versions()[kind]
	if o.Deleted {
		o.Version = 0 // Configurations are only replaced; a deletion counts as a lower version.
	}
	if o.Version < own {
		s.recordPlatformBehind(kind, o.Version, own)
		return
	}
	if !s.apply(kind, o.Version, o.Value, "the platform") {
		return
	}
	s.pushToZone(kind)
}

// recordPlatformBehind records an event once per lower version of the platform.
func (s *Syncer) recordPlatformBehind(kind config.Kind, shown, own uint64) {
	s.mu.Lock()
	known, ok := s.platformBehind[kind]
	s.platformBehind[kind] = shown
	s.mu.Unlock()
	if ok && known == shown {
		return
	}
	s.opt.Recorder.Record(timeline.Event{
		Kind:   EventPlatformBehind,
		Detail: fmt.Sprintf("platform shows %s version %d, version %d stays in force", kind, shown, own),
	})
}
