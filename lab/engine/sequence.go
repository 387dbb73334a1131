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

// sequence is one completion. The step loop advances produced; the HTTP
// handler writes the tokens and sleeps on ready.
type sequence struct {
	attempt  id.Attempt
	priority int
	order    uint64 // arrival number
	script   script
	blocks   []uint64
	prompt   int // tokens of the prompt
	run      *AttemptStats

	// These belong to the engine's mutex.
	prefilled bool
	cached    int

	produced atomic.Int64
	status   atomic.Int32
	ready    chan struct{}
}

func (s *sequence) state() status { return status(s.status.Load()) }

// set changes the status and wakes the handler.
func (s *sequence) set(to status) {
	s.status.Store(int32(to))
	s.wake()
}

func (s *sequence) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// waitingList is ordered by priority, then by arrival.
type waitingList []*sequence

func compareWaiting(a, b *sequence) int {
	if c := cmp.Compare(b.priority, a.priority); c != 0 {
		return c
	}
	return cmp.Compare(a.order, b.order)
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
