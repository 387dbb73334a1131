package dispatch

import (
	"sync"

	"github.com/siskinford/siskinford/wire/msg"
)

// maxBufferedBytes bounds the frames buffered for a slow caller. Frames beyond it
// are dropped and requested again.
const maxBufferedBytes = 4 << 20

// stream buffers the frames of one order. It implements link.ReplyHandler.
type stream struct {
	notify chan struct{}

	// mu is a leaf lock.
	mu             sync.Mutex
	frames         []*msg.Frame
	bytes          int
	lossCause      error
	sentBeforeLoss bool
}

func newStream() *stream {
	return &stream{notify: make(chan struct{}, 1)}
}

// Reply implements link.ReplyHandler.
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
	s.signal()
}

// Lost implements link.ReplyHandler.
func (s *stream) Lost(sent bool, cause error) {
	s.mu.Lock()
	s.lossCause, s.sentBeforeLoss = cause, sent
	s.mu.Unlock()
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// takeFrames empties the buffer. overflow is true if frames were dropped, and lost
// is the error of a lost connection.
func (s *stream) takeFrames() (frames []*msg.Frame, overflow bool, lost error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	frames = s.frames
	overflow = s.bytes > maxBufferedBytes
	s.frames = nil
	s.bytes = 0
	return frames, overflow, s.lossCause
}
