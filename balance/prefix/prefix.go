// Package prefix indexes which endpoints hold which blocks of prompt prefixes
// in their cache.
//
// The index is fed by the cache events of the engines. Events carry sequence
// numbers; after a gap the endpoint's blocks are forgotten, and it is distrusted
// until it reports its whole cache again. What the index says is a hint: routing
// by it costs time when it is wrong and nothing else.
package prefix

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/siskinford/siskinford/core/id"
)

// Event tells that an endpoint stored or evicted a block.
type Event struct {
	// Seq counts the endpoint's events from 1.
	Seq uint64
	// Block is the hash of the prefix up to and including the block.
	Block uint64
	// Evicted is true if the block was removed, Cleared if the whole cache was.
	Evicted bool
	Cleared bool
}

// Config holds the settings of an Index. Zero values select the defaults.
type Config struct {
	// MaxEndpointBlocks bounds the blocks remembered for one endpoint.
	// Unit: blocks. Default: 4,096.
	MaxEndpointBlocks int
	// MaxHolderBlocks bounds the blocks for which holders are remembered.
	// Unit: blocks. Default: 32,768.
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

// Index tells which endpoints hold a block. It is safe for concurrent use.
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
	x.holders.blocks = newGenerations[holderSet](x.cfg.MaxHolderBlocks)
	return x
}

// cache is what is known of one endpoint's cache.
type cache struct {
	mu          sync.RWMutex
	incarnation id.Incarnation
	seq         uint64
	trusted     bool
	blocks      *generations[struct{}]
}

// Apply records the events of one incarnation of an endpoint, in order.
// Repeated events are ignored, but for the event 1, which tells that the engine
// counts anew. It returns false if the endpoint is distrusted
// afterwards; the caller may then ask for a snapshot.
func (x *Index) Apply(e id.Endpoint, inc id.Incarnation, events []Event) bool {
	c := x.cache(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation != inc {
		c.restart(inc)
	}
	for _, ev := range events {
		x.apply(e, c, ev)
	}
	return c.trusted
}

// restart forgets an earlier incarnation. The new one is trusted from its first event on.
func (c *cache) restart(inc id.Incarnation) {
	c.incarnation = inc
	c.seq = 0
	c.trusted = true
	c.blocks.clear()
}

func (x *Index) apply(e id.Endpoint, c *cache, ev Event) {
	if ev.Seq == 1 && c.seq > 1 {
		c.restart(c.incarnation) // The engine restarted while the agent did not.
	}
	if ev.Seq <= c.seq {
		return
	}
	gap := ev.Seq != c.seq+1
	c.seq = ev.Seq
	if ev.Cleared {
		c.blocks.clear()
		c.trusted = true
		return
	}
	if gap {
		c.blocks.clear()
		c.trusted = false
	}
	if !c.trusted {
		return
	}
	if ev.Evicted {
		c.blocks.remove(ev.Block)
		return
	}
	c.blocks.put(ev.Block, struct{}{})
	x.holders.add(ev.Block, e)
}

// ApplySnapshot replaces what is known of an endpoint by its whole cache as of an event.
// A snapshot older than the events already applied is ignored.
func (x *Index) ApplySnapshot(e id.Endpoint, inc id.Incarnation, seq uint64, blocks []uint64) {
	c := x.cache(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incarnation == inc && seq < c.seq {
		return
	}
	c.restart(inc)
	c.seq = seq
	for _, b := range blocks {
		c.blocks.put(b, struct{}{})
		x.holders.add(b, e)
	}
}

// Remove forgets an endpoint that is no longer configured.
func (x *Index) Remove(e id.Endpoint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := maps.Clone(*x.caches.Load())
	delete(next, e)
	x.caches.Store(&next)
}

// InSync tells whether the events of an endpoint are known without a gap.
func (x *Index) InSync(e id.Endpoint) bool {
	c := (*x.caches.Load())[e]
	if c == nil {
		return false
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.trusted
}

// Match returns how many leading blocks the endpoint is expected to hold. It is
// zero for a distrusted endpoint and for one that lacks the first block. The cost grows with the logarithm of the
// number of blocks, as an engine that holds a prefix holds all shorter ones.
func (x *Index) Match(blocks []uint64, e id.Endpoint) int {
	c := (*x.caches.Load())[e]
	if c == nil {
		return 0
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !c.trusted || len(blocks) == 0 || !c.blocks.has(blocks[0]) {
		return 0
	}
	low, high := 1, len(blocks)
	for low < high {
		mid := (low + high + 1) / 2
		if c.blocks.has(blocks[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// Holder returns an endpoint that was last seen to hold many of the leading
// blocks. Match tells how many it holds now. It implements route.Prefixes.
func (x *Index) Holder(blocks []uint64) (id.Endpoint, bool) {
	return x.holders.longest(blocks)
}

// cache returns the cache of an endpoint and creates it if it is new.
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
	c := &cache{blocks: newGenerations[struct{}](x.cfg.MaxEndpointBlocks)}
	next[e] = c
	x.caches.Store(&next)
	return c
}
