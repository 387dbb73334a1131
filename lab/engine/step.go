package engine

import "time"

// loop runs steps while there is work and blocks otherwise.
func (e *Engine) loop() {
	groupActive := e.groupActive()
	for e.ctx.Err() == nil {
		if !e.runnable(groupActive) {
			if !e.waitForWork() {
				return
			}
			groupActive = e.groupActive()
			continue
		}
		busy, version := e.beginStep()
		if group := e.config.Group; group != nil {
			active, ok := group.join(e.ctx, e.config.Rank, version, busy)
			if !ok {
				return
			}
			groupActive = active
		}
		if !e.waitFor(e.schedule()) {
			return
		}
		e.generateTokens()
	}
}

// groupActive reports whether any rank of the group has work.
func (e *Engine) groupActive() bool {
	return e.config.Group != nil && e.config.Group.isActive()
}

// waitForWork blocks until the engine is notified. It returns false after Close.
func (e *Engine) waitForWork() bool {
	select {
	case <-e.ctx.Done():
		return false
	case <-e.wake:
		return true
	}
}

func (e *Engine) waitFor(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runnable reports whether the next step may begin.
func (e *Engine) runnable(groupActive bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stall {
		return false
	}
	busy := len(e.running)+len(e.waiting) > 0
	if busy && e.config.Group != nil {
		e.config.Group.activate()
	}
	if !busy && !groupActive {
		return false
	}
	if !e.config.RequirePermits {
		return true
	}
	_, ok := e.permitted(e.state.Step)
	return ok
}

// beginStep returns the expert map version of the step and whether there is work.
func (e *Engine) beginStep() (busy bool, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.RequirePermits {
		version, _ = e.permitted(e.state.Step)
		e.state.MapVersion = version
	}
	return len(e.running)+len(e.waiting) > 0, e.state.MapVersion
}

// schedule fills free slots from the queue and returns the duration of the step.
func (e *Engine) schedule() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	prefill := 0
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := e.waiting.pop()
		prefill += e.startSequence(s, now)
	}
	step := e.config.StepTime
	step += e.config.SequenceTime * time.Duration(len(e.running))
	step += e.config.PrefillTime * time.Duration(prefill)
	if e.faults.Slow > 1 {
		step = time.Duration(float64(step) * e.faults.Slow)
	}
	e.stepTime = step
	e.loads.add(now, e.currentLoad())
	return step
}

// startSequence adds a sequence to the batch and returns the prompt tokens to prefill.
func (e *Engine) startSequence(s *sequence, now time.Time) int {
	s.status.Store(int32(statusRunning))
	e.running = append(e.running, s)
	if s.prefilled {
		return 0
	}
	s.prefilled = true
	s.stats.Started++
	s.cachedTokens = e.cache.lookup(s.blocks, now) * e.config.BlockWords
	return s.promptTokens - s.cachedTokens
}

// generateTokens produces one token per running sequence and removes finished sequences.
func (e *Engine) generateTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Step++
	kept := e.running[:0]
	for _, s := range e.running {
		s.stats.Tokens++
		produced := s.produced.Add(1)
		if int(produced) < s.script.tokens {
			kept = append(kept, s)
			s.wake()
			continue
		}
		s.stats.Finished++
		if e.attempts[s.attempt] == s {
			delete(e.attempts, s.attempt)
		}
		s.setStatus(statusDone)
	}
	clear(e.running[len(kept):])
	e.running = kept
	if len(kept)+len(e.waiting) == 0 {
		e.loads.add(time.Now(), e.currentLoad())
	}
}
