package edge

import (
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/entry/direct"
	"github.com/siskinford/siskinford/fleet/duty"
	"github.com/siskinford/siskinford/fleet/mesh"
)

// state is an entry's payload in each exchange within its cell.
type state struct {
	// Loads is the entry's load at each endpoint, encoded by direct.LoadExchange.
	Loads []byte `cbor:"1,keyasint,omitempty"`
	// Claims holds the fencing tokens of the duties that the entry performs.
	Claims map[duty.Name]uint64 `cbor:"2,keyasint,omitempty"`
	// Leaving holds the endpoints that said so to the entry, with the revisions of their registrations.
	Leaving map[id.Endpoint]uint64 `cbor:"3,keyasint,omitempty"`
	// Quarantine holds what is known of harmful parts of prompts.
	Quarantine direct.QuarantineRecords `cbor:"4,keyasint,omitempty"`
}

// summary is the payload sent to other cells: the combined state of the own cell.
type summary struct {
	// Loads is the cell's load at each endpoint.
	Loads []byte `cbor:"1,keyasint,omitempty"`
	// Claims holds the claims of the cell's members that have any, by lease holder.
	Claims map[string]map[duty.Name]uint64 `cbor:"2,keyasint,omitempty"`
	// Leaving holds the endpoints that said so to an entry of the cell.
	Leaving map[id.Endpoint]uint64 `cbor:"3,keyasint,omitempty"`
	// Quarantine holds what is known of harmful parts of prompts.
	Quarantine direct.QuarantineRecords `cbor:"4,keyasint,omitempty"`
}

const (
	// claimTTL is the time for which a received claim is valid.
	claimTTL = 2 * time.Second
	// claimTTLExchanges is the minimum of that time in exchange intervals.
	claimTTLExchanges = 4
)

// claimTable holds the latest claims of other entries. It is safe for concurrent use.
type claimTable struct {
	// interval returns the time between exchanges.
	interval func() time.Duration

	mu     sync.Mutex // leaf lock
	claims map[id.Host]hostClaims
}

// atLeastExchanges returns the longer of d and n exchange intervals.
func (s *claimTable) atLeastExchanges(d time.Duration, n int) time.Duration {
	return max(d, time.Duration(n)*s.interval())
}

type hostClaims struct {
	receivedAt time.Time
	// holder is the lease holder name of the entry's incarnation.
	holder string
	epochs map[duty.Name]uint64
}

// record stores the latest claims of a holder.
func (s *claimTable) record(holder string, epochs map[duty.Name]uint64) {
	host, _, _ := strings.Cut(holder, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims == nil {
		s.claims = make(map[id.Host]hostClaims)
	}
	s.claims[id.Host(host)] = hostClaims{receivedAt: time.Now(), holder: holder, epochs: epochs}
}

// byHolder returns the valid claims of the included hosts by lease holder.
func (s *claimTable) byHolder(include func(id.Host) bool) map[string]map[duty.Name]uint64 {
	limit := s.atLeastExchanges(claimTTL, claimTTLExchanges)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]map[duty.Name]uint64)
	for host, c := range s.claims {
		if len(c.epochs) > 0 && include(host) && time.Since(c.receivedAt) < limit {
			out[c.holder] = c.epochs
		}
	}
	return out
}

// sinceClaim returns the time since a holder's last claim. It is false if the table
// has none.
func (s *claimTable) sinceClaim(holder string) (time.Duration, bool) {
	host, _, _ := strings.Cut(holder, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.claims[id.Host(host)]
	return time.Since(c.receivedAt), ok && c.holder == holder && len(c.epochs) > 0
}

// highestEpoch returns the highest fencing token that another entry claims for a
// duty. It deletes expired claims.
func (s *claimTable) highestEpoch(d duty.Name) uint64 {
	limit := s.atLeastExchanges(claimTTL, claimTTLExchanges)
	s.mu.Lock()
	defer s.mu.Unlock()
	var highest uint64
	for host, c := range s.claims {
		if time.Since(c.receivedAt) > limit {
			delete(s.claims, host)
			continue
		}
		highest = max(highest, c.epochs[d])
	}
	return highest
}

// activeTTL and activeTTLExchanges are the time and the minimum number of exchange
// intervals for which an entry is assumed to perform a duty after claiming it.
const (
	activeTTL          = 500 * time.Millisecond
	activeTTLExchanges = 3
)

// isActive reports whether a holder recently claimed a duty.
func (s *claimTable) isActive(holder string, d duty.Name) bool {
	limit := s.atLeastExchanges(activeTTL, activeTTLExchanges)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.claims {
		if c.holder == holder && time.Since(c.receivedAt) < limit && c.epochs[d] != 0 {
			return true
		}
	}
	return false
}

// encodeState returns the state to send to other entries of the cell.
func (e *Edge) encodeState() []byte {
	loads, err := e.loads.Encode()
	if err == nil {
		var b []byte
		if b, err = cbor.Marshal(state{Loads: loads, Claims: e.groups.claimedEpochs(), Leaving: e.handler.Departures(direct.OwnResponse), Quarantine: e.handler.EncodeQuarantine()}); err == nil {
			return b
		}
	}
	e.log.Error().Err(err).Str("event", "state.not_encoded").Send()
	return nil
}

// encodeSummary returns the combined state of the included hosts to send to other cells.
func (e *Edge) encodeSummary(include func(id.Host) bool) []byte {
	loads, err := e.loads.EncodeSum(include)
	if err == nil {
		claims := e.claims.byHolder(include)
		if own := e.groups.claimedEpochs(); len(own) > 0 {
			claims[holderName(e.self.Host, e.self.Incarnation)] = own
		}
		var b []byte
		if b, err = cbor.Marshal(summary{Loads: loads, Claims: claims, Leaving: e.handler.Departures(direct.CellMember), Quarantine: e.handler.EncodeQuarantine()}); err == nil {
			return b
		}
	}
	e.log.Error().Err(err).Str("event", "state.not_encoded").Send()
	return nil
}

// applyState records the state received from another entry.
func (e *Edge) applyState(m mesh.Member, data []byte) {
	var s state
	err := cbor.Unmarshal(data, &s)
	if err == nil {
		e.claims.record(holderName(m.Host, m.Incarnation), s.Claims)
		e.handler.ApplyDepartures(s.Leaving, direct.CellMember)
		e.handler.ApplyQuarantine(s.Quarantine)
		err = e.loads.SetHostLoads(m.Host, s.Loads)
	}
	if err != nil {
		e.log.Error().Err(err).Str("event", "state.rejected").Str("member", string(m.Host)).Send()
	}
}

// applySummary records the combined state received from another cell.
func (e *Edge) applySummary(cell string, data []byte) {
	var s summary
	err := cbor.Unmarshal(data, &s)
	if err == nil {
		for holder, epochs := range s.Claims {
			e.claims.record(holder, epochs)
		}
		e.handler.ApplyDepartures(s.Leaving, direct.OtherCell)
		e.handler.ApplyQuarantine(s.Quarantine)
		err = e.loads.SetCellLoads(cell, s.Loads)
	}
	if err != nil {
		e.log.Error().Err(err).Str("event", "state.rejected").Str("cell", cell).Send()
	}
}
