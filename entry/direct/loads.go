package direct

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/balance/scheduler"
	"github.com/siskinford/siskinford/core/id"
)

// promptUnitTokens is the resolution of prompt tokens between entries.
const promptUnitTokens = 128

const (
	// maxCount is the largest count that fits in half a byte.
	maxCount = 15
	// maxLoadParts bounds the encoded loads of one endpoint. They cover 960 requests and 122,880 prompt tokens, beyond
	// which what callers say of their prompts makes messages no longer.
	maxLoadParts = 64
)

// endpointLoadBytes is the size of an encoded load: a hash of the endpoint's name, and a byte
// that holds the running requests in its upper half and the units of prompt tokens in its lower.
// Loads of the same name add up: counts beyond maxCount take several of them. Names are unique within a service except
// for one in many thousand pairs.
const (
	nameHashBytes     = 3
	endpointLoadBytes = nameHashBytes + 1
)

// serviceLoads are the requests at the endpoints of one service that have any. They do not
// depend on the list of endpoints, which may differ between entries.
type serviceLoads struct {
	// Loads has endpointLoadBytes for each endpoint with requests. The keys 1 to 3 were used by
	// a former encoding.
	Loads []byte `cbor:"4,keyasint"`
	// Learnt has learntReportBytes for each endpoint that differs.
	Learnt []byte `cbor:"5,keyasint,omitempty"`
	// UsualMicros is the time of an answer that the sender takes for the usual one, zero if unknown.
	UsualMicros uint32 `cbor:"6,keyasint,omitempty"`
	// Waiting counts the waiting requests by rank, in a service whose requests compete by rank.
	Waiting []waitingRequests `cbor:"7,keyasint,omitempty"`
}

// waitingRequests is a number of waiting requests of one rank.
type waitingRequests struct {
	_     struct{} `cbor:",toarray"`
	Team  int
	Route int
	Count int
}

// addWaiting adds the waiting requests to sum.
func (s serviceLoads) addWaiting(sum map[scheduler.Rank]int) {
	for _, w := range s.Waiting {
		sum[scheduler.Rank{Team: w.Team, Route: w.Route}] += max(w.Count, 0)
	}
}

// encodeWaiting returns waiting requests for other entries.
func encodeWaiting(sum map[scheduler.Rank]int) []waitingRequests {
	out := make([]waitingRequests, 0, len(sum))
	for rank, n := range sum {
		out = append(out, waitingRequests{Team: rank.Team, Route: rank.Route, Count: n})
	}
	return out
}

// loadsByHash are loads by the hash of the endpoint's name.
type loadsByHash map[uint32]scheduler.Load

func (l loadsByHash) add(hash uint32, load scheduler.Load) {
	sum := l[hash]
	sum.Running += load.Running
	sum.PromptTokens += load.PromptTokens
	l[hash] = sum
}

// encode returns the loads for other entries.
func (l loadsByHash) encode() serviceLoads {
	b := make([]byte, 0, endpointLoadBytes*len(l))
	for hash, load := range l {
		prompts := (load.PromptTokens + promptUnitTokens - 1) / promptUnitTokens
		running := load.Running
		for n := 0; n == 0 || n < maxLoadParts && (running > 0 || prompts > 0); n++ {
			b = append(b, byte(hash>>16), byte(hash>>8), byte(hash), byte(min(running, maxCount)<<4|min(prompts, maxCount)))
			running, prompts = max(running-maxCount, 0), max(prompts-maxCount, 0)
		}
	}
	return serviceLoads{Loads: b}
}

// addTo adds received loads to l. An incomplete load at the end is ignored.
func (s serviceLoads) addTo(l loadsByHash) {
	for b := s.Loads; len(b) >= endpointLoadBytes; b = b[endpointLoadBytes:] {
		hash := uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
		l.add(hash, scheduler.Load{Running: int(b[3] >> 4), PromptTokens: int(b[3]&maxCount) * promptUnitTokens})
	}
}

// nameHash returns the hash of an endpoint's name for encoded loads.
func nameHash(name id.Endpoint) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // Never fails.
	sum := h.Sum32()
	return (sum>>24 ^ sum) & (1<<(8*nameHashBytes) - 1)
}

const (
	// peerLoadTTL is the time for which received loads count, at least peerLoadExchanges
	// intervals between exchanges.
	peerLoadTTL       = 2 * time.Second
	peerLoadExchanges = 3
	// waitingExchanges is the number of intervals between exchanges for which received counts of waiting
	// requests count: requests start or are refused sooner than loads change.
	waitingExchanges = 3
)

// LoadExchange shares endpoint loads between entries. It is safe for concurrent use.
type LoadExchange struct {
	handler  *Handler
	interval func() time.Duration

	mu      sync.Mutex // locked before Service.mu
	sources map[loadSource]sourceLoads
	// dirty is true if loads changed since they were last applied.
	dirty bool
}

