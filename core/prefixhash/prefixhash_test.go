package prefixhash_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/core/prefixhash"
)

func TestBlockHashesCoverThePrefix(t *testing.T) {
	long := prefixhash.Blocks("a b c d e", 2)
	assert.Equal(t, len(long), 2)
	assert.DeepEqual(t, prefixhash.Blocks("a  b\nc d", 2), long)
	assert.DeepEqual(t, prefixhash.Blocks("a b", 2), long[:1])

	other := prefixhash.Blocks("x b c d", 2)
	assert.Assert(t, other[0] != long[0])
	assert.Assert(t, other[1] != long[1], "a block hash must cover all blocks before it")
	assert.Assert(t, prefixhash.Blocks("a b a b", 2)[0] != prefixhash.Blocks("a b a b", 2)[1])
	assert.Equal(t, len(prefixhash.Blocks("a b", 0)), 0)
	assert.Equal(t, prefixhash.Words(strings.Repeat("w ", 33)), 33)
}
