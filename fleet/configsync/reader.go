package configsync

import (
	"context"
	"errors"
	"fmt"

	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// read watches the platform while the host is the reader of its zone, until
// ctx ends. Two readers of a zone at the same time do no harm.
func (s *Syncer) read(ctx context.Context) {
	if !s.join(ctx) {
		return
	}
	failures := 0
	for ctx.Err() == nil {
		if !s.reader() {
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

// join waits until the host is ready or JoinGrace is over. Before that, the
// host does not know its peers and would read without need.
func (s *Syncer) join(ctx context.Context) bool {
	grace, cancel := context.WithTimeout(ctx, s.cfg.JoinGrace)
	defer cancel()
	for !s.Ready() && s.wait(grace, s.cfg.DutyInterval) {
	}
	return ctx.Err() == nil
}

func (s *Syncer) reader() bool { return s.opt.Peers.Owns("reader/" + string(s.opt.Zone)) }

func (s *Syncer) recordReader(what string) {
	s.opt.Recorder.Record(timeline.Event{
		Kind:   EventReader,
		Duty:   "reader/" + string(s.opt.Zone),
		Detail: "watch of the platform " + what,
	})
}

// watch lists all objects and follows changes while the host is the reader, at
// most for ListInterval. It returns nil if it ended without a failure.
func (s *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ListInterval)
	defer cancel()
	revision, err := s.listAll(ctx)
	if err != nil {
		return err
	}
	for s.reader() && ctx.Err() == nil {
		objects, next, err := s.poll(ctx, revision)
		if err != nil {
			return err
		}
		for _, o := range objects {
			s.take(o)
		}
		if next < revision {
			return nil // The platform went back; list again.
		}
		revision = next
	}
	return nil
}

// poll waits for objects after a revision. A poll that the platform leaves
// without an answer ends without objects.
func (s *Syncer) poll(ctx context.Context, revision uint64) ([]objectapi.Object, uint64, error) {
	poll, cancel := context.WithTimeout(ctx, s.cfg.WatchTimeout)
	defer cancel()
	objects, next, err := s.opt.Store.Watch(poll, config.ObjectKind, revision)
	if err != nil && errors.Is(poll.Err(), context.DeadlineExceeded) {
		return nil, revision, nil
	}
	return objects, next, err
}

// list reads all objects once and reports whether it could.
func (s *Syncer) list(ctx context.Context) bool {
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
		s.take(o)
	}
	s.setReady("the platform")
	return revision, nil
}

// take applies an object of the platform and pushes it to the zone if it is
// new. A version lower than the one in force is recorded and not obeyed.
func (s *Syncer) take(o objectapi.Object) {
	kind := config.Kind(o.Name)
	own := s.opt.Applier.Versions()[kind]
	if o.Deleted {
		o.Version = 0 // A configuration is replaced, never taken away.
	}
	if o.Version < own {
		s.recordBehind(kind, o.Version, own)
		return
	}
	if !s.apply(kind, o.Version, o.Value, "the platform") {
		return
	}
	s.pushZone(kind)
}

// recordBehind records a lower version of the platform once.
func (s *Syncer) recordBehind(kind config.Kind, shown, own uint64) {
	s.mu.Lock()
	known, ok := s.behind[kind]
	s.behind[kind] = shown
	s.mu.Unlock()
	if ok && known == shown {
		return
	}
	s.opt.Recorder.Record(timeline.Event{
		Kind:   EventPlatformBehind,
		Detail: fmt.Sprintf("platform shows %s version %d, version %d stays in force", kind, shown, own),
	})
}
