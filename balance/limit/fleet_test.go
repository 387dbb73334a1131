package limit

import (
	"fmt"
	"time"

	"github.com/siskinford/siskinford/core/id"
)

const (
	testLimit   = 10_000.0 // tokens per second
	testZones   = 3
	testEntries = 4
	rootLease   = 10 * time.Second
)

var epoch = time.Unix(1_000_000, 0)

// clock is a clock with an offset and a drift.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Time {
	return epoch.Add(c.offset + time.Duration(float64(t)*c.rate))
}

// entryNode is an entry with its share.
type entryNode struct {
	clock
	name  string
	share *Share
}

// zoneNode runs the allocator of a zone.
type zoneNode struct {
	clock
	name    string
	zone    *ZoneAllocator[string]
	entries []*entryNode
}

// rootNode runs the root allocator.
type rootNode struct {
	clock
	allocator *Allocator[string]
	until     time.Duration
}

// message is a demand or grant in transit.
type message struct {
	deliver func(now time.Duration)
}

// fleet is a root allocator, its zones and their entries.
type fleet struct {
	floors     Floors
	root       *rootNode
	zones      []*zoneNode
	generation uint64
	names      int
	now        time.Duration
	newClock   func() clock
	send       func(message)
}

func newFleet(part float64, newClock func() clock, send func(message)) *fleet {
	f := &fleet{
		floors:   Floors{Limit: testLimit, Fraction: part, Zones: testZones, EntriesPerZone: testEntries},
		newClock: newClock,
		send:     send,
	}
	f.takeOverRoot()
	for range testZones {
		z := &zoneNode{}
		f.restartZone(z)
		for range testEntries {
			e := &entryNode{}
			f.restartEntry(e)
			z.entries = append(z.entries, e)
		}
		f.zones = append(f.zones, z)
	}
	return f
}

func (f *fleet) name(z id.Zone) string {
	f.names++
	return fmt.Sprintf("%s-%d", z, f.names)
}

func (f *fleet) restartEntry(e *entryNode) {
	e.clock, e.name = f.newClock(), f.name("entry")
	e.share = NewShare(f.floors.Entry(), e.at(f.now))
}

func (f *fleet) restartZone(z *zoneNode) {
	z.clock, z.name = f.newClock(), f.name("zone")
	z.zone = NewZoneAllocator[string](uint64(f.names))
}

// takeOverRoot starts a new root allocator if the lease of the old one has expired.
func (f *fleet) takeOverRoot() {
	if f.root != nil && f.now < f.root.until {
		return
	}
	f.generation++
	f.root = &rootNode{clock: f.newClock(), allocator: NewAllocator[string]()}
	f.renewRoot()
}

// renewRoot extends the root's lease unless it has expired.
func (f *fleet) renewRoot() {
	if f.now > f.root.until && f.root.until > 0 {
		return
	}
	f.root.until = f.now + rootLease
	f.root.allocator.SetPool(Pool{
		Generation: f.generation,
		Rate:       f.floors.Pool(),
		// The holder of a lease stops earlier by its own clock, to cover clock drift.
		Until: f.root.at(f.now).Add(rootLease - rootLease/driftDivisor),
	})
}

func (f *fleet) demandEntry(z *zoneNode, e *entryNode) {
	share, name, zone := e.share, e.name, z
	m := share.NextDemand(e.at(f.now))
	f.send(message{deliver: func(now time.Duration) {
		g, ok := zone.zone.Grant(name, m, zone.at(now))
		if !ok {
			return
		}
		f.send(message{deliver: func(now time.Duration) {
			if e.share == share {
				share.Apply(g, e.at(now))
			}
		}})
	}})
}

func (f *fleet) demandZone(z *zoneNode) {
	zone, name, root := z.zone, z.name, f.root
	m := zone.NextDemand(z.at(f.now))
	f.send(message{deliver: func(now time.Duration) {
		g, ok := root.allocator.Grant(name, m, root.at(now))
		if !ok {
			return
		}
		f.send(message{deliver: func(now time.Duration) {
			if z.zone == zone {
				zone.Apply(g, z.at(now))
			}
		}})
	}})
}

// zoneRate returns the sum of the rates of one zone's entries.
func (f *fleet) zoneRate(z *zoneNode) float64 {
	sum := 0.0
	for _, e := range z.entries {
		sum += e.share.Rate(e.at(f.now))
	}
	return sum
}

func (f *fleet) rate() float64 {
	sum := 0.0
	for _, z := range f.zones {
		sum += f.zoneRate(z)
	}
	return sum
}
