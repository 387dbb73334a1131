// Package faultproxy provides TCP and UDP proxies that inject network faults in tests.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Options configure a proxy.
type Options struct {
	// Listen is the "ip:port" to listen at. Default: a free port of 127.0.0.1.
	Listen string
	// Target is the "ip:port" to forward to. Required.
	Target string
	// Seed seeds the random faults.
	Seed uint64
	// KeepSource forwards from the client's IP address, so that the target can
	// tell clients apart.
	KeepSource bool
}

func (o Options) listen() string {
	if o.Listen == "" {
		return "127.0.0.1:0"
	}
	return o.Listen
}

// sourceOf returns the IP address of a, or the zero Addr if a has none.
func sourceOf(a net.Addr) netip.Addr {
	p, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr().Unmap()
}

// Faults are the faults that a proxy injects. The zero value injects none.
type Faults struct {
	// Delay is added to each packet or chunk in each direction.
	Delay time.Duration
	// CutToTarget and CutToClient block one direction each. TCP holds the data until
	// the cut ends, as a sender would retransmit it; UDP drops the packets.
	CutToTarget, CutToClient bool
	// Freeze holds all data in both directions until it is switched off. UDP queues
	// up to queueLen packets for each flow and direction.
	Freeze bool
	// Refuse resets new TCP connections.
	Refuse bool
	// Loss, Duplicate and Reorder are probabilities for each UDP packet.
	Loss, Duplicate, Reorder float64
}

// reorderDelay is the extra delay of a reordered packet, so that later ones overtake it.
const reorderDelay = 10 * time.Millisecond

// queueLen is the queue capacity, in packets, of one direction of a UDP flow.
const queueLen = 4096

// direction is the direction of data within a flow.
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

// state holds the current faults and the seeded random generator of a proxy.
type state struct {
	mu      sync.Mutex // leaf lock
	faults  func(source netip.Addr) Faults
	changed chan struct{} // closed and replaced when faults change
	random  *rand.Rand
}

func newState(seed uint64) *state {
	none := func(netip.Addr) Faults { return Faults{} }
	return &state{faults: none, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *state) set(f Faults) { s.setFor(func(netip.Addr) Faults { return f }) }

// setFor replaces the faults, which may differ between client addresses.
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

func (s *state) roll(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// waitWhile blocks while held reports true. It returns false if done is closed first.
func (s *state) waitWhile(done <-chan struct{}, source netip.Addr, held func(Faults) bool) bool {
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

// sleep blocks for d. It returns false if done is closed first.
func sleep(done <-chan struct{}, d time.Duration) bool {
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
