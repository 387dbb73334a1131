package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// follower keeps up with one kind of the platform's objects while the entry is a
// reader of the platform. Others learn of changes from the readers.
type follower struct {
	edge *Edge
	kind string
	// list takes in all objects at a revision.
	list func([]objectapi.Object, uint64)
	// change takes in what changed up to a revision.
	change func([]objectapi.Object, uint64)
	// watching is true while the watch is in order.
	watching atomic.Bool
	lost     bool
}

const (
	// relistPause is the time between tries to list a kind, a tenth of the bound
	// for configurations.
	relistPause = 100 * time.Millisecond
	// readerPause is the time between looks whether the entry is to read.
	readerPause = 100 * time.Millisecond
	// ownList is the time after which an entry that is no reader lists a kind itself.
	ownList = 30 * time.Second
	// Changes that come in a burst are gathered: after watchBurst watches in a row
	// there are watchRate a second. The pause between two of them is a sixteenth of
	// the shortest bound for configurations.
	watchBurst = 4
	watchRate  = 8
)

// run works until ctx ends.
func (f *follower) run(ctx context.Context) {
	var listed time.Time
	for ctx.Err() == nil {
		if !listed.IsZero() && time.Since(listed) < ownList && !f.edge.mesh.IsReader() {
			pause(ctx, readerPause)
			continue
		}
		objects, revision, err := f.edge.store.List(ctx, f.kind)
		f.note(ctx, err)
		if err != nil {
			pause(ctx, relistPause)
			continue
		}
		listed = time.Now()
		f.list(objects, revision)
		f.watch(ctx, revision)
		f.watching.Store(false)
	}
}

// note tells when the platform was lost or reached.
func (f *follower) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.watching.Store(err == nil)
	if (err != nil) == f.lost {
		return
	}
	f.lost = err != nil
	event := "platform.reached"
	if f.lost {
		event = "platform.lost"
	}
	f.edge.log.Warn().Err(err).Str("event", event).Str("kind", f.kind).Send()
}

// watch follows changes until the history is gone or the entry is no reader any more.
func (f *follower) watch(ctx context.Context, revision uint64) {
	gather := rate.NewLimiter(watchRate, watchBurst)
	for gather.Wait(ctx) == nil && f.edge.mesh.IsReader() {
		changed, at, err := f.edge.store.Patient(f.edge.pollWait()).Watch(ctx, f.kind, revision)
		var gone *objectapi.HistoryGoneError
		if errors.As(err, &gone) {
			return
		}
		f.note(ctx, err)
		if err != nil {
			continue
		}
		f.change(changed, at)
		revision = at
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// newFollowers returns what keeps the entry up to date.
func (e *Edge) newFollowers() []*follower {
	return []*follower{
		{
			edge: e, kind: e.adapter.ConfigKind,
			list:   func(o []objectapi.Object, _ uint64) { e.values.takeConfig(o) },
			change: func(o []objectapi.Object, _ uint64) { e.values.takeConfig(o) },
		},
		{edge: e, kind: e.adapter.EndpointKind, list: e.values.listEndpoints, change: e.values.changeEndpoints},
	}
}

// reading reports whether the entry's own watches of the platform are in order.
func (e *Edge) reading() bool {
	for _, f := range e.followers {
		if !f.watching.Load() {
			return false
		}
	}
	return true
}
