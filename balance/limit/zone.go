package limit

import (
	"sync"
	"time"
)

// ZoneAllocator divides a zone's grant between its entries. It is safe for concurrent use.
type ZoneAllocator[N comparable] struct {
	mu        sync.Mutex
	lease     Lease
	allocator *Allocator[N]
	// confirmed is the Seq of the latest grant that covers the entries' reserved rates.
	confirmed uint64
	// generation is the fencing token of the grants to the entries.
	generation uint64
}

// NewZoneAllocator returns an allocator without a grant. The generation is the
// fencing token of the zone's allocator; it must exceed that of any earlier one.
func NewZoneAllocator[N comparable](generation uint64) *ZoneAllocator[N] {
	return &ZoneAllocator[N]{allocator: NewAllocator[N](), generation: generation}
}

// NextDemand returns the next demand to send to the root Allocator. A timer calls it.
func (z *ZoneAllocator[N]) NextDemand(now time.Time) Demand {
	z.mu.Lock()
	defer z.mu.Unlock()
	m := z.lease.NextDemand(z.allocator.TotalDemand(now), now)
	// A smaller grant is confirmed only once the entries' grants fit into it, since
	// the confirmation lets other zones use the difference.
	if z.allocator.Reserved(now) <= z.lease.Rate(now) {
		z.confirmed = m.Confirmed
	}
	m.Confirmed = z.confirmed
	return m
}

// Idle reports whether no entry has demand, so that no grant is needed.
func (z *ZoneAllocator[N]) Idle(now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.allocator.TotalDemand(now) == 0
}

// Apply makes a grant of the root Allocator the current one and replaces the pool.
func (z *ZoneAllocator[N]) Apply(g Grant, now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.lease.Apply(g, now) {
		return false
	}
	z.allocator.SetPool(Pool{Generation: z.generation, Rate: g.Rate, Until: z.lease.Until()})
	return true
}

// Grant answers the demand of an entry.
func (z *ZoneAllocator[N]) Grant(entry N, m Demand, now time.Time) (Grant, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.allocator.Grant(entry, m, now)
}

// Floors splits a limit into floors and a pool, all in tokens per second.
type Floors struct {
	// Limit is the team's limit over all entries.
	Limit float64
	// Fraction is the fraction of the limit that is reserved for floors. Range: 0 to 1.
	Fraction float64
	// Zones and EntriesPerZone are the greatest numbers that run at the same time.
	Zones          int
	EntriesPerZone int
}

// Entry returns the floor of one entry.
func (f Floors) Entry() float64 {
	return f.Zone() / float64(max(f.EntriesPerZone, 1))
}

// Zone returns the sum of the floors of one zone, its rate during a partition.
func (f Floors) Zone() float64 {
	return f.Limit * f.Fraction / float64(max(f.Zones, 1))
}

// Pool returns the rate that remains for the root Allocator.
func (f Floors) Pool() float64 { return f.Limit * (1 - f.Fraction) }
