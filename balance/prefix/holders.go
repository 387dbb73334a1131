package prefix

import (
	"sync"
	"sync/atomic"

	"github.com/siskinford/siskinford/core/bounded"
	"github.com/siskinford/siskinford/core/id"
)

// holdersPerBlock bounds the endpoints indexed per block.
const holdersPerBlock = 4

// holderSet is a ring of the endpoints that stored a block last.
type holderSet struct {
	names [holdersPerBlock]id.Endpoint
	n     uint8
	next  uint8
}

func (s holderSet) with(e id.Endpoint) holderSet {
	for _, name := range s.names[:s.n] {
		if name == e {
			return s
		}
	}
	s.names[s.next] = e
	s.next = (s.next + 1) % holdersPerBlock
	s.n = min(s.n+1, holdersPerBlock)
	return s
}

// holders maps blocks to the endpoints that stored them last.
type holders struct {
	nextHolder atomic.Uint32

	mu     sync.RWMutex
	blocks *bounded.Map[uint64, holderSet]
}

func (h *holders) add(block uint64, e id.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, _ := h.blocks.Get(block)
	h.blocks.Put(block, s.with(e))
}

// forLongestPrefix returns an endpoint that stored the longest known prefix,
// rotating through the candidates.
func (h *holders) forLongestPrefix(blocks []uint64) (id.Endpoint, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var found holderSet
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high + 1) / 2
		if s, ok := h.blocks.Get(blocks[mid-1]); ok {
			low, found = mid, s
		} else {
			high = mid - 1
		}
	}
	if found.n == 0 {
		return "", false
	}
	return found.names[h.nextHolder.Add(1)%uint32(found.n)], true
}
