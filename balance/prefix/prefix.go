// Package prefix indexes which endpoints hold which prompt prefix blocks in their
// KV cache.
//
// The index is built from the engines' cache events. Events carry sequence
// numbers; after a gap the endpoint's blocks are dropped and it counts as out of
// sync until a snapshot or the clearing of its cache. The index is a hint: a wrong
// match costs prefill time, never correctness.
package prefix

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/siskinford/siskinford/core/bounded"
	"github.com/siskinford/siskinford/core/id"
)

// Event is a change of an endpoint's cache.
type Event struct {
	// Seq counts the endpoint's events from 1.
	Seq uint64
	// Block is the hash of the prefix up to and including the block.
	Block uint64
	// Evicted is true if the block was removed, Cleared if the whole cache was
	// emptied. If both are false, the block was stored.
	Evicted bool
	Cleared bool
}

// Config holds the settings of an Index. Zero values select the defaults.
type Config struct {
	// MaxEndpointBlocks bounds the blocks indexed per endpoint. Default: 4,096.
	MaxEndpointBlocks int
	// MaxHolderBlocks bounds the blocks for which holders are indexed. Default: 32,768.
	MaxHolderBlocks int
}

func (c Config) withDefaults() Config {
	if c.MaxEndpointBlocks <= 0 {
		c.MaxEndpointBlocks = 4096
	}
	if c.MaxHolderBlocks <= 0 {
		c.MaxHolderBlocks = 32768
	}
	return c
}

// Index maps prefix blocks to the endpoints that hold them. It is safe for
// concurrent use.
type Index struct {
	cfg Config

	// mu guards replacement of caches. Lock order: Index.mu, cache.mu, holders.mu.
	mu      sync.Mutex
	caches  atomic.Pointer[map[id.Endpoint]*cache]
	holders holders
}

// NewIndex returns an empty index.
func NewIndex(cfg Config) *Index {
	x := &Index{cfg: cfg.withDefaults()}
	x.caches.Store(&map[id.Endpoint]*cache{})
	x.holders.blocks = bounded.NewMap[uint64, holderSet](x.cfg.MaxHolderBlocks)
	return x
}

// cache mirrors the cache of one endpoint.
type cache struct {
	mu          sync.RWMutex
	incarnation id.Incarnation
	seq         uint64
	inSync      bool
	blocks      *bounded.Map[uint64, struct{}]
}

// Apply applies the events of one incarnation of an endpoint, in order. Repeated
// events are ignored, except that event 1 marks a restart of the engine. It returns
// false if the endpoint is out of sync afterwards and needs a snapshot.
func (x *Index) Apply(e id.Endpoint, inc id.Incarnation, events []Event) bool {
	c := x.cache(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation != inc {
		c.reset(inc)
	}
	for _, ev := range events {
		x.apply(e, c, ev)
	}
	return c.inSync
}

// reset empties the cache for an incarnation, which is in sync from its first event on.
func (c *cache) reset(inc id.Incarnation) {
	c.incarnation = inc
	c.seq = 0
	c.inSync = true
	c.blocks.Clear()
}

func (x *Index) apply(e id.Endpoint, c *cache, ev Event) {
	if ev.Seq == 1 && c.seq > 1 {
		c.reset(c.incarnation) // The engine restarted while the agent did not.
	}
	if ev.Seq <= c.seq {
		return
	}
	gap := ev.Seq != c.seq+1
	c.seq = ev.Seq
	if ev.Cleared {
		c.blocks.Clear()
		c.inSync = true
		return
	}
	if gap {
		c.blocks.Clear()
		c.inSync = false
	}
	if !c.inSync {
		return
	}
	if ev.Evicted {
		c.blocks.Remove(ev.Block)
		return
	}
	c.blocks.Put(ev.Block, struct{}{})
	x.holders.add(ev.Block, e)
}

// ApplySnapshot replaces an endpoint's blocks by its whole cache as of event seq. A
// snapshot older than the events already applied is ignored.
func (x *Index) ApplySnapshot(e id.Endpoint, inc id.Incarnation, seq uint64, blocks []uint64) {
	c := x.cache(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation == inc && seq < c.seq {
		return
	}
	c.reset(inc)
	c.seq = seq
	for _, b := range blocks {
		c.blocks.Put(b, struct{}{})
		x.holders.add(b, e)
	}
}

// Remove drops an endpoint that is no longer configured.
func (x *Index) Remove(e id.Endpoint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := maps.Clone(*x.caches.Load())
	delete(next, e)
	x.caches.Store(&next)
}

// InSync reports whether the events of an endpoint were received without a gap.
func (x *Index) InSync(e id.Endpoint) bool {
	c := (*x.caches.Load())[e]
	if c == nil {
		return false
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.inSync
}

// Match returns how many leading blocks the endpoint is expected to hold, zero if
// it is out of sync. It takes time logarithmic in the number of blocks, since an
// engine that holds a prefix also holds all shorter ones.
func (x *Index) Match(blocks []uint64, e id.Endpoint) int {
	c := (*x.caches.Load())[e]
	if c == nil {
		return 0
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !c.inSync || len(blocks) == 0 || !c.blocks.Has(blocks[0]) {
		return 0
	}
	low, high := 1, len(blocks)
	for low < high {
		mid := (low + high + 1) / 2
		if c.blocks.Has(blocks[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// Holder returns an endpoint that stored the longest known prefix of the blocks.
// It may have evicted them since; Match accounts for that. Holder and Match
// implement route.PrefixIndex.
func (x *Index) Holder(blocks []uint64) (id.Endpoint, bool) {
	return x.holders.forLongestPrefix(blocks)
}

// cache returns the cache of an endpoint, creating it if necessary.
func (x *Index) cache(e id.Endpoint) *cache {
	if c := (*x.caches.Load())[e]; c != nil {
		return c
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	old := *x.caches.Load()
	if c := old[e]; c != nil {
		return c
	}
	next := maps.Clone(old)
	c := &cache{blocks: bounded.NewMap[uint64, struct{}](x.cfg.MaxEndpointBlocks)}
	next[e] = c
	x.caches.Store(&next)
	return c
}
