package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/fleet/objectapi"
)

// pending is a claim or lookup that waits for its answer.
type pending struct {
	request Request
	hash    Hash
	lookup  bool
	// done receives the answer. It has room for one.
	done chan answer

	// The fields below are guarded by the shard's lock.

	// sent is true while a write with the claim has no definite outcome.
	sent bool
	// sentTo is the position at which that write was tried.
	sentTo position
	// abandoned is true when the caller has gone.
	abandoned bool
}

type answer struct {
	result Result
	err    error
}

// position is a version of a segment.
type position struct {
	number, version uint64
}

func (p position) after(q position) bool {
	if p.number != q.number {
		return p.number > q.number
	}
	return p.version > q.version
}

// shard batches the claims of one shard: one write is in flight while others
// collect. The goroutine that runs the batches alone uses view.
type shard struct {
	claimer *Claimer
	kind    string
	view    *view

	mu      sync.Mutex // leaf lock
	waiting []*pending
	running bool
	// since is when the present batch was begun, and unanswered the number of its
	// claims that wait for their answer.
	since      time.Time
	unanswered int
}

// enqueue adds p to the next batch. It does not block.
func (s *shard) enqueue(p *pending) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.claimer.ctx.Err() != nil:
		return &UnavailableError{Cause: errClosed}
	case s.unanswered > 0 && s.claimer.cfg.Now().Sub(s.since) > s.claimer.cfg.Timeout:
		return &UnavailableError{Cause: errStuck}
	case len(s.waiting) >= maxWaiting:
		return &UnavailableError{Cause: errFull}
	}
	s.waiting = append(s.waiting, p)
	if !s.running {
		s.running = true
		s.since = s.claimer.cfg.Now()
		s.claimer.wg.Go(s.run)
	}
	return nil
}

// abandon gives up p and tells what is known of it.
func (s *shard) abandon(p *pending, cause error) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case a := <-p.done:
		return a.result, a.err
	default:
	}
	p.abandoned = true
	if p.sent {
		return Result{}, &OutcomeUnknownError{Cause: cause}
	}
	return Result{}, &UnavailableError{Cause: cause}
}

// run works off batches until none waits.
func (s *shard) run() {
	for {
		batch := s.next()
		if batch == nil {
			return
		}
		s.flush(batch)
	}
}

func (s *shard) next() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.waiting
	s.waiting = nil
	s.running, s.unanswered = len(batch) > 0, len(batch)
	s.since = s.claimer.cfg.Now()
	return batch
}

// flush answers every claim of a batch.
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
		cause = errBusy
	}
	s.fail(batch, cause)
}

func isUnavailable(err error) bool {
	var unavailable *objectapi.UnavailableError
	return errors.As(err, &unavailable)
}

// attempt makes one step for a batch and returns the claims that are left.
func (s *shard) attempt(ctx context.Context, batch []*pending) ([]*pending, error) {
	if err := s.refresh(ctx); err != nil {
		return batch, err
	}
	batch = s.decide(batch)
	if len(batch) == 0 {
		return nil, nil
	}
	if s.view.stale {
		return batch, nil
	}
	if s.view.active.sealed {
		return batch, s.roll(ctx)
	}
	if s.isFull(batch[0].request.Target) {
		return batch, s.seal(ctx)
	}
	return s.append(ctx, batch)
}

// isFull reports whether the active segment is to be sealed before an append.
func (s *shard) isFull(t Target) bool {
	active := s.view.active
	old := active.len() > 0 && s.claimer.cfg.Now().Sub(active.oldest()) >= s.claimer.cfg.SegmentAge
	return old || !active.fits(t, s.claimer.cfg.SegmentBytes)
}

// decide answers what the view decides and returns the rest.
func (s *shard) decide(batch []*pending) []*pending {
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
			rest = s.keep(rest, p)
		}
	}
	return rest
}

// keep appends p to rest unless its caller has gone or its key has expired.
func (s *shard) keep(rest []*pending, p *pending) []*pending {
	s.mu.Lock()
	if p.sent && s.view.position().after(p.sentTo) {
		// The segment moved on without the claim, so that write can no longer take effect.
		p.sent = false
	}
	gone, sent := p.abandoned, p.sent
	s.mu.Unlock()
	if gone {
		return rest
	}
	if err := s.claimer.checkTime(p.request.Key); err != nil && !sent {
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

// fail answers the claims that could not be decided.
func (s *shard) fail(batch []*pending, cause error) {
	for _, p := range batch {
		s.mu.Lock()
		sent := p.sent
		s.mu.Unlock()
		if sent {
			s.answer(p, Result{}, &OutcomeUnknownError{Cause: cause})
			continue
		}
		s.answer(p, Result{}, &UnavailableError{Cause: cause})
	}
}

// append writes as many claims of a batch as fit into the active segment.
func (s *shard) append(ctx context.Context, batch []*pending) ([]*pending, error) {
	next := s.view.active.clone()
	at := s.view.position()
	var first []*pending
	added := 0
	for _, p := range batch {
		if _, twice := next.find(p.hash); twice || p.lookup || !next.fits(p.request.Target, s.claimer.cfg.SegmentBytes) {
			continue
		}
		sentBefore, ok := s.markSent(p, at)
		if !ok {
			continue
		}
		if !sentBefore {
			first = append(first, p)
		}
		next.add(p.record(s.claimer.cfg.Now()))
		added++
	}
	if added == 0 {
		return batch, nil
	}
	err := s.write(ctx, next)
	if isDefinite(err) {
		s.clearSent(first)
	}
	if err == nil {
		batch = s.decide(batch)
	}
	return batch, err
}

// isDefinite reports an error after which the write cannot take effect.
func isDefinite(err error) bool {
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

// markSent notes that a write with p is about to be made and reports whether
// one was made before without a definite outcome. ok is false if the caller has gone.
func (s *shard) markSent(p *pending, at position) (sentBefore, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.abandoned {
		return false, false
	}
	sentBefore = p.sent
	if !p.sent {
		p.sent, p.sentTo = true, at
	}
	return sentBefore, true
}

// clearSent notes that the only write with each of the claims cannot take effect.
func (s *shard) clearSent(claims []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range claims {
		p.sent = false
	}
}
