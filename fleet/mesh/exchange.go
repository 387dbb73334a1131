package mesh

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/rendezvous"
)

// message is what members send to each other. Exactly one of the pointers is set.
type message struct {
	Hello *hello `cbor:"1,keyasint,omitempty"`
	Want  *want  `cbor:"2,keyasint,omitempty"`
}

// hello tells about the sender.
type hello struct {
	Host        id.Host          `cbor:"1,keyasint"`
	Incarnation id.Incarnation   `cbor:"2,keyasint"`
	Versions    map[Topic]uint64 `cbor:"3,keyasint"`
	// State is the sender's own, for members of its cell.
	State []byte `cbor:"4,keyasint,omitempty"`
	// Member is set while the sender does not know that it is registered.
	Member *Member `cbor:"5,keyasint,omitempty"`
	// Summary is the sum of the states of the sender's cell, for other cells.
	Summary []byte `cbor:"6,keyasint,omitempty"`
	Cell    string `cbor:"7,keyasint,omitempty"`
	// Reads is true if the sender's watches of the platform are in order.
	Reads bool `cbor:"8,keyasint,omitempty"`
}

// want asks for a value.
type want struct {
	Topic Topic `cbor:"1,keyasint"`
	// Have is the version that the sender holds, zero for none.
	Have uint64 `cbor:"2,keyasint,omitempty"`
}

