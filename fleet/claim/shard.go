package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// pending is a claim or lookup without an answer.
type pending struct {
	request Request
	hash    Hash
	lookup  bool
	// done receives the answer. Its capacity is one, so that the sender does not block.
	done chan answer

	// The fields below are guarded by the shard's lock.

	// inDoubt is true while the outcome of a write with the claim is not known.
	inDoubt bool
	// writePosition is the position of the active segment before that write.
	writePosition position
	// abandoned is true once the caller has stopped waiting.
	abandoned bool
}

type answer struct {
	result Result
	err    error
}

// position is the number and version of a segment.
type position struct {
	number, version uint64
}

func (p position) after(q position) bool {
	if p.number != q.number {
		return p.number > q.number
	}
	return p.version > q.version
}

// shard batches the claims of one shard: while a write is in flight, further claims
// queue for the next batch. Only the goroutine that processes batches uses view.
type shard struct {
	claimer *Claimer
	kind    string
	view    *view

	mu      sync.Mutex // leaf lock
	waiting []*pending
	running bool
	// batchStart is the start time of the current batch, unanswered the number of its
	// claims without an answer.
	batchStart time.Time
	unanswered int
}

// enqueue adds p to the next batch. It does not block.
func (s *shard) enqueue(p *pending) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.claimer.ctx.Err() != nil:
		return &UnavailableError{Cause: errClosed}
	case s.unanswered > 0 && s.claimer.cfg.Now().Sub(s.batchStart) > s.claimer.cfg.Timeout:
		return &UnavailableError{Cause: errBatchStalled}
	case len(s.waiting) >= maxWaitingClaims:
		return &UnavailableError{Cause: errQueueFull}
	}
	s.waiting = append(s.waiting, p)
	if !s.running {
		s.running = true
		s.batchStart = s.claimer.cfg.Now()
		s.claimer.wg.Go(s.run)
	}
	return nil
}

// abandon returns the answer to p if there is one, and otherwise marks p as abandoned.
func (s *shard) abandon(p *pending, cause error) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case a := <-p.done:
		return a.result, a.err
	default:
	}
	p.abandoned = true
	if p.inDoubt {
		return Result{}, &OutcomeUnknownError{Cause: cause}
	}
	return Result{}, &UnavailableError{Cause: cause}
}

// run processes batches until the queue is empty.
func (s *shard) run() {
	for {
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		s.flush(batch)
	}
}

func (s *shard) nextBatch() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.waiting
	s.waiting = nil
	s.running, s.unanswered = len(batch) > 0, len(batch)
	s.batchStart = s.claimer.cfg.Now()
	return batch
}

// flush processes a batch until each of its claims has an answer.
func (s *shard) flush(batch []*pending) {
	ctx, cancel := context.WithTimeout(s.claimer.ctx, s.claimer.cfg.FlushTimeout)
	defer cancel()
	if s.view != nil {
		s.view.fresh = false
	}
	var cause error
	for attempts := 0; attempts < s.claimer.cfg.MaxAttempts; attempts++ {
		rest, err := s.attempt(ctx, batch)
		if len(rest) == 0 {
			return
		}
		if len(rest) < len(batch) {
			attempts = 0
		}
		batch = rest
		if err != nil {
			cause = err
		}
		if ctx.Err() != nil || isUnavailable(err) {
			break
		}
	}
	if cause == nil {
		cause = errContention
	}
	s.fail(batch, cause)
}

func isUnavailable(err error) bool {
	var unavailable *objectapi.UnavailableError
	return errors.As(err, &unavailable)
}

// attempt makes one step with a batch and returns the claims without an answer.
func (s *shard) attempt(ctx context.Context, batch []*pending) ([]*pending, error) {
	if err := s.refresh(ctx); err != nil {
		return batch, err
	}
	batch = s.answerFromView(batch)
	if len(batch) == 0 {
		return nil, nil
	}
	if s.view.stale {
		return batch, nil
	}
	if s.view.active.sealed {
		return batch, s.startNextSegment(ctx)
	}
	if s.isFull(batch[0].request.Target) {
		return batch, s.seal(ctx)
	}
	return s.append(ctx, batch)
}

// isFull reports whether the active segment must be sealed before an append.
func (s *shard) isFull(t Target) bool {
	active := s.view.active
	old := active.len() > 0 && s.claimer.cfg.Now().Sub(active.oldestClaim()) >= s.claimer.cfg.SegmentAge
	return old || !active.fits(t, s.claimer.cfg.SegmentBytes)
}

