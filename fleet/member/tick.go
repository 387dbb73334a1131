package member

import (
	"slices"
	"time"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 100 * time.Millisecond

// Tick advances the table to now and returns the messages to send.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.compensatePause(now)
	t.recompute(now)
	out := t.notifyLeave(now)
	for _, h := range slices.Clone(t.order) {
		e := t.entries[h]
		t.expireState(e, now)
		if e.monitored {
			out = append(out, t.probeMonitored(e, now)...)
		}
	}
	if !now.Before(t.nextFingerProbe) {
		t.nextFingerProbe = now.Add(t.cfg.Zone.ProbeInterval)
		out = append(out, t.probeFingers(now)...)
	}
	if !now.Before(t.nextRejoinProbe) {
		t.nextRejoinProbe = now.Add(t.cfg.Zone.RejoinInterval)
		out = append(out, t.probeForRejoin()...)
	}
	for seq, r := range t.indirectProbes {
		if now.After(r.expires) {
			delete(t.indirectProbes, seq)
		}
	}
	return append(out, t.exchangeSummaries(now)...)
}

// notifyLeave pings all members that are not dead, once after Leave.
func (t *Table) notifyLeave(now time.Time) []Outgoing {
	if !t.leavePending {
		return nil
	}
	t.leavePending = false
	var out []Outgoing
	for _, h := range t.order {
		if e := t.entries[h]; e.peer.State != Dead {
			out = append(out, t.ping(e, now))
		}
	}
	return out
}

// compensatePause shifts all times by the length of a pause of the own process, so
// that the pause does not count as silence of others.
func (t *Table) compensatePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap < t.cfg.Zone.PauseAfter {
		return
	}
	for _, e := range t.entries {
		e.lastHeard = minTime(e.lastHeard.Add(gap), now)
		e.lastProbe = minTime(e.lastProbe.Add(gap), now)
		e.stateSince = minTime(e.stateSince.Add(gap), now)
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// expireState moves a host to the next state, or removes it, at its timeout.
func (t *Table) expireState(e *entry, now time.Time) {
	z := t.cfg.Zone
	switch e.peer.State {
	case Alive, Leaving:
		if e.monitored && e.unanswered > 1 && now.Sub(e.lastHeard) >= z.SuspectAfter {
			t.setState(e, Suspect, now)
		}
	case Suspect:
		if now.Sub(e.stateSince) >= z.DeadAfter {
			t.setState(e, Dead, now)
		}
	case Dead:
		if now.Sub(e.stateSince) >= z.Retention {
			t.remove(e.peer.Host)
		}
	}
}

func (t *Table) setState(e *entry, s State, now time.Time) {
	p := e.peer
	p.State = s
	t.applyUpdate(p, now)
}

// probeMonitored probes a successor at ProbeInterval. It retries an unanswered
// probe at RetryInterval, first over a new connection, with indirect probes.
func (t *Table) probeMonitored(e *entry, now time.Time) []Outgoing {
	z := t.cfg.Zone
	wait := z.ProbeInterval
	if e.unanswered > 0 {
		wait = z.RetryInterval
	}
	if now.Sub(e.lastProbe) < wait {
		return nil
	}
	repeat := e.unanswered > 0
	out := []Outgoing{t.ping(e, now)}
	if !repeat {
		return out
	}
	for _, helper := range t.randomEntries(z.IndirectProbes, func(h *entry) bool { return h.peer.State == Alive && h != e }) {
		about := e.peer
		m := t.newMessage(PingReq, helper.peer.Host)
		m.About = &about
		out = append(out, Outgoing{Address: helper.peer.Address, Message: m})
	}
	return out
}

// ping returns a probe of a host, over a new connection after one unanswered probe.
func (t *Table) ping(e *entry, now time.Time) Outgoing {
	e.lastProbe = now
	e.unanswered++
	return Outgoing{
		Address:   e.peer.Address,
		Reconnect: e.unanswered == 2,
		Message:   t.newMessage(Ping, e.peer.Host),
	}
}

// newMessage returns a message to a host of the zone with all piggybacked data.
func (t *Table) newMessage(typ MessageType, to id.Host) Message {
	t.seq++
	m := Message{Type: typ, Zone: t.opt.Zone, From: t.self, Seq: t.seq, Hash: t.hash, AppData: t.appData()}
	t.piggyback(&m, to)
	return m
}

func (t *Table) appData() []byte {
	if t.opt.AppData == nil {
		return nil
	}
	return t.opt.AppData()
}

// probeFingers probes the next fingers in rotation, so that updates cross the zone
// in few hops.
func (t *Table) probeFingers(now time.Time) []Outgoing {
	var out []Outgoing
	for range min(t.cfg.Zone.FingerProbes, len(t.fingers)) {
		t.fingerIndex++
		out = append(out, t.ping(t.entries[t.fingers[t.fingerIndex%len(t.fingers)]], now))
	}
	return out
}

// probeForRejoin probes one random host that is dead or only in the host list.
func (t *Table) probeForRejoin() []Outgoing {
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
	return []Outgoing{{Address: p.Address, Reconnect: true, Message: t.newMessage(Ping, p.Host)}}
}

// randomEntries returns up to n random entries that satisfy keep.
func (t *Table) randomEntries(n int, keep func(*entry) bool) []*entry {
	var all []*entry
	for _, h := range t.order {
		if e := t.entries[h]; keep(e) {
			all = append(all, e)
		}
	}
	t.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// SetHostList applies the platform's host list, which lags. Hosts of the own zone
// become seeds, and an alive host that the list marks as leaving becomes Leaving,
// once per incarnation. CrossConfig.Seeds hosts of each other zone are kept.
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
			t.markLeaving(h.Name, now)
			continue
		}
		t.seeds = append(t.seeds, p)
	}
	t.cross.setSeeds(others, t.self.Host, t.cfg.Cross.Seeds)
}

func (t *Table) markLeaving(h id.Host, now time.Time) {
	if h == t.self.Host {
		t.applySelf(Peer{Host: h, Incarnation: t.self.Incarnation, State: Leaving}, now)
		return
	}
	e := t.entries[h]
	if e == nil || e.peer.State != Alive || e.leavingHint == e.peer.Incarnation {
		return
	}
	e.leavingHint = e.peer.Incarnation
	t.setState(e, Leaving, now)
}
