package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnsweredBatchIsNotStuck covers the moment between the last answer of a
// batch and the end of its goroutine: the next claim joins, however long the
// batch took.
func TestAnsweredBatchIsNotStuck(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := &Claimer{cfg: Config{Now: func() time.Time { return now }, Timeout: time.Second}, ctx: context.Background()}
	s := &shard{claimer: c}
	first := &pending{done: make(chan answer, 1)}
	s.waiting, s.running = []*pending{first}, true
	batch := s.next()
	now = now.Add(time.Minute)
	err := s.enqueue(&pending{done: make(chan answer, 1)})
	assert.Assert(t, errors.Is(err, errStuck), "%v", err)
	s.answer(batch[0], Result{}, nil)
	assert.NilError(t, s.enqueue(&pending{done: make(chan answer, 1)}))
	assert.Equal(t, len(s.waiting), 1)
}
