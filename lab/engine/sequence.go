package engine

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/siskinford/siskinford/core/id"
)

type status int32

const (
	statusWaiting status = iota
	statusRunning
	statusPaused
	statusDone
	statusCancelled
)

// sequence is one completion. The step loop advances produced; the HTTP handler
// waits on changed and writes the tokens.
type sequence struct {
	attempt      id.Attempt
	priority     int
	arrival      uint64 // admission number
	script       script
	blocks       []uint64
	promptTokens int
	stats        *AttemptStats

	// Guarded by Engine.mu.
	prefilled    bool
	cachedTokens int

	produced atomic.Int64
	status   atomic.Int32
	changed  chan struct{}
}

func (s *sequence) state() status { return status(s.status.Load()) }

// setStatus sets the status and wakes the handler.
func (s *sequence) setStatus(to status) {
	s.status.Store(int32(to))
	s.wake()
}

func (s *sequence) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// waitingList is ordered by descending priority, then by arrival.
type waitingList []*sequence

func compareWaiting(a, b *sequence) int {
	if c := cmp.Compare(b.priority, a.priority); c != 0 {
		return c
	}
	return cmp.Compare(a.arrival, b.arrival)
}

func (w *waitingList) push(s *sequence) {
	at, _ := slices.BinarySearchFunc(*w, s, compareWaiting)
	*w = slices.Insert(*w, at, s)
}

func (w *waitingList) pop() *sequence {
	first := (*w)[0]
	*w = slices.Delete(*w, 0, 1)
	return first
}

func (w *waitingList) remove(s *sequence) {
	*w = slices.DeleteFunc(*w, func(other *sequence) bool { return other == s })
}
