package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	protocol "github.com/siskinford/siskinford/agent/engine"
)

// cache is a prefix cache of limited size with least-recently-used eviction
// that publishes its changes late and with gaps.
type cache struct {
	limit  int
	delay  time.Duration
	loss   float64
	keep   int
	random *rand.Rand
	blocks map[uint64]*list.Element
	recent *list.List // of block hashes, most recently used first
	seq    uint64
	events []pendingEvent
}

type pendingEvent struct {
	visible time.Time
	event   protocol.CacheEvent
}

func newCache(c Config) *cache {
	return &cache{
		limit:  c.CacheBlocks,
		delay:  c.EventDelay,
		loss:   c.EventLoss,
		keep:   c.EventBuffer,
		random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		blocks: make(map[uint64]*list.Element),
		recent: list.New(),
	}
}

// use returns the number of leading blocks that are cached and stores the rest.
func (c *cache) use(hashes []uint64, now time.Time) int {
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
	for len(c.blocks) >= c.limit {
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

// publish numbers the event and drops it if it is to be lost.
func (c *cache) publish(event protocol.CacheEvent, now time.Time) {
	c.seq++
	event.Seq = c.seq
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	if len(c.events) >= c.keep {
		c.events = append(c.events[:0], c.events[c.keep/2:]...)
	}
	c.events = append(c.events, pendingEvent{visible: now.Add(c.delay), event: event})
}

// after returns the published events with a greater sequence number.
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
