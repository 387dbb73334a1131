package member

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// ZoneStatus is what a table knows about another zone.
type ZoneStatus struct {
	Name id.Zone
	// Reachable is true if a summary arrived within CrossConfig.SilentAfter.
	Reachable bool
	// Alive is the number of hosts that took new work at the last summary.
	Alive int
	// Contacts are hosts of the zone that take calls from other zones.
	Contacts []Peer
	// Load is the zone's opaque aggregate.
	Load []byte
	// Age is the time since the last summary arrived.
	Age time.Duration
}

// received is a summary and the time of its arrival.
type received struct {
	summary Summary
	at      time.Time
}

// cross is the state of the protocol between zones.
type cross struct {
	// summaries holds the last summary of each other zone.
	summaries map[id.Zone]received
	// seeds are hosts from the host list, to reach zones without a summary.
	seeds map[id.Zone][]Peer
	next  time.Time
	// turn rotates through the contacts of a zone that does not answer.
	turn int
}

func newCross() cross {
	return cross{
		summaries: make(map[id.Zone]received),
		seeds:     make(map[id.Zone][]Peer),
	}
}

func (c *cross) setSeeds(others map[id.Zone][]Peer, self id.Host, bound int) {
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

// delegateRank returns the position of the own host among the zone's delegates,
// or false if it is none.
func (t *Table) delegateRank() (int, bool) {
	at := slices.Index(t.delegates(), t.self.Host)
	return at, at >= 0
}

func (t *Table) delegates() []id.Host {
	ranked := rendezvous.Rank("delegate/"+string(t.opt.Zone), hosts(t.Live()))
	return ranked[:min(t.cfg.Cross.Delegates, len(ranked))]
}

// exchange sends the own zone's summary to one contact of each other zone if
// the own host is a delegate.
func (t *Table) exchange(now time.Time) []Outgoing {
	if now.Before(t.cross.next) {
		return nil
	}
	jitter := time.Duration(t.rng.Int64N(int64(t.cfg.Cross.Interval / 10)))
	t.cross.next = now.Add(t.cfg.Cross.Interval - jitter)
	rank, ok := t.delegateRank()
	if !ok {
		return nil
	}
	t.cross.turn++
	var out []Outgoing
	for _, zone := range t.zoneNames() {
		if t.exchanged(zone, now) {
			continue
		}
		contacts, fresh := t.contacts(zone, now)
		if len(contacts) == 0 {
			continue
		}
		at := rank
		if fresh {
			at += t.cross.turn
		}
		p := contacts[at%len(contacts)]
		m := Message{Type: Exchange, Zone: t.opt.Zone, From: t.self, AppData: t.note()}
		m.Summaries = []Summary{t.summary(now)}
		out = append(out, Outgoing{Address: p.Address, Reconnect: fresh, Message: m})
	}
	return out
}

// exchanged reports whether a summary of a zone arrived so lately that another
// delegate, of this or that zone, must have made the exchange that is due.
func (t *Table) exchanged(zone id.Zone, now time.Time) bool {
	z := t.zone(zone, now)
	return z.Reachable && z.Age < t.cfg.Cross.Interval*3/4
}

// contacts returns hosts of another zone to call. The result is true if the
// zone is not reachable, in which case seeds are included.
func (t *Table) contacts(zone id.Zone, now time.Time) ([]Peer, bool) {
	z := t.zone(zone, now)
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

// handleForeign takes in a message of another zone.
func (t *Table) handleForeign(m Message, now time.Time) []Outgoing {
	for _, s := range m.Summaries {
		t.takeSummary(s, now)
	}
	t.deliverNote(m.From, m.Zone, m.AppData)
	if m.Type != Exchange {
		return nil
	}
	a := Message{Type: ExchangeAnswer, Zone: t.opt.Zone, From: t.self, AppData: t.note()}
	a.Summaries = []Summary{t.summary(now)}
	return []Outgoing{{Address: m.From.Address, Message: a}}
}

// takeSummary keeps a summary that is newer than the last of its zone and
// repeats it inside the own zone. After a silence any summary is kept, so that a
// delegate whose clock was ahead does not hide its successors.
func (t *Table) takeSummary(s Summary, now time.Time) {
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
	t.cross.summaries[s.Zone] = received{summary: s, at: now}
	t.announceSummary(s)
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

func (t *Table) zone(name id.Zone, now time.Time) ZoneStatus {
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

// Zones returns what is known of the other zones, sorted by name.
func (t *Table) Zones(now time.Time) []ZoneStatus {
	var out []ZoneStatus
	for _, name := range t.zoneNames() {
		out = append(out, t.zone(name, now))
	}
	return out
}
