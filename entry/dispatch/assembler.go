package dispatch

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// GapError reports that a frame is missing.
type GapError struct{ Want, Got uint32 }

func (e *GapError) Error() string {
	return fmt.Sprintf("frame %d arrived instead of frame %d", e.Got, e.Want)
}

// ChecksumError reports an answer that differs from the one that was sent.
type ChecksumError struct{ Want, Got uint64 }

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("answer has checksum %016x instead of %016x", e.Got, e.Want)
}

// assembler puts the frames of one attempt in order.
type assembler struct {
	attempt id.Attempt
	// adopt permits the first frame to be of another attempt, which happens when
	// an action was started by an earlier attempt.
	adopt  bool
	next   uint32
	digest *xxhash.Digest
	end    *msg.End
}

func newAssembler(attempt id.Attempt, adopt bool) *assembler {
	return &assembler{attempt: attempt, adopt: adopt, digest: xxhash.New()}
}

// owns reports whether f belongs to the attempt.
func (a *assembler) owns(f *msg.Frame) bool { return a.adopt || f.Attempt == a.attempt }

// accept reports whether f is the next frame. Frames of other attempts and
// duplicates are not. A missing frame is a *GapError, a wrong end a *ChecksumError.
func (a *assembler) accept(f *msg.Frame) (bool, error) {
	if a.adopt {
		a.attempt = f.Attempt
		a.adopt = false
	}
	if f.Attempt != a.attempt || a.end != nil {
		return false, nil
	}
	if f.End != nil && f.End.Error != "" {
		a.end = f.End
		return true, nil
	}
	if f.Seq < a.next {
		return false, nil
	}
	if f.Seq > a.next {
		return false, &GapError{Want: a.next, Got: f.Seq}
	}
	if f.End != nil {
		return a.finish(f.End)
	}
	a.next++
	_, _ = a.digest.Write(f.Data)
	return true, nil
}

func (a *assembler) finish(end *msg.End) (bool, error) {
	if end.Count != a.next {
		return false, &GapError{Want: a.next, Got: end.Count}
	}
	if sum := a.digest.Sum64(); sum != end.Checksum {
		return false, &ChecksumError{Want: end.Checksum, Got: sum}
	}
	a.end = end
	return true, nil
}
