package member

import (
	"time"

	"github.com/siskinford/siskinford/core/id"
)

// relayTimeout bounds the time for which a probe made for another host is remembered.
const relayTimeout = 2 * time.Second

// Handle takes in a message and returns the messages to send. Those to
// m.From.Address may travel as answer to the call that carried m.
func (t *Table) Handle(m Message, now time.Time) []Outgoing {
	if m.Zone != t.opt.Zone {
		return t.handleForeign(m, now)
	}
	t.receive(m, now)
	t.refresh(now)
	var out []Outgoing
	switch m.Type {
	case Ping:
		out = append(out, t.answer(Ack, m))
	case Ack:
		out = t.handleAck(m, now)
	case PingReq:
		out = t.handleForward(m, now)
	case Sync:
		a := t.answer(SyncAnswer, m)
		a.Message.Updates = t.Members()
		out = append(out, a)
	}
	return append(out, t.sync(m, now)...)
}

// receive takes in all that rides on a message of the own zone.
func (t *Table) receive(m Message, now time.Time) {
	t.apply(m.From, now)
	t.heard(m.From.Host, now)
	for _, p := range m.Updates {
		t.apply(p, now)
	}
	for _, s := range m.Summaries {
		t.takeSummary(s, now)
	}
	t.deliverNote(m.From, m.Zone, m.AppData)
}

func (t *Table) deliverNote(from Peer, zone id.Zone, note []byte) {
	if t.opt.OnAppData != nil && len(note) > 0 && from.Host != t.self.Host {
		t.opt.OnAppData(from, zone, note)
	}
}

func (t *Table) answer(typ MessageType, m Message) Outgoing {
	a := t.message(typ, m.From.Host)
	a.Seq = m.Seq
	return Outgoing{Address: m.From.Address, Message: a}
}

func (t *Table) handleAck(m Message, now time.Time) []Outgoing {
	if m.About != nil {
		t.apply(*m.About, now)
		t.heard(m.About.Host, now)
		return nil
	}
	r, ok := t.relays[m.Seq]
	if !ok {
		return nil
	}
	delete(t.relays, m.Seq)
	about := m.From
	a := t.message(Ack, "")
	a.Seq = r.seq
	a.About = &about
	return []Outgoing{{Address: r.origin, Message: a}}
}

// handleForward probes a host for another one.
func (t *Table) handleForward(m Message, now time.Time) []Outgoing {
	if m.About == nil {
		return nil
	}
	if m.About.Host == t.self.Host {
		return []Outgoing{t.answer(Ack, m)}
	}
	p := t.message(Ping, m.About.Host)
	t.relays[p.Seq] = relay{origin: m.From.Address, seq: m.Seq, expires: now.Add(relayTimeout)}
	return []Outgoing{{Address: m.About.Address, Message: p}}
}

// sync starts an exchange of all members with a host whose members differ,
// unless claims are still on their way.
func (t *Table) sync(m Message, now time.Time) []Outgoing {
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
	s := t.message(Sync, m.From.Host)
	s.Updates = t.Members()
	return []Outgoing{{Address: m.From.Address, Message: s}}
}
