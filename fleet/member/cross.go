package member

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// ZoneStatus is the state of another zone.
type ZoneStatus struct {
	Name id.Zone
	// Reachable is true if a summary arrived within CrossConfig.SilentAfter.
	Reachable bool
	// Alive is the number of alive hosts in the last summary.
	Alive int
	// Contacts are hosts of the zone to call from other zones.
	Contacts []Peer
	// Load is the zone's opaque aggregated load.
	Load []byte
	// Age is the time since the last summary arrived, zero without one.
	Age time.Duration
}

// receivedSummary is a summary with its arrival time.
type receivedSummary struct {
	summary Summary
	at      time.Time
}

// crossZone is the state of the protocol between zones.
type crossZone struct {
	// summaries holds the last summary of each other zone.
	summaries map[id.Zone]receivedSummary
	// seeds are hosts from the host list, for zones that are not reachable.
	seeds        map[id.Zone][]Peer
	nextExchange time.Time
	// contactOffset rotates through the contacts of an unreachable zone.
	contactOffset int
}

func newCrossZone() crossZone {
	return crossZone{
		summaries: make(map[id.Zone]receivedSummary),
		seeds:     make(map[id.Zone][]Peer),
	}
}

func (c *crossZone) setSeeds(others map[id.Zone][]Peer, self id.Host, bound int) {
	clear(c.seeds)
	for zone, peers := range others {
		byHost := make(map[id.Host]Peer, len(peers))
		for _, p := range peers {
			byHost[p.Host] = p
		}
		ranked := rendezvous.Rank("seed/"+string(self), hosts(peers))
		for _, h := range ranked[:min(bound, len(ranked))] {
			c.seeds[zone] = append(c.seeds[zone], byHost[h])
		}
	}
}

// delegateRank returns the position of the own host among the zone's delegates, or
// false if it is not a delegate.
func (t *Table) delegateRank() (int, bool) {
	at := slices.Index(t.delegates(), t.self.Host)
	return at, at >= 0
}

func (t *Table) delegates() []id.Host {
	ranked := rendezvous.Rank("delegate/"+string(t.opt.Zone), hosts(t.Live()))
	return ranked[:min(t.cfg.Cross.Delegates, len(ranked))]
}

// exchangeSummaries sends the own zone's summary to one contact of each other zone
// if the own host is a delegate.
func (t *Table) exchangeSummaries(now time.Time) []Outgoing {
	if now.Before(t.cross.nextExchange) {
		return nil
	}
	jitter := time.Duration(t.rng.Int64N(int64(t.cfg.Cross.Interval / 10)))
	t.cross.nextExchange = now.Add(t.cfg.Cross.Interval - jitter)
	rank, ok := t.delegateRank()
	if !ok {
		return nil
	}
	t.cross.contactOffset++
	var out []Outgoing
	for _, zone := range t.zoneNames() {
		if t.recentlyExchanged(zone, now) {
			continue
		}
		contacts, fresh := t.contacts(zone, now)
		if len(contacts) == 0 {
			continue
		}
		at := rank
		if fresh {
			at += t.cross.contactOffset
		}
		p := contacts[at%len(contacts)]
		m := Message{Type: Exchange, Zone: t.opt.Zone, From: t.self, AppData: t.appData()}
		m.Summaries = []Summary{t.summary(now)}
		out = append(out, Outgoing{Address: p.Address, Reconnect: fresh, Message: m})
	}
	return out
}

// recentlyExchanged reports whether a summary of a zone is so recent that another
// delegate, of either zone, must have made the exchange that is due.
func (t *Table) recentlyExchanged(zone id.Zone, now time.Time) bool {
	z := t.zoneStatus(zone, now)
	return z.Reachable && z.Age < t.cfg.Cross.Interval*3/4
}

// contacts returns the hosts of another zone to call. If its summary is older than
// half of SilentAfter, seeds are included and the result is true.
func (t *Table) contacts(zone id.Zone, now time.Time) ([]Peer, bool) {
	z := t.zoneStatus(zone, now)
	contacts := z.Contacts
	if z.Reachable && z.Age < t.cfg.Cross.SilentAfter/2 {
		return contacts, false
	}
	for _, s := range t.cross.seeds[zone] {
		if !slices.ContainsFunc(contacts, func(p Peer) bool { return p.Host == s.Host }) {
			contacts = append(contacts, s)
		}
	}
	return contacts, true
}

func (t *Table) summary(now time.Time) Summary {
	live := t.Live()
	byHost := make(map[id.Host]Peer, len(live))
	for _, p := range live {
		byHost[p.Host] = p
	}
	s := Summary{
		Zone:     t.opt.Zone,
		Delegate: t.self.Host,
		Stamp:    now.UnixMilli(),
		Alive:    len(live),
	}
	if t.opt.Load != nil {
		s.Load = t.opt.Load()
	}
	ranked := rendezvous.Rank("delegate/"+string(t.opt.Zone), hosts(live))
	for _, h := range ranked[:min(t.cfg.Cross.Contacts, len(ranked))] {
		s.Contacts = append(s.Contacts, byHost[h])
	}
	return s
}

// handleRemoteZone processes a message of another zone.
func (t *Table) handleRemoteZone(m Message, now time.Time) []Outgoing {
	for _, s := range m.Summaries {
		t.applySummary(s, now)
	}
	t.deliverAppData(m.From, m.Zone, m.AppData)
	if m.Type != Exchange {
		return nil
	}
	a := Message{Type: ExchangeAnswer, Zone: t.opt.Zone, From: t.self, AppData: t.appData()}
	a.Summaries = []Summary{t.summary(now)}
	return []Outgoing{{Address: m.From.Address, Message: a}}
}

// applySummary stores a summary that is newer than the last one of its zone and
// queues it for the own zone. After SilentAfter an older one is stored too, so that
// a delegate whose clock was ahead does not hide the summaries of later delegates.
func (t *Table) applySummary(s Summary, now time.Time) {
	if s.Zone == t.opt.Zone {
		return
	}
	known, ok := t.cross.summaries[s.Zone]
	if ok && s.Stamp <= known.summary.Stamp && now.Sub(known.at) < t.cfg.Cross.SilentAfter {
		return
	}
	if ok && s.Stamp == known.summary.Stamp {
		return
	}
	t.cross.summaries[s.Zone] = receivedSummary{summary: s, at: now}
	t.enqueueSummary(s)
}

func (t *Table) zoneNames() []id.Zone {
	var out []id.Zone
	for z := range t.cross.summaries {
		out = append(out, z)
	}
	for z := range t.cross.seeds {
		if _, ok := t.cross.summaries[z]; !ok {
			out = append(out, z)
		}
	}
	slices.Sort(out)
	return out
}

func (t *Table) zoneStatus(name id.Zone, now time.Time) ZoneStatus {
	z := ZoneStatus{Name: name}
	latest, ok := t.cross.summaries[name]
	if !ok {
		return z
	}
	z.Age = now.Sub(latest.at)
	z.Reachable = z.Age < t.cfg.Cross.SilentAfter
	z.Alive = latest.summary.Alive
	z.Contacts = slices.Clone(latest.summary.Contacts)
	z.Load = latest.summary.Load
	return z
}

// Zones returns the states of all other known zones, sorted by name.
func (t *Table) Zones(now time.Time) []ZoneStatus {
	var out []ZoneStatus
	for _, name := range t.zoneNames() {
		out = append(out, t.zoneStatus(name, now))
	}
	return out
}
