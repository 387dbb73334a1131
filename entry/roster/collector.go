package roster

import (
	"context"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/ranklink"
	"github.com/siskinford/siskinford/wire/relay"
)

const (
	// stateInterval is the poll interval of each rank. Relays send relevant changes at once.
	stateInterval = time.Second
	// publishInterval is the time between reads of the endpoint list and writes of the
	// roster, so that ranks discovered together are published together.
	publishInterval = 200 * time.Millisecond
	// eventQueue is the capacity of the channel of rank events.
	eventQueue = 64
)

// Collector polls the ranks of a service and writes its roster.
type Collector struct {
	Roster *Roster
	// Host is the entry's host; it identifies the writer of versions.
	Host id.Host
	// List returns the endpoints of the service.
	List func() []ranklink.Endpoint
	// Source is the local address for connections to relays.
	Source netip.Addr
	// EngineClient returns a client for a rank without a relay.
	EngineClient func(address string) relay.Engine

	links     map[id.Endpoint]*ranklink.Link
	collected map[id.Endpoint]Rank
	// renamed holds the group that the last answer of an endpoint named, if it is another one than
	// that of collected.
	renamed map[id.Endpoint]id.Group
}

// Run collects until ctx ends.
func (c *Collector) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Closes the links.
	c.init()
	events := make(chan ranklink.Event, eventQueue)
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	c.relist(ctx, events)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			if e.State != nil && e.State.Group != "" {
				c.record(e.Link.Endpoint().Name, e.State)
			}
		case <-tick.C:
			c.relist(ctx, events)
			c.Roster.merge(c.collected, func(e id.Endpoint) bool { return c.links[e] != nil }, writerID(c.Host))
		}
	}
}

func (c *Collector) init() {
	c.links, c.collected = make(map[id.Endpoint]*ranklink.Link), make(map[id.Endpoint]Rank)
	c.renamed = make(map[id.Endpoint]id.Group)
}

// record records the state of a rank. An endpoint changes its group once two answers in a row name
// the new one: a wrong name would take the rank from its group's coordinator.
func (c *Collector) record(name id.Endpoint, s *relay.State) {
	known, ok := c.collected[name]
	if ok && known.Group != s.Group && c.renamed[name] != s.Group {
		c.renamed[name] = s.Group
		return
	}
	delete(c.renamed, name)
	c.collected[name] = newRank(s.Group, s.Slowdown)
}

// relist opens links to new endpoints and closes links to removed ones.
func (c *Collector) relist(ctx context.Context, events chan<- ranklink.Event) {
	listed := make(map[id.Endpoint]bool)
	for _, e := range c.List() {
		listed[e.Name] = true
		if l := c.links[e.Name]; l != nil && l.Endpoint() == e {
			continue
		} else if l != nil {
			l.Close()
		}
		c.links[e.Name] = ranklink.Open(ctx, ranklink.Options{
			Endpoint: e, Source: c.Source, EngineClient: c.EngineClient, StateOnly: true, Events: events,
			Watch:  relay.Watch{StateMillis: int(stateInterval.Milliseconds())},
			Report: func(*ranklink.Link, string, error) {}, // The group's coordinator logs link events.
		})
	}
	for name, l := range c.links {
		if !listed[name] {
			l.Close()
			delete(c.links, name)
			delete(c.collected, name)
			delete(c.renamed, name)
		}
	}
}

func writerID(host id.Host) byte {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host)) // Never fails.
	return byte(h.Sum32())
}
