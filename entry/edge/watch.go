package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// objectWatcher lists and watches one kind of platform objects while the entry is a
// reader. Other entries receive changes from the readers.
type objectWatcher struct {
	edge *Edge
	kind string
	// onList receives all objects at a revision.
	onList func([]objectapi.Object, uint64)
	// onChange receives the events up to a revision.
	onChange func([]objectapi.Object, uint64)
	// limit is the time within which a change must be in force, and listInterval the time after
	// which an entry that is no reader lists the kind.
	limit, listInterval time.Duration
	// healthy is true while the watch works.
	healthy atomic.Bool
	lost    bool
}

const (
	// relistDelay is the delay before another attempt to list a kind, a twentieth of
	// the default MaxConfigDelay.
	relistDelay = 100 * time.Millisecond
	// readerCheckInterval is the time between checks of whether the entry is a reader.
	readerCheckInterval = 100 * time.Millisecond
	// nonReaderListInterval is the time after which an entry that is no reader lists the
	// configuration or the endpoints.
	nonReaderListInterval = 30 * time.Second
	// watchBurst and watchRate (per second) limit the watch calls, so that a burst of changes
	// arrives in batches. The pause between calls is a sixteenth of the default
	// MaxConfigDelay.
	watchBurst = 4
	watchRate  = 8
)

// run lists and watches until ctx ends.
func (w *objectWatcher) run(ctx context.Context) {
	var listed time.Time
	for ctx.Err() == nil {
		if !listed.IsZero() && time.Since(listed) < w.listInterval && !w.edge.mesh.IsReader() {
			pause(ctx, readerCheckInterval)
			continue
		}
		objects, revision, err := w.edge.store.List(ctx, w.kind)
		w.reportStatus(ctx, err)
		if err != nil {
			pause(ctx, relistDelay)
			continue
		}
		listed = time.Now()
		w.onList(objects, revision)
		w.watch(ctx, revision)
		w.healthy.Store(false)
	}
}

// reportStatus records a call's result and logs when the platform is lost or reached.
func (w *objectWatcher) reportStatus(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.healthy.Store(err == nil)
	if (err != nil) == w.lost {
		return
	}
	w.lost = err != nil
	event := "platform.reached"
	if w.lost {
		event = "platform.lost"
	}
	w.edge.log.Warn().Err(err).Str("event", event).Str("kind", w.kind).Send()
}

// watch applies events until the history is gone, also because the store has returned from an
// older copy, or the entry is no longer a reader.
func (w *objectWatcher) watch(ctx context.Context, revision uint64) {
	limiter := rate.NewLimiter(watchRate, watchBurst)
	for limiter.Wait(ctx) == nil && w.edge.mesh.IsReader() {
		changed, at, err := w.edge.store.WithPollWait(w.edge.watchWait(w.limit)).Watch(ctx, w.kind, revision)
		var gone *objectapi.HistoryGoneError
		if errors.As(err, &gone) {
			return
		}
		w.reportStatus(ctx, err)
		if err != nil {
			continue
		}
		w.onChange(changed, at)
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

// newWatchers returns the watchers of the configuration, the endpoints and, if in use, the evacuations.
func (e *Edge) newWatchers() []*objectWatcher {
	out := []*objectWatcher{
		{
			edge: e, kind: e.adapter.ConfigKind, limit: e.cfg.MaxConfigDelay, listInterval: nonReaderListInterval,
			onList:   func(o []objectapi.Object, _ uint64) { e.values.applyConfigObjects(o) },
			onChange: func(o []objectapi.Object, _ uint64) { e.values.applyConfigObjects(o) },
		},
		{
			edge: e, kind: e.adapter.EndpointKind, limit: e.cfg.MaxConfigDelay, listInterval: nonReaderListInterval,
			onList: e.values.replaceEndpoints, onChange: e.values.applyEndpointEvents,
		},
	}
	if e.evacuationsInUse() {
		out = append(out, &objectWatcher{
			edge: e, kind: e.adapter.EvacuationKind, limit: e.cfg.EvacuationDelay / evacuationWatchDivisor, listInterval: evacuationListInterval,
			onList: e.evacuations.replace, onChange: e.evacuations.applyEvents,
		})
	}
	return out
}

// evacuationWatchDivisor divides the bound of evacuations for the time of a watch. A watch on a dead
// connection ends a second later, and a change must still reach the other entries.
const evacuationWatchDivisor = 2

// watchesHealthy reports whether the entry's own watches of the platform work.
func (e *Edge) watchesHealthy() bool {
	for _, w := range e.watchers {
		if !w.healthy.Load() {
			return false
		}
	}
	return true
}
