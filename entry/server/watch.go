package server

import (
	"context"
	"fmt"
	"time"

	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/platform"
)

// watchRetryDelay is the time between tries to read the platform after a failure.
const watchRetryDelay = 500 * time.Millisecond

// watchPlatform applies configurations from the platform until ctx ends.
func (s *Server) watchPlatform(ctx context.Context, store platform.Store) {
	var revision uint64
	for ctx.Err() == nil {
		objects, next, err := s.read(ctx, store, revision)
		if err != nil {
			s.deps.Log.Warn().Err(err).Str("event", "platform.unavailable").Msg("configuration cannot be read")
			if !sleep(ctx, watchRetryDelay) {
				return
			}
			continue
		}
		revision = next
		for _, o := range objects {
			_ = s.state.apply(config.Kind(o.Name), o.Version, o.Value) // recorded by apply
		}
	}
}

func (s *Server) read(ctx context.Context, store platform.Store, revision uint64) ([]platform.Object, uint64, error) {
	if revision == 0 {
		return store.List(ctx, config.ObjectKind)
	}
	return store.Watch(ctx, config.ObjectKind, revision)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func describe(kind config.Kind, version uint64) string {
	return fmt.Sprintf("%s version %d", kind, version)
}
