// Package faultproxy forwards TCP and UDP on loopback with switchable faults, for tests.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Options describe a proxy.
type Options struct {
	// Listen is the "ip:port" to listen at. Default: a free port of 127.0.0.1.
	Listen string
	// Target is the "ip:port" to forward to. Required.
	Target string
	// Seed seeds the random faults.
	Seed uint64
	// KeepSource forwards from the client's own IP address, so that the target
	// sees who calls.
	KeepSource bool
}

func (o Options) listen() string {
	if o.Listen == "" {
		return "127.0.0.1:0"
	}
	return o.Listen
}

// sourceOf returns the IP address of a connection's or packet's sender.
func sourceOf(a net.Addr) netip.Addr {
	p, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr().Unmap()
}

// Faults are the faults of a proxy. The zero value has none.
type Faults struct {
	// Delay is added to each packet or chunk in each direction.
	Delay time.Duration
	// CutToTarget and CutToClient stop one direction each. TCP holds the bytes
	// until the cut ends, as a sender would repeat them; UDP drops the packets.
	CutToTarget, CutToClient bool
	// Freeze holds everything in both directions until it ends. UDP keeps up to
	// queueLen packets of each flow and direction.
	Freeze bool
	// Refuse resets new TCP connections.
	Refuse bool
	// Loss, Duplicate and Reorder are probabilities for each UDP packet.
	Loss, Duplicate, Reorder float64
}

// reorderDelay is by how much a reordered packet is late.
const reorderDelay = 10 * time.Millisecond

// queueLen bounds the packets that wait in one direction of a UDP flow.
const queueLen = 4096

// direction tells which way data flows.
type direction int

const (
	toTarget direction = iota
	toClient
)

func (f Faults) cut(d direction) bool {
	if d == toTarget {
		return f.CutToTarget
	}
	return f.CutToClient
}

// state holds the faults in force and the seeded random numbers.
type state struct {
	mu      sync.Mutex // leaf lock
	faults  func(source netip.Addr) Faults
	changed chan struct{}
	random  *rand.Rand
}

func newState(seed uint64) *state {
	none := func(netip.Addr) Faults { return Faults{} }
	return &state{faults: none, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *state) set(f Faults) { s.setFor(func(netip.Addr) Faults { return f }) }

// setFor replaces the faults by those of each client's address.
func (s *state) setFor(f func(source netip.Addr) Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) get(source netip.Addr) (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults(source), s.changed
}

func (s *state) hits(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// await blocks while held reports true. It returns false once done is closed.
func (s *state) await(done <-chan struct{}, source netip.Addr, held func(Faults) bool) bool {
	for {
		faults, changed := s.get(source)
		if !held(faults) {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// pause blocks for d. It returns false once done is closed.
func pause(done <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}
