package configsync

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/fleet/config"
)

func TestSnapshotApplierIgnoresOlderVersions(t *testing.T) {
	seen := 0
	h := NewSnapshotApplier(func(*config.Snapshot) { seen++ })
	value := []byte(`{"value":{"services":[]}}`)
	assert.NilError(t, h.Apply(config.KindServices, 3, value))
	assert.NilError(t, h.Apply(config.KindServices, 3, value))
	assert.NilError(t, h.Apply(config.KindServices, 2, value))
	assert.Equal(t, seen, 1)
	version, held := h.Value(config.KindServices)
	assert.Equal(t, version, uint64(3))
	assert.DeepEqual(t, held, value)
	assert.Assert(t, h.Apply(config.KindServices, 4, []byte("no envelope")) != nil)
	assert.Equal(t, h.Versions()[config.KindServices], uint64(3))
}
