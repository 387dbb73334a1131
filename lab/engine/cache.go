package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	protocol "github.com/siskinford/siskinford/agent/engine"
)

// cache is a bounded LRU prefix cache that publishes its changes after a delay
// and loses some of them.
type cache struct {
	maxBlocks int
	delay     time.Duration
	loss      float64
	maxEvents int
	random    *rand.Rand
	blocks    map[uint64]*list.Element
	recent    *list.List // block hashes, most recently used first
	seq       uint64
	events    []pendingEvent
}

type pendingEvent struct {
	visible time.Time
	event   protocol.CacheEvent
}

func newCache(c Config) *cache {
	return &cache{
		maxBlocks: c.CacheBlocks,
		delay:     c.EventDelay,
		loss:      c.EventLoss,
		maxEvents: c.EventBuffer,
		random:    rand.New(rand.NewPCG(c.Seed, c.Seed)),
		blocks:    make(map[uint64]*list.Element),
		recent:    list.New(),
	}
}

// lookup returns the number of cached leading blocks and stores the others.
func (c *cache) lookup(hashes []uint64, now time.Time) int {
	hits := 0
	for _, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.recent.MoveToFront(element)
		hits++
	}
	for _, hash := range hashes[hits:] {
		c.store(hash, now)
	}
	return hits
}

func (c *cache) store(hash uint64, now time.Time) {
	if element, ok := c.blocks[hash]; ok {
		c.recent.MoveToFront(element)
		return
	}
	for len(c.blocks) >= c.maxBlocks {
		oldest := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, oldest)
		c.publish(protocol.CacheEvent{Block: oldest, Evicted: true}, now)
	}
	c.blocks[hash] = c.recent.PushFront(hash)
	c.publish(protocol.CacheEvent{Block: hash}, now)
}

func (c *cache) clear(now time.Time) {
	clear(c.blocks)
	c.recent.Init()
	c.publish(protocol.CacheEvent{Cleared: true}, now)
}

// publish numbers an event; a lost event leaves a gap in the numbers.
func (c *cache) publish(event protocol.CacheEvent, now time.Time) {
	c.seq++
	event.Seq = c.seq
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	if len(c.events) >= c.maxEvents {
		c.events = append(c.events[:0], c.events[c.maxEvents/2:]...)
	}
	c.events = append(c.events, pendingEvent{visible: now.Add(c.delay), event: event})
}

// after returns up to maxEventsPerCall published events numbered above seq.
func (c *cache) after(seq uint64, now time.Time) []protocol.CacheEvent {
	events := []protocol.CacheEvent{}
	for _, pending := range c.events {
		if pending.visible.After(now) || len(events) == maxEventsPerCall {
			break
		}
		if pending.event.Seq > seq {
			events = append(events, pending.event)
		}
	}
	return events
}
