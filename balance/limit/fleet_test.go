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

// clock runs at a rate of its own.
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

// zoneNode is the holder of a zone's duty.
type zoneNode struct {
	clock
	name    string
	zone    *ZoneAllocator[string]
	entries []*entryNode
}

// rootNode is the holder of the duty for all zones.
type rootNode struct {
	clock
	divider *Allocator[string]
	until   time.Duration
}

// message is a demand or grant under way.
type message struct {
	deliver func(now time.Duration)
}

// fleet is a root, its zones and their entries, with messages under way.
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

// takeOverRoot starts a new holder if the authority of the old one has ended.
func (f *fleet) takeOverRoot() {
	if f.root != nil && f.now < f.root.until {
		return
	}
	f.generation++
	f.root = &rootNode{clock: f.newClock(), divider: NewAllocator[string]()}
	f.renewRoot()
}

// renewRoot extends the authority of a holder whose authority has not ended.
func (f *fleet) renewRoot() {
	if f.now > f.root.until && f.root.until > 0 {
		return
	}
	f.root.until = f.now + rootLease
	f.root.divider.SetPool(Pool{
		Generation: f.generation,
		Rate:       f.floors.Pool(),
		// The holder ends earlier by its own clock, as a lease demands.
		Until: f.root.at(f.now).Add(rootLease - rootLease/driftPart),
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
		g, ok := root.divider.Grant(name, m, root.at(now))
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

// zoneRate returns the sum of the rates in force in one zone.
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
