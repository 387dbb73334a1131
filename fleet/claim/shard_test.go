package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnsweredBatchIsNotStalled guards against a false errBatchStalled between the
// last answer of a slow batch and the end of its goroutine.
func TestAnsweredBatchIsNotStalled(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := &Claimer{cfg: Config{Now: func() time.Time { return now }, Timeout: time.Second}, ctx: context.Background()}
	s := &shard{claimer: c}
	first := &pending{done: make(chan answer, 1)}
	s.waiting, s.running = []*pending{first}, true
	batch := s.nextBatch()
	now = now.Add(time.Minute)
	err := s.enqueue(&pending{done: make(chan answer, 1)})
	assert.Assert(t, errors.Is(err, errBatchStalled), "%v", err)
	s.answer(batch[0], Result{}, nil)
	assert.NilError(t, s.enqueue(&pending{done: make(chan answer, 1)}))
	assert.Equal(t, len(s.waiting), 1)
}
