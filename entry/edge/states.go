package edge

import (
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/mesh"
)

// state is what entries tell each other at each greeting.
type state struct {
	// Loads is what the entry runs at the endpoints, as direct.LoadExchange encodes it.
	Loads []byte `cbor:"1,keyasint,omitempty"`
	// Claims are the fencing numbers under which the entry performs duties.
	Claims map[duty.Name]uint64 `cbor:"2,keyasint,omitempty"`
}

// summary is what entries tell other cells of their own.
type summary struct {
	// Loads is what the cell runs at the endpoints.
	Loads []byte `cbor:"1,keyasint,omitempty"`
	// Claims are those of the members of the cell that have any, by holder.
	Claims map[string]map[duty.Name]uint64 `cbor:"2,keyasint,omitempty"`
}

const (
	// claimsFor is the time for which the claims of another entry count after they arrived.
	claimsFor = 2 * time.Second
	// claimIntervals is the number of exchanges for which they count at least.
	claimIntervals = 4
)

// states holds the claims of other entries. It is safe for concurrent use.
type states struct {
	// interval returns the time between exchanges.
	interval func() time.Duration

	mu     sync.Mutex // leaf lock
	claims map[id.Host]claims
}

// lasts returns a time that is a number of exchanges at least.
func (s *states) lasts(d time.Duration, exchanges int) time.Duration {
	return max(d, time.Duration(exchanges)*s.interval())
}

type claims struct {
	at time.Time
	// holder is the name of the entry's incarnation as the holder of leases.
	holder string
	of     map[duty.Name]uint64
}

// note takes in what a holder claims.
func (s *states) note(holder string, of map[duty.Name]uint64) {
	host, _, _ := strings.Cut(holder, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims == nil {
		s.claims = make(map[id.Host]claims)
	}
	s.claims[id.Host(host)] = claims{at: time.Now(), holder: holder, of: of}
}

// of returns what some entries claim, by holder.
func (s *states) of(hosts func(id.Host) bool) map[string]map[duty.Name]uint64 {
	limit := s.lasts(claimsFor, claimIntervals)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]map[duty.Name]uint64)
	for host, c := range s.claims {
		if len(c.of) > 0 && hosts(host) && time.Since(c.at) < limit {
			out[c.holder] = c.of
		}
	}
	return out
}

// silence returns the time since a holder last claimed anything. It is false if
// that was long ago.
func (s *states) silence(holder string) (time.Duration, bool) {
	host, _, _ := strings.Cut(holder, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.claims[id.Host(host)]
	return time.Since(c.at), ok && c.holder == holder && len(c.of) > 0
}

// claimed returns the highest fencing number that another entry claims for a duty.
func (s *states) claimed(d duty.Name) uint64 {
	limit := s.lasts(claimsFor, claimIntervals)
	s.mu.Lock()
	defer s.mu.Unlock()
	var highest uint64
	for host, c := range s.claims {
		if time.Since(c.at) > limit {
			delete(s.claims, host)
			continue
		}
		highest = max(highest, c.of[d])
	}
	return highest
}

// actingFor and actingIntervals are the time and the number of exchanges for which
// an entry is taken to act after it said so.
const (
	actingFor       = 500 * time.Millisecond
	actingIntervals = 3
)

// acting reports whether a holder lately claimed a duty.
func (s *states) acting(holder string, d duty.Name) bool {
	limit := s.lasts(actingFor, actingIntervals)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.claims {
		if c.holder == holder && time.Since(c.at) < limit && c.of[d] != 0 {
			return true
		}
	}
	return false
}

// encodeState returns what this entry tells the others.
func (e *Edge) encodeState() []byte {
	loads, err := e.loads.Encode()
	if err == nil {
		var b []byte
		if b, err = cbor.Marshal(state{Loads: loads, Claims: e.maps.claimed()}); err == nil {
			return b
		}
	}
	e.log.Error().Err(err).Str("event", "state.not_encoded").Send()
	return nil
}

// encodeSummary returns what this entry tells other cells of some of its own.
func (e *Edge) encodeSummary(of func(id.Host) bool) []byte {
	loads, err := e.loads.EncodeSum(of)
	if err == nil {
		claims := e.states.of(of)
		if own := e.maps.claimed(); len(own) > 0 {
			claims[holderName(e.self.Host, e.self.Incarnation)] = own
		}
		var b []byte
		if b, err = cbor.Marshal(summary{Loads: loads, Claims: claims}); err == nil {
			return b
		}
	}
	e.log.Error().Err(err).Str("event", "state.not_encoded").Send()
	return nil
}

// takeState takes in what another entry tells.
func (e *Edge) takeState(m mesh.Member, data []byte) {
	var s state
	err := cbor.Unmarshal(data, &s)
	if err == nil {
		e.states.note(holderName(m.Host, m.Incarnation), s.Claims)
		err = e.loads.SetHostLoads(m.Host, s.Loads)
	}
	if err != nil {
		e.log.Error().Err(err).Str("event", "state.rejected").Str("member", string(m.Host)).Send()
	}
}

// takeSummary takes in what an entry of another cell tells of it.
func (e *Edge) takeSummary(cell string, data []byte) {
	var s summary
	err := cbor.Unmarshal(data, &s)
	if err == nil {
		for holder, of := range s.Claims {
			e.states.note(holder, of)
		}
		err = e.loads.SetCellLoads(cell, s.Loads)
	}
	if err != nil {
		e.log.Error().Err(err).Str("event", "state.rejected").Str("cell", cell).Send()
	}
}