// answerFromView answers the claims that the view decides and returns the others.
func (s *shard) answerFromView(batch []*pending) []*pending {
	var rest []*pending
	for _, p := range batch {
		record, found := s.view.find(p.hash)
		switch {
		case found:
			s.answerFound(p, record)
		case p.lookup && s.view.fresh:
			s.answer(p, Result{}, &NotClaimedError{Key: p.request.Key})
		case p.lookup:
			s.view.stale = true
			rest = append(rest, p)
		default:
			rest = s.keepUndecided(rest, p)
		}
	}
	return rest
}

// keepUndecided appends p to rest unless it is abandoned or its key has expired.
func (s *shard) keepUndecided(rest []*pending, p *pending) []*pending {
	s.mu.Lock()
	if p.inDoubt && s.view.position().after(p.writePosition) {
		// The segment changed without the claim, so the conditional write can no longer succeed.
		p.inDoubt = false
	}
	abandoned, inDoubt := p.abandoned, p.inDoubt
	s.mu.Unlock()
	if abandoned {
		return rest
	}
	if err := s.claimer.checkKeyTime(p.request.Key); err != nil && !inDoubt {
		s.answer(p, Result{}, err)
		return rest
	}
	return append(rest, p)
}

func (s *shard) answerFound(p *pending, r Record) {
	switch {
	case p.lookup:
		s.answer(p, Result{Record: r}, nil)
	case r.Payload != p.request.Payload:
		s.answer(p, Result{}, &PayloadMismatchError{Key: p.request.Key, Record: r})
	default:
		s.answer(p, Result{Record: r, Owned: r.Nonce == p.request.Nonce}, nil)
	}
}

func (s *shard) answer(p *pending, r Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered--
	p.done <- answer{result: r, err: err}
}

// fail answers the claims of a batch whose processing failed.
func (s *shard) fail(batch []*pending, cause error) {
	for _, p := range batch {
		s.mu.Lock()
		inDoubt := p.inDoubt
		s.mu.Unlock()
		if inDoubt {
			s.answer(p, Result{}, &OutcomeUnknownError{Cause: cause})
			continue
		}
		s.answer(p, Result{}, &UnavailableError{Cause: cause})
	}
}

// append writes the claims of a batch that fit into the active segment.
func (s *shard) append(ctx context.Context, batch []*pending) ([]*pending, error) {
	next := s.view.active.clone()
	at := s.view.position()
	var newlyInDoubt []*pending
	added := 0
	for _, p := range batch {
		if _, duplicate := next.find(p.hash); duplicate || p.lookup || !next.fits(p.request.Target, s.claimer.cfg.SegmentBytes) {
			continue
		}
		wasInDoubt, ok := s.markInDoubt(p, at)
		if !ok {
			continue
		}
		if !wasInDoubt {
			newlyInDoubt = append(newlyInDoubt, p)
		}
		next.add(p.record(s.claimer.cfg.Now()))
		added++
	}
	if added == 0 {
		return batch, nil
	}
	err := s.write(ctx, next)
	if isDefiniteFailure(err) {
		s.clearInDoubt(newlyInDoubt)
	}
	if err == nil {
		batch = s.answerFromView(batch)
	}
	return batch, err
}

// isDefiniteFailure reports whether a write with this error cannot take effect any more.
func isDefiniteFailure(err error) bool {
	var conflict *objectapi.ConflictError
	var tooLarge *objectapi.ValueTooLargeError
	return isUnavailable(err) || errors.As(err, &conflict) || errors.As(err, &tooLarge)
}

func (p *pending) record(now time.Time) Record {
	return Record{
		Hash: p.hash, Action: p.hash.Action(), Payload: p.request.Payload,
		Target: p.request.Target, ClaimedAt: now, Nonce: p.request.Nonce,
	}
}

// markInDoubt marks p before a write and reports whether an earlier write left it in
// doubt. ok is false if p is abandoned.
func (s *shard) markInDoubt(p *pending, at position) (wasInDoubt, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.abandoned {
		return false, false
	}
	wasInDoubt = p.inDoubt
	if !p.inDoubt {
		p.inDoubt, p.writePosition = true, at
	}
	return wasInDoubt, true
}

// clearInDoubt unmarks claims whose only write cannot take effect any more.
func (s *shard) clearInDoubt(claims []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range claims {
		p.inDoubt = false
	}
}
