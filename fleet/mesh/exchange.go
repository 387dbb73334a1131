package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// message is a request between members. Exactly one of the pointers is set.
type message struct {
	Hello *hello        `cbor:"1,keyasint,omitempty"`
	Fetch *fetchRequest `cbor:"2,keyasint,omitempty"`
}

// hello is the state that members exchange at an interval.
type hello struct {
	Host        id.Host          `cbor:"1,keyasint"`
	Incarnation id.Incarnation   `cbor:"2,keyasint"`
	Versions    map[Topic]uint64 `cbor:"3,keyasint"`
	// State is the sender's state, for members of its cell.
	State []byte `cbor:"4,keyasint,omitempty"`
	// Member is set while the sender is unregistered or knows no other member.
	Member *Member `cbor:"5,keyasint,omitempty"`
	// Summary is the aggregate of the states in Cell, the sender's, for other cells.
	Summary []byte `cbor:"6,keyasint,omitempty"`
	Cell    string `cbor:"7,keyasint,omitempty"`
	// WatchesHealthy is true if the sender's watches of the platform work.
	WatchesHealthy bool `cbor:"8,keyasint,omitempty"`
}

// fetchRequest requests the value of a topic.
type fetchRequest struct {
	Topic Topic `cbor:"1,keyasint"`
	// Have is the sender's version, zero for none.
	Have uint64 `cbor:"2,keyasint,omitempty"`
}