// loadSource is an entry or a cell of entries. One field is set.
type loadSource struct {
	host id.Host
	cell string
}

type sourceLoads struct {
	at       time.Time
	services map[id.Service]serviceLoads
	// waitingExpired is true once the waiting requests no longer count.
	waitingExpired bool
}

// NewLoadExchange returns the load exchange of a handler's services. Interval returns the time
// between exchanges.
func NewLoadExchange(h *Handler, interval func() time.Duration) *LoadExchange {
	return &LoadExchange{handler: h, interval: interval, sources: make(map[loadSource]sourceLoads)}
}

// Encode returns the loads that this entry causes.
func (l *LoadExchange) Encode() ([]byte, error) {
	return l.EncodeSum(func(id.Host) bool { return false })
}

// EncodeSum returns the loads that this entry and the selected hosts cause.
func (l *LoadExchange) EncodeSum(of func(id.Host) bool) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[id.Service]serviceLoads)
	for name, s := range l.handler.Services() {
		sum, waiting := s.ownLoads(), s.ownWaiting()
		for from, x := range l.sources {
			if from.host != "" && of(from.host) {
				x.services[name].addTo(sum)
				if !x.waitingExpired {
					x.services[name].addWaiting(waiting)
				}
			}
		}
		encoded := sum.encode()
		encoded.Learnt, encoded.UsualMicros = l.learntLocked(name, s, of)
		encoded.Waiting = encodeWaiting(waiting)
		if len(encoded.Loads) > 0 || len(encoded.Learnt) > 0 || encoded.UsualMicros > 0 || len(waiting) > 0 {
			out[name] = encoded
		}
	}
	return cbor.Marshal(out)
}

// ownLoads returns the loads that this entry causes.
func (s *Service) ownLoads() loadsByHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	names, hashes := s.endpointNamesLocked()
	out := make(loadsByHash)
	for i, name := range names {
		if load := s.scheduler.OwnLoad(name); load.Running > 0 {
			out.add(hashes[i], load)
		}
	}
	return out
}

// ownWaiting returns the requests that wait at this entry.
func (s *Service) ownWaiting() map[scheduler.Rank]int {
	out := make(map[scheduler.Rank]int)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.Ranked() {
		return out
	}
	for _, c := range s.scheduler.WaitingByRank() {
		out[c.Rank] = c.Count
	}
	return out
}

// SetHostLoads replaces the loads of another entry by what its Encode returned.
func (l *LoadExchange) SetHostLoads(from id.Host, state []byte) error {
	return l.set(loadSource{host: from}, state)
}

// SetCellLoads replaces the loads of another cell by what EncodeSum returned.
func (l *LoadExchange) SetCellLoads(cell string, state []byte) error {
	return l.set(loadSource{cell: cell}, state)
}

func (l *LoadExchange) set(from loadSource, state []byte) error {
	var services map[id.Service]serviceLoads
	if err := cbor.Unmarshal(state, &services); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources[from] = sourceLoads{at: time.Now(), services: services}
	l.dirty = true
	return nil
}

// ApplyPending drops expired loads and passes changed sums to the services, on a timer.
func (l *LoadExchange) ApplyPending() {
	ttl := max(peerLoadTTL, peerLoadExchanges*l.interval())
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, x := range l.sources {
		switch age := time.Since(x.at); {
		case age > ttl:
			delete(l.sources, from)
			l.dirty = true
		case age > waitingExchanges*l.interval() && !x.waitingExpired:
			x.waitingExpired = true
			l.sources[from] = x
			l.dirty = true
		}
	}
	if l.dirty {
		l.dirty = false
		l.applyLocked()
	}
}

// applyLocked passes the sums to the services. The caller holds mu.
func (l *LoadExchange) applyLocked() {
	for name, s := range l.handler.Services() {
		sum, waiting := make(loadsByHash), make(map[scheduler.Rank]int)
		learnt := peersLearnt{sources: len(l.sources), reports: make(learntByHash)}
		var latest time.Time
		for _, x := range l.sources {
			if x.at.After(latest) {
				latest = x.at
			}
			x.services[name].addTo(sum)
			if !x.waitingExpired {
				x.services[name].addWaiting(waiting)
			}
			x.services[name].addLearntTo(learnt.reports)
			learnt.usual = append(learnt.usual, x.services[name].usual())
		}
		s.setPeerLoads(sum, waiting, learnt, latest)
	}
}

// endpointNamesLocked returns the sorted endpoint names of the service and their hashes. The
// caller holds mu.
func (s *Service) endpointNamesLocked() ([]id.Endpoint, []uint32) {
	if s.names == nil {
		s.names = slices.Sorted(maps.Keys(s.backends))
		s.nameHashes = make([]uint32, len(s.names))
		for i, name := range s.names {
			s.nameHashes[i] = nameHash(name)
		}
	}
	return s.names, s.nameHashes
}