// answer is the reply to a message.
type answer struct {
	Hello   *hello `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Data    []byte `cbor:"3,keyasint,omitempty"`
}

const (
	// packetBytes is what the packets of a message take beside it.
	packetBytes = 60
	// sizeWeight is the number of rounds over which their usual size is taken.
	sizeWeight = 8
	// retryContact is the time after a call without an answer for which another
	// contact in the cell is preferred.
	retryContact = 2 * time.Second
	// changedPause is the least time between two rounds, so that changes that
	// come together are told together.
	changedPause = 20 * time.Millisecond
)

// exchange tells the cell and the contacts about the entry until ctx ends. Of two
// members of a cell one calls; the answer tells it of the other one.
func (m *Mesh) exchange(ctx context.Context) {
	urgent := false
	for ctx.Err() == nil {
		round := m.round(urgent)
		for _, p := range round.targets {
			go m.call(ctx, p, round)
		}
		for _, address := range round.seeds {
			go m.callSeed(ctx, address, round)
		}
		m.checkBehind(ctx, time.Now())
		urgent = m.waitRound(ctx, m.Interval())
	}
}

// waitRound waits until the next round is due. It is true if that is because a
// version has changed.
func (m *Mesh) waitRound(ctx context.Context, d time.Duration) bool {
	wait(ctx, changedPause)
	t := time.NewTimer(d - changedPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.changed:
		return true
	}
	return false
}

// NotifyChange tells the others at once that a version has changed. It does not wait.
func (m *Mesh) NotifyChange() {
	select {
	case m.changed <- struct{}{}:
	default: // The others are about to be told.
	}
}

// round is what one round of exchanges sends.
type round struct {
	targets []*peer
	seeds   []string
	// inner and outer are the messages for the own cell and for other ones.
	inner, outer []byte
}

// round collects the members to call, and the seeds if no member is known. In an
// urgent round also those are called that usually call themselves.
func (m *Mesh) round(urgent bool) *round {
	r := &round{}
	now := time.Now()
	m.mu.Lock()
	l := m.divided()
	self := m.opt.Self.Host
	exchanges := 0
	for _, host := range l.mates(self) {
		p := m.peers[host]
		if p == nil {
			continue
		}
		own := calls(self, host)
		if own {
			exchanges++
		}
		// A member that does not call in time may not know this one.
		silent := now.Sub(p.seen) > m.aliveFor()
		if p.calling || (!own && !silent && !urgent) {
			continue
		}
		r.targets = append(r.targets, p)
	}
	for _, host := range l.contacts(self, func(h id.Host) bool { return now.Sub(m.peers[h].failed) > retryContact }) {
		exchanges++
		if p := m.peers[host]; !p.calling {
			r.targets = append(r.targets, p)
		}
	}
	for _, p := range r.targets {
		p.calling = true
	}
	if len(m.peers) == 0 {
		r.seeds = m.opt.Seeds
	}
	m.mu.Unlock()
	r.inner = m.encode(true)
	if len(l.names) > 1 {
		r.outer = m.encode(false)
	}
	m.weigh(exchanges, max(len(r.inner), len(r.outer)))
	return r
}

// calls reports which of two members of a cell calls the other one, each about half
// of the others.
func calls(self, other id.Host) bool {
	smaller := rendezvous.Score(string(min(self, other)), max(self, other))%2 == 0
	return smaller == (self < other)
}

// weigh follows the bytes that the exchanges of a round take in both directions.
func (m *Mesh) weigh(exchanges, message int) {
	bytes := float64(exchanges * 2 * (message + packetBytes))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.roundBytes == 0 {
		m.roundBytes = bytes
	}
	m.roundBytes += (bytes - m.roundBytes) / sizeWeight
}

// encode returns the greeting for members of the own cell, or of others. It is nil
// if it cannot be encoded.
func (m *Mesh) encode(inner bool) []byte {
	payload, err := cbor.Marshal(message{Hello: m.hello(inner)})
	if err != nil {
		m.opt.Log.Error().Err(err).Str("event", "greeting.not_encoded").Send()
		return nil
	}
	return payload
}

func (m *Mesh) call(ctx context.Context, p *peer, r *round) {
	m.mu.Lock()
	member := p.member
	payload := r.outer
	if m.divided().together(m.opt.Self.Host, member.Host) {
		payload = r.inner
	}
	m.mu.Unlock()
	err := m.greet(ctx, member.Address, payload)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.calling = false
	now := time.Now()
	if err == nil {
		p.failed, p.silent = time.Time{}, time.Time{}
		return
	}
	p.failed = now
	if p.silent.IsZero() {
		p.silent = now
	}
	if p.alive && now.Sub(p.seen) > m.aliveFor() {
		p.alive = false
		m.opt.Log.Warn().Err(err).Str("event", "member.silent").Str("member", string(member.Host)).
			Dur("silence", now.Sub(p.seen)).Msg("an entry does not answer")
	}
}

func (m *Mesh) callSeed(ctx context.Context, address string, r *round) {
	if address == m.opt.Self.Address {
		return
	}
	if err := m.greet(ctx, address, r.inner); err != nil {
		m.opt.Log.Debug().Err(err).Str("event", "seed.silent").Str("seed", address).Send()
	}
}

func (m *Mesh) greet(ctx context.Context, address string, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	reply, err := m.opt.Caller.Call(ctx, address, payload)
	if err != nil {
		if ctx.Err() != nil {
			m.opt.Caller.Abandon(address) // The connection may be silent for good.
		}
		return err
	}
	var a answer
	if err := cbor.Unmarshal(reply, &a); err != nil {
		return err
	}
	if a.Hello != nil {
		m.meet(a.Hello)
	}
	return nil
}

// hello returns the greeting for members of the own cell, or of others.
func (m *Mesh) hello(inner bool) *hello {
	h := &hello{
		Host: m.opt.Self.Host, Incarnation: m.opt.Self.Incarnation, Versions: m.versions(),
		Reads: m.opt.WatchesHealthy == nil || m.opt.WatchesHealthy(),
	}
	m.mu.Lock()
	l := m.divided()
	h.Reads = h.Reads && m.watching
	if !m.inPlatform || len(m.peers) == 0 {
		h.Member = &m.opt.Self
	}
	m.mu.Unlock()
	if inner {
		h.State = m.opt.LocalState()
		return h
	}
	h.Cell = l.of[m.opt.Self.Host]
	h.Summary = m.opt.CellSummary(func(host id.Host) bool { return l.together(m.opt.Self.Host, host) })
	return h
}

// Handle answers the calls of other members. It is a transport.Handler.
func (m *Mesh) Handle(_ context.Context, payload []byte) ([]byte, error) {
	var in message
	if err := cbor.Unmarshal(payload, &in); err != nil {
		return nil, err
	}
	switch {
	case in.Hello != nil:
		m.meet(in.Hello)
		own := m.hello(in.Hello.Cell == "")
		if in.Hello.Member != nil {
			own.Member = &m.opt.Self // Who introduces itself may not know this entry either.
		}
		return cbor.Marshal(answer{Hello: own})
	case in.Want != nil:
		v := m.value(in.Want.Topic, in.Want.Have)
		return cbor.Marshal(answer{Version: v.Version, Data: v.Data})
	}
	return nil, errUnknownMessage
}

// meet takes in what a member tells of itself.
func (m *Mesh) meet(h *hello) {
	now := time.Now()
	m.mu.Lock()
	if h.Member != nil && h.Host != m.opt.Self.Host {
		m.note(*h.Member, 0, now)
	}
	p := m.peers[h.Host]
	if p == nil || p.member.Incarnation != h.Incarnation {
		m.mu.Unlock()
		return // Its registration will tell where it is.
	}
	if !p.alive {
		p.alive = true
		m.opt.Log.Info().Str("event", "member.alive").Str("member", string(h.Host)).Msg("an entry answers")
	}
	p.seen, p.versions, p.reads = now, h.Versions, h.Reads
	member := p.member
	m.mu.Unlock()
	if h.Cell != "" {
		m.opt.OnSummary(h.Cell, h.Summary)
		return
	}
	m.opt.OnState(member, h.State)
}