// response is the reply to a message.
type response struct {
	Hello   *hello `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Data    []byte `cbor:"3,keyasint,omitempty"`
}

const (
	// packetOverheadBytes is the size of the packet headers of a message.
	packetOverheadBytes = 60
	// sizeSmoothingRounds is the time constant of the moving average of round sizes.
	sizeSmoothingRounds = 8
	// contactRetryDelay is the time after a failed call for which another contact in
	// the cell is preferred.
	contactRetryDelay = 2 * time.Second
	// minRoundInterval is the minimum time between two rounds, which batches changes
	// that occur close together.
	minRoundInterval = 20 * time.Millisecond
)

// runExchanges exchanges state with the cell and the contacts until ctx ends. Of two
// members of a cell only one calls; the response carries the other one's state.
func (m *Mesh) runExchanges(ctx context.Context) {
	urgent := false
	for ctx.Err() == nil {
		round := m.planRound(urgent)
		for _, p := range round.targets {
			go m.call(ctx, p, round)
		}
		for _, address := range round.seeds {
			go m.callSeed(ctx, address, round)
		}
		urgent = m.waitRound(ctx, m.Interval())
	}
}

// waitRound waits until the next round is due. It returns true if NotifyChange made
// it due.
func (m *Mesh) waitRound(ctx context.Context, d time.Duration) bool {
	sleep(ctx, minRoundInterval)
	t := time.NewTimer(d - minRoundInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.wake:
		return true
	}
	return false
}

// NotifyChange starts a round early, after a version has changed. It does not block.
func (m *Mesh) NotifyChange() {
	select {
	case m.wake <- struct{}{}:
	default: // An early round is already due.
	}
}

// round holds the targets and messages of one round of exchanges.
type round struct {
	targets []*peer
	seeds   []string
	// cellHello is the message for the own cell, remoteHello that for other cells.
	cellHello, remoteHello []byte
}

// planRound selects the members to call, or the seeds if no member is known. An
// urgent round also calls the cell members that otherwise call this entry.
func (m *Mesh) planRound(urgent bool) *round {
	r := &round{}
	now := time.Now()
	m.mu.Lock()
	l := m.currentLayout()
	self := m.opt.Self.Host
	for _, host := range l.cellMembers(self) {
		p := m.peers[host]
		if p == nil {
			continue
		}
		own := initiates(self, host)
		// A member that doesn't call in time may not know this entry.
		silent := now.Sub(p.lastSeen) > m.aliveTimeout()
		if p.callPending || (!own && !silent && !urgent) {
			continue
		}
		r.targets = append(r.targets, p)
	}
	for _, host := range l.contacts(self, func(h id.Host) bool { return now.Sub(m.peers[h].lastFailure) > contactRetryDelay }) {
		cell := l.cellByHost[host]
		own := l.callsCell(self, cell)
		silent := now.Sub(m.summaryAt[cell]) > m.aliveTimeout()
		if p := m.peers[host]; !p.callPending && (own || silent || urgent) {
			r.targets = append(r.targets, p)
		}
	}
	for _, p := range r.targets {
		p.callPending = true
	}
	if len(m.peers) == 0 {
		r.seeds = m.opt.Seeds
	}
	m.mu.Unlock()
	r.cellHello = m.encodeHello(true)
	if len(l.cellNames) > 1 {
		r.remoteHello = m.encodeHello(false)
	}
	m.updateRoundBytes(l, r)
	return r
}

// largestCell returns the number of members of the largest cell.
func (l layout) largestCell() int {
	largest := 0
	for _, hosts := range l.hostsByCell {
		largest = max(largest, len(hosts))
	}
	return largest
}

// callsCell reports whether a host calls its contact in another cell or waits for a call from
// there. Of two cells one calls; members that the calls of a smaller cell do not reach call too.
func (l layout) callsCell(host id.Host, cell string) bool {
	own := l.cellByHost[host]
	return initiates(id.Host(own), id.Host(cell)) || slices.Index(l.hostsByCell[own], host) >= len(l.hostsByCell[cell])
}

// initiates reports whether self calls other or waits for its call. Each member calls
// about half of its cell.
func initiates(self, other id.Host) bool {
	smaller := rendezvous.Score(string(min(self, other)), max(self, other))%2 == 0
	return smaller == (self < other)
}

// updateRoundBytes updates the moving average of the bytes of a round. Each exchange counts
// half, whichever side calls, and all cells as the largest one, so that all members have about the
// same interval: they judge by their own how often others should be heard of.
func (m *Mesh) updateRoundBytes(l layout, r *round) {
	inCell := l.largestCell() - 1
	toCells := len(l.cellNames) - 1
	bytes := float64(inCell*(len(r.cellHello)+packetOverheadBytes) + toCells*(len(r.remoteHello)+packetOverheadBytes))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.roundBytes == 0 {
		m.roundBytes = bytes
	}
	m.roundBytes += (bytes - m.roundBytes) / sizeSmoothingRounds
}

// encodeHello encodes the hello for members of the own cell or of others. It returns
// nil after an error.
func (m *Mesh) encodeHello(inner bool) []byte {
	payload, err := cbor.Marshal(message{Hello: m.newHello(inner)})
	if err != nil {
		m.opt.Log.Error().Err(err).Str("event", "greeting.not_encoded").Send()
		return nil
	}
	return payload
}

func (m *Mesh) call(ctx context.Context, p *peer, r *round) {
	m.mu.Lock()
	member := p.member
	payload := r.remoteHello
	if m.currentLayout().sameCell(m.opt.Self.Host, member.Host) {
		payload = r.cellHello
	}
	m.mu.Unlock()
	err := m.sendHello(ctx, member.Address, payload)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.callPending = false
	now := time.Now()
	if err == nil {
		p.lastFailure, p.failingSince = time.Time{}, time.Time{}
		return
	}
	p.lastFailure = now
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
	if p.alive && now.Sub(p.lastSeen) > m.aliveTimeout() {
		p.alive = false
		m.opt.Log.Warn().Err(err).Str("event", "member.silent").Str("member", string(member.Host)).
			Dur("silence", now.Sub(p.lastSeen)).Msg("member does not respond")
	}
}

func (m *Mesh) callSeed(ctx context.Context, address string, r *round) {
	if address == m.opt.Self.Address {
		return
	}
	if err := m.sendHello(ctx, address, r.cellHello); err != nil {
		m.opt.Log.Debug().Err(err).Str("event", "seed.silent").Str("seed", address).Send()
	}
}

func (m *Mesh) sendHello(ctx context.Context, address string, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	reply, err := m.opt.Caller.Call(ctx, address, payload)
	if err != nil {
		if ctx.Err() != nil {
			m.opt.Caller.Abandon(address) // The connection may be half-open.
		}
		return err
	}
	var a response
	if err := cbor.Unmarshal(reply, &a); err != nil {
		return err
	}
	if a.Hello != nil {
		m.handleHello(a.Hello)
	}
	return nil
}

// newHello returns the hello for members of the own cell or of others.
func (m *Mesh) newHello(inner bool) *hello {
	h := &hello{
		Host: m.opt.Self.Host, Incarnation: m.opt.Self.Incarnation, Versions: m.versions(),
		WatchesHealthy: m.opt.WatchesHealthy == nil || m.opt.WatchesHealthy(),
	}
	m.mu.Lock()
	l := m.currentLayout()
	h.WatchesHealthy = h.WatchesHealthy && m.watching
	if !m.isRegistered || len(m.peers) == 0 {
		h.Member = &m.opt.Self
	}
	m.mu.Unlock()
	if inner {
		h.State = m.opt.LocalState()
		return h
	}
	h.Cell = l.cellByHost[m.opt.Self.Host]
	h.Summary = m.opt.CellSummary(func(host id.Host) bool { return l.sameCell(m.opt.Self.Host, host) })
	return h
}

// Handle processes a call of another member. It is a transport.Handler.
func (m *Mesh) Handle(_ context.Context, payload []byte) ([]byte, error) {
	var in message
	if err := cbor.Unmarshal(payload, &in); err != nil {
		return nil, err
	}
	switch {
	case in.Hello != nil:
		m.handleHello(in.Hello)
		own := m.newHello(in.Hello.Cell == "")
		if in.Hello.Member != nil {
			own.Member = &m.opt.Self // A sender unknown to others may not know this entry either.
		}
		return cbor.Marshal(response{Hello: own})
	case in.Fetch != nil:
		v := m.valueSince(in.Fetch.Topic, in.Fetch.Have)
		return cbor.Marshal(response{Version: v.Version, Data: v.Data})
	}
	return nil, errUnknownMessage
}

// handleHello records the hello of a member.
func (m *Mesh) handleHello(h *hello) {
	now := time.Now()
	m.mu.Lock()
	if h.Member != nil && h.Host != m.opt.Self.Host {
		m.updatePeer(*h.Member, 0, now)
	}
	p := m.peers[h.Host]
	if p == nil || p.member.Incarnation != h.Incarnation {
		m.mu.Unlock()
		return // Its address is unknown until its registration arrives.
	}
	if !p.alive {
		p.alive = true
		m.opt.Log.Info().Str("event", "member.alive").Str("member", string(h.Host)).Msg("member responds")
	}
	p.lastSeen, p.versions, p.watchesHealthy = now, h.Versions, h.WatchesHealthy
	p.lastFailure, p.failingSince = time.Time{}, time.Time{}
	if h.Cell != "" {
		m.summaryAt[h.Cell] = now
	}
	member := p.member
	m.mu.Unlock()
	m.signalNewer()
	if h.Cell != "" {
		m.opt.OnSummary(h.Cell, h.Summary)
		return
	}
	m.opt.OnState(member, h.State)
}
