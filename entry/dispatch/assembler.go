package dispatch

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/wire/msg"
)

// GapError reports a gap in the sequence of frames.
type GapError struct{ Want, Got uint32 }

func (e *GapError) Error() string {
	return fmt.Sprintf("frame %d arrived instead of frame %d", e.Got, e.Want)
}

// ChecksumError reports a response that differs from the one that the agent sent.
type ChecksumError struct{ Want, Got uint64 }

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("answer has checksum %016x instead of %016x", e.Got, e.Want)
}

// assembler checks the order, completeness and checksum of one attempt's frames.
type assembler struct {
	attempt id.Attempt
	// adoptAttempt expects the attempt of the first frame, whichever it is: an action
	// may have been started by an earlier attempt.
	adoptAttempt bool
	nextSeq      uint32
	digest       *xxhash.Digest
	end          *msg.End
}

func newAssembler(attempt id.Attempt, adopt bool) *assembler {
	return &assembler{attempt: attempt, adoptAttempt: adopt, digest: xxhash.New()}
}

// matches reports whether f belongs to the expected attempt.
func (a *assembler) matches(f *msg.Frame) bool { return a.adoptAttempt || f.Attempt == a.attempt }

// accept reports whether f is the next frame; duplicates and frames of other
// attempts are not. It returns a *GapError for a missing frame and a
// *ChecksumError for a corrupt response.
func (a *assembler) accept(f *msg.Frame) (bool, error) {
	if a.adoptAttempt {
		a.attempt = f.Attempt
		a.adoptAttempt = false
	}
	if f.Attempt != a.attempt || a.end != nil {
		return false, nil
	}
	if f.End != nil && f.End.Error != "" {
		a.end = f.End
		return true, nil
	}
	if f.Seq < a.nextSeq {
		return false, nil
	}
	if f.Seq > a.nextSeq {
		return false, &GapError{Want: a.nextSeq, Got: f.Seq}
	}
	if f.End != nil {
		return a.verifyEnd(f.End)
	}
	a.nextSeq++
	_, _ = a.digest.Write(f.Data)
	return true, nil
}

func (a *assembler) verifyEnd(end *msg.End) (bool, error) {
	if end.Count != a.nextSeq {
		return false, &GapError{Want: a.nextSeq, Got: end.Count}
	}
	if sum := a.digest.Sum64(); sum != end.Checksum {
		return false, &ChecksumError{Want: end.Checksum, Got: sum}
	}
	a.end = end
	return true, nil
}
