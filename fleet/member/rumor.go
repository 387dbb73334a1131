package member

import "github.com/siskinford/siskinford/core/id"

// rumor is a claim or a summary that is repeated on the next messages.
type rumor struct {
	peer    *Peer
	summary *Summary
	left    int
}

// announce repeats a claim on the next messages, in place of earlier claims
// about the host.
func (t *Table) announce(p Peer) {
	t.forget(func(r *rumor) bool { return r.peer != nil && r.peer.Host == p.Host })
	t.queue = append(t.queue, &rumor{peer: &p, left: t.cfg.Zone.Transmits})
}

// announceSummary repeats a summary on the next messages inside the zone.
func (t *Table) announceSummary(s Summary) {
	t.forget(func(r *rumor) bool { return r.summary != nil && r.summary.Zone == s.Zone })
	t.queue = append(t.queue, &rumor{summary: &s, left: t.cfg.Cross.Transmits})
}

func (t *Table) forget(match func(*rumor) bool) {
	kept := t.queue[:0]
	for _, r := range t.queue {
		if !match(r) {
			kept = append(kept, r)
		}
	}
	t.queue = kept
}

// attach puts waiting claims and summaries on a message to a host of the zone.
// A claim about the receiver is always included if it is not Alive.
func (t *Table) attach(m *Message, to id.Host) {
	if e := t.entries[to]; e != nil && e.peer.State != Alive {
		m.Updates = append(m.Updates, e.peer)
	}
	room := t.cfg.Zone.MaxUpdates
	for _, r := range t.queue {
		if room == 0 {
			break
		}
		if r.peer != nil && r.peer.Host == to {
			continue
		}
		if r.peer != nil {
			m.Updates = append(m.Updates, *r.peer)
		} else {
			m.Summaries = append(m.Summaries, *r.summary)
		}
		r.left--
		room--
	}
	t.forget(func(r *rumor) bool { return r.left <= 0 })
}
