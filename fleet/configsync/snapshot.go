package configsync

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/siskinford/siskinford/fleet/config"
)

// SnapshotApplier is an Applier that keeps the configuration in force as an
// immutable snapshot. It is safe for concurrent use, and Current does not block.
type SnapshotApplier struct {
	mu      sync.Mutex // serialises Apply
	current atomic.Pointer[config.Snapshot]
	changed func(*config.Snapshot)
}

// NewSnapshotApplier returns a SnapshotApplier with an empty configuration. It calls
// changed, which may be nil and must not block, with each new snapshot in order.
func NewSnapshotApplier(changed func(*config.Snapshot)) *SnapshotApplier {
	h := &SnapshotApplier{changed: changed}
	h.current.Store(config.NewSnapshot())
	return h
}

// Current returns the configuration in force.
func (h *SnapshotApplier) Current() *config.Snapshot { return h.current.Load() }

// Versions implements Applier.
func (h *SnapshotApplier) Versions() map[config.Kind]uint64 { return h.Current().Versions() }

// Value implements Applier.
func (h *SnapshotApplier) Value(kind config.Kind) (uint64, []byte) {
	s := h.Current()
	return s.Version(kind), s.Value(kind)
}

// Apply implements Applier.
func (h *SnapshotApplier) Apply(kind config.Kind, version uint64, value []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.Current().Apply(kind, version, value)
	var stale *config.StaleVersionError
	if errors.As(err, &stale) {
		return nil
	}
	if err != nil {
		return err
	}
	h.current.Store(next)
	if h.changed != nil {
		h.changed(next)
	}
	return nil
}
