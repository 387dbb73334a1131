package member

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// indirectProbeTimeout is the time after which an indirect probe is dropped.
const indirectProbeTimeout = 2 * time.Second

// Handle processes a message and returns the messages to send. Those to
// m.From.Address may be sent as the answer to the call that carried m.
func (t *Table) Handle(m Message, now time.Time) []Outgoing {
	if m.Zone != t.opt.Zone {
		return t.handleRemoteZone(m, now)
	}
	t.applyPiggyback(m, now)
	t.recompute(now)
	var out []Outgoing
	switch m.Type {
	case Ping:
		out = append(out, t.reply(Ack, m))
	case Ack:
		out = t.handleAck(m, now)
	case PingReq:
		out = t.handlePingReq(m, now)
	case Sync:
		a := t.reply(SyncAnswer, m)
		a.Message.Updates = t.Members()
		out = append(out, a)
	}
	return append(out, t.startSync(m, now)...)
}

// applyPiggyback applies the sender's record and all piggybacked data of a message.
func (t *Table) applyPiggyback(m Message, now time.Time) {
	t.applyUpdate(m.From, now)
	t.markHeard(m.From.Host, now)
	for _, p := range m.Updates {
		t.applyUpdate(p, now)
	}
	for _, s := range m.Summaries {
		t.applySummary(s, now)
	}
	t.deliverAppData(m.From, m.Zone, m.AppData)
}

func (t *Table) deliverAppData(from Peer, zone id.Zone, data []byte) {
	if t.opt.OnAppData != nil && len(data) > 0 && from.Host != t.self.Host {
		t.opt.OnAppData(from, zone, data)
	}
}

func (t *Table) reply(typ MessageType, m Message) Outgoing {
	a := t.newMessage(typ, m.From.Host)
	a.Seq = m.Seq
	return Outgoing{Address: m.From.Address, Message: a}
}

func (t *Table) handleAck(m Message, now time.Time) []Outgoing {
	if m.About != nil {
		t.applyUpdate(*m.About, now)
		t.markHeard(m.About.Host, now)
		return nil
	}
	r, ok := t.indirectProbes[m.Seq]
	if !ok {
		return nil
	}
	delete(t.indirectProbes, m.Seq)
	about := m.From
	a := t.newMessage(Ack, "")
	a.Seq = r.seq
	a.About = &about
	return []Outgoing{{Address: r.requester, Message: a}}
}

// handlePingReq probes the host in m.About on behalf of the sender.
func (t *Table) handlePingReq(m Message, now time.Time) []Outgoing {
	if m.About == nil {
		return nil
	}
	if m.About.Host == t.self.Host {
		return []Outgoing{t.reply(Ack, m)}
	}
	p := t.newMessage(Ping, m.About.Host)
	t.indirectProbes[p.Seq] = indirectProbe{requester: m.From.Address, seq: m.Seq, expires: now.Add(indirectProbeTimeout)}
	return []Outgoing{{Address: m.About.Address, Message: p}}
}

// startSync starts a full sync with a host whose member hash differs, unless
// updates are still queued.
func (t *Table) startSync(m Message, now time.Time) []Outgoing {
	if m.Type != Ping && m.Type != Ack {
		return nil
	}
	if m.Hash == t.hash || now.Before(t.nextSync) {
		return nil
	}
	for _, r := range t.queue {
		if r.peer != nil {
			return nil
		}
	}
	jitter := time.Duration(t.rng.Int64N(int64(t.cfg.Zone.SyncInterval)))
	t.nextSync = now.Add(t.cfg.Zone.SyncInterval + jitter)
	s := t.newMessage(Sync, m.From.Host)
	s.Updates = t.Members()
	return []Outgoing{{Address: m.From.Address, Message: s}}
}
