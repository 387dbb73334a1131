package dispatch

import (
	"sync"

	"github.com/siskinford/siskinford/wire/msg"
)

// maxBufferedBytes bounds the frames that wait for a slow caller. Frames beyond
// it are dropped and asked for again.
const maxBufferedBytes = 4 << 20

// stream collects the frames of one order. It implements link.Waiter.
type stream struct {
	notify chan struct{}

	// mu is a leaf lock.
	mu     sync.Mutex
	frames []*msg.Frame
	bytes  int
	lost   error
	sent   bool
}

func newStream() *stream {
	return &stream{notify: make(chan struct{}, 1)}
}

// Reply implements link.Waiter.
func (s *stream) Reply(r *msg.Reply) {
	if r.Frame == nil {
		return
	}
	s.mu.Lock()
	if s.bytes <= maxBufferedBytes {
		s.frames = append(s.frames, r.Frame)
		s.bytes += len(r.Frame.Data)
	}
	s.mu.Unlock()
	s.wake()
}

// Lost implements link.Waiter.
func (s *stream) Lost(sent bool, cause error) {
	s.mu.Lock()
	s.lost, s.sent = cause, sent
	s.mu.Unlock()
	s.wake()
}

func (s *stream) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// take returns the collected frames and, once none are left, the loss.
func (s *stream) take() (frames []*msg.Frame, overflow bool, lost error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	frames = s.frames
	overflow = s.bytes > maxBufferedBytes
	s.frames = nil
	s.bytes = 0
	return frames, overflow, s.lost
}
