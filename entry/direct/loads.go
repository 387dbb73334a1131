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

// promptUnitTokens is the resolution of prompt tokens between entries, so that a byte
// holds the prompts that an endpoint reads concurrently.
const promptUnitTokens = 64

// peerLoadTTL is the time for which received loads count, several exchange intervals.
const peerLoadTTL = 2 * time.Second

// serviceLoads are the requests at the endpoints of one service, in order of their names.
// Endpoints is the hash of the names; entries with other endpoints have another one.
type serviceLoads struct {
	Endpoints uint32 `cbor:"1,keyasint"`
	Running   []byte `cbor:"2,keyasint"`
	Prompts   []byte `cbor:"3,keyasint"`
}

// add adds loads of the same endpoints.
func (l *serviceLoads) add(o serviceLoads) {
	for i := range l.Running {
		l.Running[i] = byte(min(int(l.Running[i])+int(o.Running[i]), maxCount))
		l.Prompts[i] = byte(min(int(l.Prompts[i])+int(o.Prompts[i]), maxCount))
	}
}

// matches reports whether the loads belong to the endpoints with a hash.
func (l *serviceLoads) matches(hash uint32, endpoints int) bool {
	return l.Endpoints == hash && len(l.Running) == endpoints && len(l.Prompts) == endpoints
}

// maxCount is the largest count that fits in a byte.
const maxCount = 255

// LoadExchange shares endpoint loads between entries. It is safe for concurrent use.
type LoadExchange struct {
	handler *Handler

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
}

// NewLoadExchange returns the load exchange of a handler's services.
func NewLoadExchange(h *Handler) *LoadExchange {
	return &LoadExchange{handler: h, sources: make(map[loadSource]sourceLoads)}
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
		own, busy := s.encodeLoads()
		for from, x := range l.sources {
			sl, ok := x.services[name]
			if ok && from.host != "" && of(from.host) && sl.matches(own.Endpoints, len(own.Running)) {
				own.add(sl)
				busy = true
			}
		}
		if busy {
			out[name] = own
		}
	}
	return cbor.Marshal(out)
}

// encodeLoads returns the loads that this entry causes, and whether there are any.
func (s *Service) encodeLoads() (serviceLoads, bool) {
	names, hash := s.endpointNames()
	s.mu.Lock()
	defer s.mu.Unlock()
	sl := serviceLoads{Endpoints: hash, Running: make([]byte, len(names)), Prompts: make([]byte, len(names))}
	busy := false
	for i, name := range names {
		load := s.scheduler.OwnLoad(name)
		sl.Running[i] = byte(min(load.Running, maxCount))
		sl.Prompts[i] = byte(min((load.PromptTokens+promptUnitTokens-1)/promptUnitTokens, maxCount))
		busy = busy || load.Running > 0
	}
	return sl, busy
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
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, x := range l.sources {
		if time.Since(x.at) > peerLoadTTL {
			delete(l.sources, from)
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
		names, hash := s.endpointNames()
		sums := make([]scheduler.Load, len(names))
		var latest time.Time
		for _, x := range l.sources {
			if x.at.After(latest) {
				latest = x.at
			}
			sl, ok := x.services[name]
			if !ok || !sl.matches(hash, len(names)) {
				continue
			}
			for i := range names {
				sums[i].Running += int(sl.Running[i])
				sums[i].PromptTokens += int(sl.Prompts[i]) * promptUnitTokens
			}
		}
		s.SetPeerLoads(names, sums, latest)
	}
}

// endpointNames returns the sorted endpoint names of the service and their hash.
func (s *Service) endpointNames() ([]id.Endpoint, uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = slices.Sorted(maps.Keys(s.backends))
		s.namesHash = hashNames(s.names)
	}
	return s.names, s.namesHash
}

func hashNames(names []id.Endpoint) uint32 {
	h := fnv.New32a()
	for _, n := range names {
		_, _ = h.Write([]byte(n)) // Never fails.
		_, _ = h.Write([]byte{0})
	}
	return h.Sum32()
}
