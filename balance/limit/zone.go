package limit

import (
	"sync"
	"time"
)

// ZoneAllocator divides a zone's grant between its entries. It is safe for concurrent use.
type ZoneAllocator[N comparable] struct {
	mu      sync.Mutex
	lease   Lease
	divider *Allocator[N]
	// confirmed is the Seq of the latest grant that covers all that the entries may use.
	confirmed uint64
	// generation counts the grants, as fencing number towards the entries.
	generation uint64
}

// NewZoneAllocator returns a zone without a grant. The generation is the fencing number
// of the holder of the zone's duty; it must exceed that of any earlier holder.
func NewZoneAllocator[N comparable](generation uint64) *ZoneAllocator[N] {
	return &ZoneAllocator[N]{divider: NewAllocator[N](), generation: generation}
}

// NextDemand starts an exchange with the Divider for all zones. A timer calls it.
func (z *ZoneAllocator[N]) NextDemand(now time.Time) Demand {
	z.mu.Lock()
	defer z.mu.Unlock()
	m := z.lease.NextDemand(z.divider.TotalDemand(now), now)
	// A smaller grant is confirmed only once the entries' grants fit into it, as
	// its confirmation lets other zones use the rest.
	if z.divider.Reserved(now) <= z.lease.Rate(now) {
		z.confirmed = m.Confirmed
	}
	m.Confirmed = z.confirmed
	return m
}

// Idle reports whether no entry has demand, so that no exchange is needed.
func (z *ZoneAllocator[N]) Idle(now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.divider.TotalDemand(now) == 0
}

// Apply puts a grant of the Divider for all zones in force.
func (z *ZoneAllocator[N]) Apply(g Grant, now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.lease.Apply(g, now) {
		return false
	}
	z.divider.SetPool(Pool{Generation: z.generation, Rate: g.Rate, Until: z.lease.Until()})
	return true
}

// Grant answers the demand of an entry.
func (z *ZoneAllocator[N]) Grant(entry N, m Demand, now time.Time) (Grant, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.divider.Grant(entry, m, now)
}

// Floors splits a limit in tokens per second.
type Floors struct {
	// Limit is the team's limit over all entries.
	Limit float64
	// Fraction is the part of the limit that is reserved for floors. Range: 0 to 1.
	Fraction float64
	// Zones and EntriesPerZone are the greatest numbers that run at a time.
	Zones          int
	EntriesPerZone int
}

// Entry returns the floor of one entry.
func (f Floors) Entry() float64 {
	return f.Zone() / float64(max(f.EntriesPerZone, 1))
}

// Zone returns the sum of the floors of one zone, which it has when cut off.
func (f Floors) Zone() float64 {
	return f.Limit * f.Fraction / float64(max(f.Zones, 1))
}

// Pool returns the rate that remains for the Divider for all zones.
func (f Floors) Pool() float64 { return f.Limit * (1 - f.Fraction) }
