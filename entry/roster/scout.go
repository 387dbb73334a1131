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
	// lookInterval is the interval at which a scout looks at each rank. Relays
	// tell changes of what matters at once.
	lookInterval = time.Second
	// writeInterval is the time between looks at the list of endpoints and writes
	// of the roster, so that ranks that are met together are told together.
	writeInterval = 200 * time.Millisecond
	// eventQueue bounds the events that wait for the scout.
	eventQueue = 64
)

// Collector asks the ranks of a service and writes the roster.
type Collector struct {
	Roster *Roster
	// Host is this entry's.
	Host id.Host
	// List returns the endpoints of the service.
	List func() []ranklink.Endpoint
	// Source is the address of this host from which relays are reached.
	Source netip.Addr
	// EngineClient returns a client for a rank that has no relay.
	EngineClient func(address string) relay.Engine

	links map[id.Endpoint]*ranklink.Link
	seen  map[id.Endpoint]Rank
}

// Run works until ctx ends.
func (s *Collector) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Ends the links.
	s.links, s.seen = make(map[id.Endpoint]*ranklink.Link), make(map[id.Endpoint]Rank)
	events := make(chan ranklink.Event, eventQueue)
	tick := time.NewTicker(writeInterval)
	defer tick.Stop()
	s.relist(ctx, events)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			if e.State != nil && e.State.Group != "" {
				s.seen[e.Link.Endpoint().Name] = newSeat(e.State.Group, e.State.Pace)
			}
		case <-tick.C:
			s.relist(ctx, events)
			s.Roster.write(s.seen, func(e id.Endpoint) bool { return s.links[e] != nil }, author(s.Host))
		}
	}
}

// relist opens links to new endpoints and closes those to endpoints that are gone.
func (s *Collector) relist(ctx context.Context, events chan<- ranklink.Event) {
	listed := make(map[id.Endpoint]bool)
	for _, e := range s.List() {
		listed[e.Name] = true
		if l := s.links[e.Name]; l != nil && l.Endpoint() == e {
			continue
		} else if l != nil {
			l.Close()
		}
		s.links[e.Name] = ranklink.Open(ctx, ranklink.Options{
			Endpoint: e, Source: s.Source, EngineClient: s.EngineClient, StateOnly: true, Events: events,
			Watch:  relay.Watch{StateMillis: int(lookInterval.Milliseconds())},
			Report: func(*ranklink.Link, string, error) {}, // The coordinator of the group reports.
		})
	}
	for name, l := range s.links {
		if !listed[name] {
			l.Close()
			delete(s.links, name)
			delete(s.seen, name)
		}
	}
}

func author(host id.Host) byte {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host)) // Never fails.
	return byte(h.Sum32())
}
