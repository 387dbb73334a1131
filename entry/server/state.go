package server

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/core/timeline"
	"github.com/siskinford/siskinford/fleet/config"
)

// state holds the configuration in force. It only ever takes greater versions.
type state struct {
	current  atomic.Pointer[config.Snapshot]
	recorder timeline.Recorder
	// changed is called with mu held after a change, in order of the changes.
	changed func(*config.Snapshot)

	// mu serializes changes. It is taken before the locks of the endpoint manager.
	mu sync.Mutex
}

func newState(r timeline.Recorder, changed func(*config.Snapshot)) *state {
	s := &state{recorder: r, changed: changed}
	s.current.Store(config.NewSnapshot())
	return s
}

// apply takes over a version of a kind. The error is a
// *config.StaleVersionError if the version is not greater than the one held.
func (s *state) apply(kind config.Kind, version uint64, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.current.Load().Apply(kind, version, value)
	if err != nil {
		s.recordRefusal(kind, err)
		return err
	}
	s.current.Store(next)
	s.recorder.Record(timeline.Event{Kind: "configuration.applied", Detail: describe(kind, version)})
	s.changed(next)
	return nil
}

func (s *state) recordRefusal(kind config.Kind, err error) {
	var stale *config.StaleVersionError
	if errors.As(err, &stale) && stale.Offered == stale.Held {
		return
	}
	s.recorder.Record(timeline.Event{Kind: "configuration.refused", Detail: string(kind) + ": " + err.Error()})
}
