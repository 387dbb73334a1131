package member

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 100 * time.Millisecond

// Tick advances the table to a time and returns the messages to send. It must
// be called every TickInterval.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.excusePause(now)
	t.refresh(now)
	out := t.sayFarewell(now)
	for _, h := range slices.Clone(t.order) {
		e := t.entries[h]
		t.age(e, now)
		if e.monitored {
			out = append(out, t.probeMonitored(e, now)...)
		}
	}
	if !now.Before(t.nextDistant) {
		t.nextDistant = now.Add(t.cfg.Zone.ProbeInterval)
		out = append(out, t.probeDistant(now)...)
	}
	if !now.Before(t.nextRejoin) {
		t.nextRejoin = now.Add(t.cfg.Zone.RejoinInterval)
		out = append(out, t.probeAbsent()...)
	}
	for seq, r := range t.relays {
		if now.After(r.expires) {
			delete(t.relays, seq)
		}
	}
	return append(out, t.exchange(now)...)
}

// sayFarewell probes all members once after the own host was marked as leaving.
func (t *Table) sayFarewell(now time.Time) []Outgoing {
	if !t.farewell {
		return nil
	}
	t.farewell = false
	var out []Outgoing
	for _, h := range t.order {
		if e := t.entries[h]; e.peer.State != Dead {
			out = append(out, t.ping(e, now))
		}
	}
	return out
}

// excusePause moves all times by the length of a pause of the own process, so
// that the pause does not count as silence of others.
func (t *Table) excusePause(now time.Time) {
	gap := now.Sub(t.last)
	t.last = now
	if gap < t.cfg.Zone.PauseAfter {
		return
	}
	for _, e := range t.entries {
		e.heard = earlier(e.heard.Add(gap), now)
		e.pinged = earlier(e.pinged.Add(gap), now)
		e.since = earlier(e.since.Add(gap), now)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// age moves a host to the next state when its time is over.
func (t *Table) age(e *entry, now time.Time) {
	z := t.cfg.Zone
	switch e.peer.State {
	case Alive, Leaving:
		if e.monitored && e.misses > 1 && now.Sub(e.heard) >= z.SuspectAfter {
			t.claim(e, Suspect, now)
		}
	case Suspect:
		if now.Sub(e.since) >= z.DeadAfter {
			t.claim(e, Dead, now)
		}
	case Dead:
		if now.Sub(e.since) >= z.Retention {
			t.remove(e.peer.Host)
		}
	}
}

func (t *Table) claim(e *entry, s State, now time.Time) {
	p := e.peer
	p.State = s
	t.apply(p, now)
}

// probeMonitored probes a successor at the interval and repeats a probe that
// was not answered, over a fresh connection first and by helpers.
func (t *Table) probeMonitored(e *entry, now time.Time) []Outgoing {
	z := t.cfg.Zone
	wait := z.ProbeInterval
	if e.misses > 0 {
		wait = z.RetryInterval
	}
	if now.Sub(e.pinged) < wait {
		return nil
	}
	repeat := e.misses > 0
	out := []Outgoing{t.ping(e, now)}
	if !repeat {
		return out
	}
	for _, helper := range t.pick(z.IndirectProbes, func(h *entry) bool { return h.peer.State == Alive && h != e }) {
		about := e.peer
		m := t.message(PingReq, helper.peer.Host)
		m.About = &about
		out = append(out, Outgoing{Address: helper.peer.Address, Message: m})
	}
	return out
}

// ping probes a host, over a fresh connection if the last probe was not answered.
func (t *Table) ping(e *entry, now time.Time) Outgoing {
	e.pinged = now
	e.misses++
	return Outgoing{
		Address:   e.peer.Address,
		Reconnect: e.misses == 2,
		Message:   t.message(Ping, e.peer.Host),
	}
}

// message returns a message to a host of the zone with all that rides on it.
func (t *Table) message(typ MessageType, to id.Host) Message {
	t.seq++
	m := Message{Type: typ, Zone: t.opt.Zone, From: t.self, Seq: t.seq, Hash: t.hash, AppData: t.note()}
	t.attach(&m, to)
	return m
}

func (t *Table) note() []byte {
	if t.opt.AppData == nil {
		return nil
	}
	return t.opt.AppData()
}

// probeDistant probes the next of the distant hosts, so that claims cross the
// zone in few steps.
func (t *Table) probeDistant(now time.Time) []Outgoing {
	var out []Outgoing
	for range min(t.cfg.Zone.FingerProbes, len(t.distant)) {
		t.turn++
		out = append(out, t.ping(t.entries[t.distant[t.turn%len(t.distant)]], now))
	}
	return out
}

// probeAbsent probes one host that is dead or only known from the host list.
func (t *Table) probeAbsent() []Outgoing {
	var absent []Peer
	for _, h := range t.order {
		if e := t.entries[h]; e.peer.State == Dead {
			absent = append(absent, e.peer)
		}
	}
	for _, s := range t.seeds {
		if s.Host != t.self.Host && t.entries[s.Host] == nil {
			absent = append(absent, s)
		}
	}
	if len(absent) == 0 {
		return nil
	}
	p := absent[t.rng.IntN(len(absent))]
	return []Outgoing{{Address: p.Address, Reconnect: true, Message: t.message(Ping, p.Host)}}
}

// pick returns up to n random entries for which keep returns true.
func (t *Table) pick(n int, keep func(*entry) bool) []*entry {
	var all []*entry
	for _, h := range t.order {
		if e := t.entries[h]; keep(e) {
			all = append(all, e)
		}
	}
	t.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// SetHostList takes in the platform's lagging host list. Hosts of the own zone
// become seeds, and a live host that the list calls leaving is marked once for
// each of its incarnations. Of each other zone only few hosts are remembered.
func (t *Table) SetHostList(list []objectapi.Host, now time.Time) {
	t.seeds = t.seeds[:0]
	others := make(map[id.Zone][]Peer)
	for _, h := range list {
		p := Peer{Host: h.Name, Address: h.Address}
		if h.Zone != t.opt.Zone {
			others[h.Zone] = append(others[h.Zone], p)
			continue
		}
		if h.State == objectapi.HostLeaving {
			t.hintLeaving(h.Name, now)
			continue
		}
		t.seeds = append(t.seeds, p)
	}
	t.cross.setSeeds(others, t.self.Host, t.cfg.Cross.Seeds)
}

func (t *Table) hintLeaving(h id.Host, now time.Time) {
	if h == t.self.Host {
		t.applySelf(Peer{Host: h, Incarnation: t.self.Incarnation, State: Leaving}, now)
		return
	}
	e := t.entries[h]
	if e == nil || e.peer.State != Alive || e.hinted == e.peer.Incarnation {
		return
	}
	e.hinted = e.peer.Incarnation
	t.claim(e, Leaving, now)
}
