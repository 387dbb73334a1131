package direct

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/balance/intake"
	"github.com/siskinford/siskinford/core/id"
)

// promptUnit is the resolution of prompt tokens between entries, so that a byte
// holds the prompts that an endpoint reads at a time.
const promptUnit = 64

// loadsFor is the time for which the loads of another entry count after they
// arrived. It is several times the interval between exchanges.
const loadsFor = 2 * time.Second

// serviceLoads are requests at the endpoints of one service, in the order of their
// names. Entries that know other endpoints have another hash.
type serviceLoads struct {
	Endpoints uint32 `cbor:"1,keyasint"`
	Running   []byte `cbor:"2,keyasint"`
	Prompts   []byte `cbor:"3,keyasint"`
}

// add adds other loads of the same endpoints.
func (l *serviceLoads) add(o serviceLoads) {
	for i := range l.Running {
		l.Running[i] = byte(min(int(l.Running[i])+int(o.Running[i]), maxCount))
		l.Prompts[i] = byte(min(int(l.Prompts[i])+int(o.Prompts[i]), maxCount))
	}
}

// fits reports whether the loads are those of the endpoints with a hash.
func (l *serviceLoads) fits(hash uint32, endpoints int) bool {
	return l.Endpoints == hash && len(l.Running) == endpoints && len(l.Prompts) == endpoints
}

// maxCount is the greatest number in a byte.
const maxCount = 255

// LoadExchange shares the loads of the endpoints between entries. It is safe for
// concurrent use.
type LoadExchange struct {
	handler *Handler

	mu      sync.Mutex // taken before Service.mu
	sources map[source]sourceLoads
	// dirty is true if something arrived since the sums were handed to the services.
	dirty bool
}

// source is an entry or a cell of them. One of the two is set.
type source struct {
	host id.Host
	cell string
}

type sourceLoads struct {
	at       time.Time
	services map[id.Service]serviceLoads
}

// NewLoadExchange returns the loads of a handler's services.
func NewLoadExchange(h *Handler) *LoadExchange {
	return &LoadExchange{handler: h, sources: make(map[source]sourceLoads)}
}

// Encode returns what this entry runs at the endpoints.
func (l *LoadExchange) Encode() ([]byte, error) {
	return l.EncodeSum(func(id.Host) bool { return false })
}

// EncodeSum returns what this entry and some others run at the endpoints.
func (l *LoadExchange) EncodeSum(of func(id.Host) bool) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[id.Service]serviceLoads)
	for name, s := range l.handler.Services() {
		own, busy := s.encodeLoads()
		for from, x := range l.sources {
			sl, ok := x.services[name]
			if ok && from.host != "" && of(from.host) && sl.fits(own.Endpoints, len(own.Running)) {
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

// encodeLoads returns what this entry runs at the endpoints, and whether it runs
// anything.
func (s *Service) encodeLoads() (serviceLoads, bool) {
	names, hash := s.endpointNames()
	s.mu.Lock()
	defer s.mu.Unlock()
	sl := serviceLoads{Endpoints: hash, Running: make([]byte, len(names)), Prompts: make([]byte, len(names))}
	busy := false
	for i, name := range names {
		load := s.intake.OwnLoad(name)
		sl.Running[i] = byte(min(load.Running, maxCount))
		sl.Prompts[i] = byte(min((load.PromptTokens+promptUnit-1)/promptUnit, maxCount))
		busy = busy || load.Running > 0
	}
	return sl, busy
}

// SetHostLoads takes in what another entry encoded.
func (l *LoadExchange) SetHostLoads(from id.Host, state []byte) error {
	return l.take(source{host: from}, state)
}

// SetCellLoads takes in the sum of another cell.
func (l *LoadExchange) SetCellLoads(cell string, state []byte) error {
	return l.take(source{cell: cell}, state)
}

func (l *LoadExchange) take(from source, state []byte) error {
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

// ApplyPending hands what arrived to the services and drops what is too old. A timer
// calls it.
func (l *LoadExchange) ApplyPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, x := range l.sources {
		if time.Since(x.at) > loadsFor {
			delete(l.sources, from)
			l.dirty = true
		}
	}
	if l.dirty {
		l.dirty = false
		l.apply()
	}
}

// apply hands the sums to the services. The caller holds mu.
func (l *LoadExchange) apply() {
	for name, s := range l.handler.Services() {
		names, hash := s.endpointNames()
		sums := make([]intake.Load, len(names))
		var heard time.Time
		for _, x := range l.sources {
			if x.at.After(heard) {
				heard = x.at
			}
			sl, ok := x.services[name]
			if !ok || !sl.fits(hash, len(names)) {
				continue
			}
			for i := range names {
				sums[i].Running += int(sl.Running[i])
				sums[i].PromptTokens += int(sl.Prompts[i]) * promptUnit
			}
		}
		s.SetRemoteLoads(names, sums, heard)
	}
}

// endpointNames returns the endpoints of the service in order, and their hash.
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
