package member

import "github.com/siskinford/siskinford/core/id"

// rumor is a queued membership update or zone summary to piggyback on messages.
type rumor struct {
	peer          *Peer
	summary       *Summary
	transmitsLeft int
}

// enqueueUpdate queues an update for the next messages and drops queued updates
// about the same host.
func (t *Table) enqueueUpdate(p Peer) {
	t.dequeue(func(r *rumor) bool { return r.peer != nil && r.peer.Host == p.Host })
	t.queue = append(t.queue, &rumor{peer: &p, transmitsLeft: t.cfg.Zone.Transmits})
}

// enqueueSummary queues a summary for the next messages inside the zone.
func (t *Table) enqueueSummary(s Summary) {
	t.dequeue(func(r *rumor) bool { return r.summary != nil && r.summary.Zone == s.Zone })
	t.queue = append(t.queue, &rumor{summary: &s, transmitsLeft: t.cfg.Cross.Transmits})
}

func (t *Table) dequeue(match func(*rumor) bool) {
	kept := t.queue[:0]
	for _, r := range t.queue {
		if !match(r) {
			kept = append(kept, r)
		}
	}
	t.queue = kept
}

// piggyback adds queued updates and summaries to a message inside the zone. The
// state of the receiver is always included if it is not Alive, so it can refute it.
func (t *Table) piggyback(m *Message, to id.Host) {
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
		r.transmitsLeft--
		room--
	}
	t.dequeue(func(r *rumor) bool { return r.transmitsLeft <= 0 })
}
