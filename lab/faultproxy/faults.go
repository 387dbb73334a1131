// Package faultproxy forwards TCP and UDP on loopback with switchable faults, for tests.
package faultproxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

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
	faults  Faults
	changed chan struct{}
	random  *rand.Rand
}

func newState(seed uint64) *state {
	return &state{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *state) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
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
func (s *state) await(done <-chan struct{}, held func(Faults) bool) bool {
	for {
		faults, changed := s.get()
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
